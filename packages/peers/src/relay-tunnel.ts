import type * as net from 'node:net';
import type * as stream from 'node:stream';

import * as tunnelMessages from './tunnel-messages.js';

/**
 * Relays bytes between a peer and an upstream until one of them closes its connection. The normal end of the upstream's
 * bytes is marked; an upstream that breaks off leaves them without an end.
 */
export function relayTunnel(near: net.Socket, far: stream.Duplex): void {
  const close = () => {
    far.destroy();
    near.destroy();
  };
  far.on('data', (bytes: Buffer) => {
    if (!writeChunk(near, bytes)) {
      pauseUntilDrain(far, near);
    }
  });
  near.on('data', (bytes: Buffer) => {
    if (!far.write(bytes)) {
      pauseUntilDrain(near, far);
    }
  });
  far.once('end', () => {
    // A reset that arrives together with data is reported as a plain end; an empty write fails after a reset.
    far.write('', (err) => {
      if (err) {
        close();
      } else {
        near.end(tunnelMessages.END_CHUNK);
      }
    });
  });
  far.once('error', close);
  near.once('error', close);
  near.once('close', () => far.destroy());
  near.resume();
  far.once('close', () => {
    if (!near.writableEnded) {
      near.destroy();
    }
  });
}

function writeChunk(near: net.Socket, bytes: Buffer): boolean {
  const head = Buffer.allocUnsafe(tunnelMessages.CHUNK_HEAD_BYTES);
  head.writeUInt32BE(bytes.length);
  near.cork();
  near.write(head);
  const mayContinue = near.write(bytes);
  near.uncork();
  return mayContinue;
}

function pauseUntilDrain(source: stream.Duplex, target: stream.Duplex): void {
  source.pause();
  target.once('drain', () => source.resume());
}
