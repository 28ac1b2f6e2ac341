import * as http from 'node:http';
import type * as stream from 'node:stream';

import * as breakOffs from './break-off.js';

/** Statuses of the answers to requests that can't be read, by the code of the error; 400 for any other. */
const STATUSES: ReadonlyMap<unknown, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/**
 * Closes a connection whose bytes can't be read, as Node.js does without a handler, but without the error: it has a copy of
 * up to 64 KB of these bytes, which the socket would keep until it reports its end. `current` is the response whose turn it is;
 * its end is made visible.
 */
export function closeUnreadable(
  err: Error,
  socket: stream.Duplex,
  current: http.ServerResponse | undefined,
): void {
  if (current !== undefined && breakOffs.isUnmarked(current)) {
    breakOffs.breakOff(current);
  }
  if (socket.writable && current?.headersSent !== true) {
    const status = STATUSES.get((err as NodeJS.ErrnoException).code) ?? 400;
    const reason = http.STATUS_CODES[status];
    socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy();
}
