import type * as net from 'node:net';
import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import * as connectFailures from './connect-failure.js';

/** Opens a connection to an address. */
export type OpenConnection = (address: string) => Promise<stream.Duplex>;

/** Creates the connector of an HTTP client whose connections are opened by `open`. */
export function createConnector(open: OpenConnection): undici.buildConnector.connector {
  const secure = undici.buildConnector({});
  return (options, callback) => {
    const port = options.port === '' ? getDefaultPort(options.protocol) : options.port;
    open(schemas.formatAddress({ host: options.hostname, port: Number(port) })).then(
      (socket) => {
        // The HTTP client uses only what any duplex stream offers.
        const httpSocket = socket as net.Socket;
        if (options.protocol === 'https:') {
          secure({ ...options, httpSocket }, callback);
        } else {
          callback(null, httpSocket);
        }
      },
      (err: unknown) => callback(connectFailures.markConnectFailure(err), null),
    );
  };
}

function getDefaultPort(protocol: string): string {
  return protocol === 'https:' ? '443' : '80';
}
