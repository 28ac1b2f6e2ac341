import type * as stream from 'node:stream';

import * as undici from 'undici';

/** Opens the connections of a host to upstreams. */
export interface UpstreamDialer {
  /** Opens a connection to an IP address and port; rejects with the system's error, or after `timeoutMs`. */
  dial(address: string, timeoutMs: number): Promise<stream.Duplex>;
}

/** Opens TCP connections. */
export class TcpDialer implements UpstreamDialer {
  public dial(address: string, timeoutMs: number): Promise<stream.Duplex> {
    const connect = undici.buildConnector({ timeout: timeoutMs });
    const { hostname, port, protocol } = new URL(`http://${address}`);
    return new Promise((resolve, reject) => {
      connect({ hostname, port, protocol }, (err, socket) => {
        if (err === null) {
          resolve(socket);
        } else {
          reject(err);
        }
      });
    });
  }
}
