import * as net from 'node:net';
import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';

/** Time without traffic after which the system probes a connection, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/** Opens the connections of a host to upstreams. */
export interface UpstreamDialer {
  /** Opens a connection to a host and port; rejects with the system's error, or after `timeoutMs`. */
  dial(address: string, timeoutMs: number): Promise<stream.Duplex>;
}

/** Opens TCP connections. */
export class TcpDialer implements UpstreamDialer {
  public dial(address: string, timeoutMs: number): Promise<net.Socket> {
    const { host, port } = schemas.splitAddress(address);
    return new Promise((resolve, reject) => {
      const socket = net.connect({
        host,
        port,
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
      });
      const destroy = () => {
        if (socket.connecting) {
          socket.destroy(createTimeoutError(address));
        }
      };
      // After a long task of this host, timers run before a connection that was made meanwhile is noticed.
      const timer = setTimeout(() => setImmediate(destroy), timeoutMs);
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(socket);
      });
      // The listener stays: an error without one would end the process.
      socket.on('error', (err) => {
        clearTimeout(timer);
        reject(err);
      });
    });
  }
}

function createTimeoutError(address: string): Error {
  const message = `connect ETIMEDOUT ${address}`;
  return Object.assign(new Error(message), { code: 'ETIMEDOUT', syscall: 'connect' });
}
