import type * as net from 'node:net';
import type * as stream from 'node:stream';

import * as relayedRequests from './relayed-request.js';
import * as requestEnds from './request-end.js';
import * as tunnelMessages from './tunnel-messages.js';

/**
 * Relays bytes between a peer and an upstream until one of them closes its connection. The normal end of the upstream's
 * bytes is marked; an upstream that breaks off leaves them without an end, and so does one that ends before the request
 * was sent, as its answer may end there for that reason. Returns the function that announces to the peer that this host is
 * leaving.
 */
export function relayTunnel(near: net.Socket, far: stream.Duplex): () => void {
  const request = new relayedRequests.RelayedRequest();
  let isMarked = false;
  const close = () => {
    far.destroy();
    // After the mark, an orderly close would confirm it.
    if (isMarked) {
      near.resetAndDestroy();
    } else {
      near.destroy();
    }
  };
  /** Marks the end, and closes the tunnel in order if no reset of the upstream can follow. */
  const markEnd = (isLast: boolean) => {
    if (request.wasUnsent()) {
      close();
      return;
    }
    // A reset that arrives together with data is reported as a plain end; an empty write fails after a reset.
    far.write('', (err) => {
      if (err) {
        close();
        return;
      }
      if (!isMarked) {
        isMarked = true;
        near.write(tunnelMessages.END_CHUNK);
      }
      if (isLast) {
        near.end();
        far.end();
      }
    });
  };
  // Bytes that follow the upstream's end show that the request wasn't sent; its connection must still take them.
  far.allowHalfOpen = true;
  far.on('data', (bytes: Buffer) => {
    request.noteAnswer();
    if (!writeChunk(near, bytes)) {
      pauseUntilDrain(far, near);
    }
  });
  near.on('data', (bytes: Buffer) => {
    request.addBytes(bytes.length);
    if (!far.write(bytes)) {
      pauseUntilDrain(near, far);
    }
  });
  far.once('end', () => {
    request.noteAnswerEnd(far.writableLength);
    if (!request.isLarge() && !request.wasUnsent()) {
      markEnd(false);
    }
    // In a delayed process the timer is due before bytes of the request that have arrived are read.
    setTimeout(() => setImmediate(() => markEnd(true)), requestEnds.RESET_MS).unref();
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
  return () => {
    if (near.writable) {
      near.write(tunnelMessages.LEAVING_CHUNK);
    }
  };
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
