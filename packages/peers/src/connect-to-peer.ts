import * as net from 'node:net';
import * as tls from 'node:tls';

import type * as keyrings from './keyring.js';
import * as tlsOptions from './tls-options.js';

/** Where a peer listens, and the keys of the connection. */
export interface PeerEndpoint {
  readonly host: string;
  readonly port: number;
  /** Keys of the TLS connection; `undefined` on a trusted network, where the connection is plain TCP. */
  readonly keyring: keyrings.Keyring | undefined;
}

/** Begins to connect to a peer; calls `onConnected` once the connection can be used. */
export function connectToPeer(
  { host, keyring, port }: PeerEndpoint,
  onConnected: () => void,
): net.Socket {
  if (keyring === undefined) {
    return net.connect({ host, port }).once('connect', onConnected);
  }
  const options = {
    ...tlsOptions.pskOptions,
    host,
    port,
    pskCallback: () => keyring.getActive(),
    checkServerIdentity: () => undefined,
  };
  return tls.connect(options).once('secureConnect', onConnected);
}
