/**
 * An upstream in a thread of its own that begins each answer at once and ends it at a time which the path of the call
 * states: so many milliseconds before the time limit that was sent with it. Only the end of its connection marks that of
 * an answer. It posts its port.
 */
import * as net from 'node:net';
import * as workers from 'node:worker_threads';

/** Time before the end from which on a timer is too coarse, in milliseconds. */
const PRECISE_MS = 3;

const HEAD_END = '\r\n\r\n';
const CALL_PATH = /^POST \/\w+\/(\d+)\//;
const CALL_ID = /^call-id: *(\w+)/im;
const LEFT_MS = /^left-ms: *(\d+)/im;

function waitUntil(time: number, run: () => void): void {
  const leftMs = time - performance.now();
  if (leftMs <= 0) {
    run();
  } else if (leftMs > PRECISE_MS) {
    setTimeout(() => waitUntil(time, run), leftMs - PRECISE_MS);
  } else {
    setImmediate(() => waitUntil(time, run));
  }
}

function answer(socket: net.Socket, head: string): void {
  const earlyMs = CALL_PATH.exec(head)?.[1];
  if (earlyMs === undefined) {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
    return;
  }
  const callId = CALL_ID.exec(head)?.[1] ?? '';
  const end = performance.now() + Number(LEFT_MS.exec(head)?.[1]) - Number(earlyMs);
  socket.write(`HTTP/1.1 200 OK\r\ncall-id: ${callId}\r\n\r\nid: 1\ndata: one\n\n`);
  waitUntil(end, () => socket.end());
}

const server = net.createServer({ noDelay: true }, (socket) => {
  let received = '';
  socket.on('error', () => {});
  socket.on('data', (part: Buffer) => {
    received += part.toString('latin1');
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd >= 0) {
      const head = received.slice(0, headEnd);
      received = '';
      answer(socket, head);
    }
  });
});
server.listen(0, '127.0.0.1', () => {
  workers.parentPort?.postMessage((server.address() as net.AddressInfo).port);
});
