import type * as net from 'node:net';
import * as stream from 'node:stream';

import * as tap from 'tap';

import * as frames from '../src/frame.js';
import * as tunnelSockets from '../src/tunnel-socket.js';

const MESSAGE_BYTES = 512 * 1024;

/** Counts the bytes that are copied to join parts while some work runs. */
function countJoinedBytes(work: () => void): number {
  const { concat } = Buffer;
  let joined = 0;
  Buffer.concat = (parts, length) => {
    joined += parts.reduce((sum, part) => sum + part.length, 0);
    return concat(parts, length);
  };
  try {
    work();
  } finally {
    Buffer.concat = concat;
  }
  return joined;
}

/** Yields bytes one by one. */
function* split(bytes: Buffer): Generator<Buffer> {
  for (let at = 0; at < bytes.length; at += 1) {
    yield bytes.subarray(at, at + 1);
  }
}

void tap.default.test('a chunk of a tunnel in parts of one byte', async (t) => {
  // Guards against a host that answers nobody while it joins the parts of a chunk again and again.
  const head = Buffer.alloc(4);
  head.writeUInt32BE(MESSAGE_BYTES);
  const bytes = Buffer.concat([head, Buffer.alloc(MESSAGE_BYTES, 'x')]);
  const socket = new stream.PassThrough();
  const tunnel = new tunnelSockets.TunnelSocket(socket as unknown as net.Socket, Buffer.alloc(0));
  const joined = countJoinedBytes(() => {
    for (const part of split(bytes)) {
      socket.emit('data', part);
    }
  });
  t.equal(tunnel.bytesRead, MESSAGE_BYTES, 'the chunk is complete');
  t.ok(joined <= 2 * bytes.length, `${joined} bytes are copied for a chunk of ${bytes.length}`);
});

void tap.default.test('a frame in parts of one byte', async (t) => {
  // Guards against the same for the frames between hosts.
  const bytes = new frames.FrameWriter().encode(['call', 1, 'p', 'x'.repeat(MESSAGE_BYTES)]);
  const reader = new frames.FrameReader();
  const received: frames.Frame[] = [];
  const joined = countJoinedBytes(() => {
    for (const part of split(bytes)) {
      received.push(...reader.push(part));
    }
  });
  t.equal(received.length, 1, 'the frame is complete');
  t.ok(joined <= 2 * bytes.length, `${joined} bytes are copied for a frame of ${bytes.length}`);
});
