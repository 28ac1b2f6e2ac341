import type * as net from 'node:net';

/**
 * Resets a connection; one whose end is being sent is closed. Node.js does not close it on a reset, and the process then
 * never exits.
 */
export function resetConnection(socket: net.Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
