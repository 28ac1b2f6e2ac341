import * as net from 'node:net';
import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as tap from 'tap';

import * as peers from '../src/index.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

async function listen(t: Teardown, onSocket: (socket: net.Socket) => void): Promise<number> {
  const server = net.createServer(onSocket);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return (server.address() as net.AddressInfo).port;
}

async function startPeer(
  t: Teardown,
  openTunnel: peers.OpenTunnel,
): Promise<{ server: peers.PeerServer; port: number }> {
  const server = new peers.PeerServer(trpc.initTRPC.create().router({}), {
    host: '127.0.0.1',
    port: 0,
    keyring: undefined,
    log: new schemas.SilentLog(),
    openTunnel,
  });
  t.teardown(() => server.close());
  return { server, port: await server.listen() };
}

function connect(port: number): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1', () => resolve(socket));
    socket.once('error', reject);
  });
}

function open(port: number, address = '127.0.0.1:1'): Promise<stream.Duplex> {
  const options = { host: '127.0.0.1', port, keyring: undefined, timeoutMs: 500 };
  return peers.openTunnel(options, { address, connectMs: 100 });
}

/** Reads until the stream ends or breaks. */
async function readAll(source: stream.Duplex): Promise<{ text: string; isBroken: boolean }> {
  const parts: Buffer[] = [];
  try {
    for await (const part of source) {
      parts.push(part as Buffer);
    }
    return { text: Buffer.concat(parts).toString(), isBroken: false };
  } catch {
    return { text: Buffer.concat(parts).toString(), isBroken: true };
  }
}

void tap.default.test('a tunnel carries bytes both ways and the normal end', async (t) => {
  const upstream = await listen(t, (socket) => {
    socket.once('data', (bytes: Buffer) => socket.end(`got ${bytes.toString()}`));
  });
  const { port } = await startPeer(t, () => connect(upstream));
  const tunnel = await open(port);
  tunnel.write('hello');
  t.same(await readAll(tunnel), { text: 'got hello', isBroken: false });
});

void tap.default.test('a tunnel carries many bytes to a slow reader', async (t) => {
  const size = 4 * 1024 * 1024;
  const upstream = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.end(Buffer.alloc(size, 'x'));
  });
  const { port } = await startPeer(t, () => connect(upstream));
  const tunnel = await open(port);
  let received = 0;
  for await (const part of tunnel) {
    received += (part as Buffer).length;
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  t.equal(received, size);
});

// Guards against an answer without a length that looks complete because its relay has ended.
void tap.default.test('a relay that ends in the middle breaks the tunnel', async (t) => {
  const upstream = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.write('first part');
  });
  const { port, server } = await startPeer(t, () => connect(upstream));
  const tunnel = await open(port);
  const read = readAll(tunnel);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  server.close();
  t.same(await read, { text: 'first part', isBroken: true });
});

// Guards against an answer without a length that looks complete because its upstream was reset.
void tap.default.test('an upstream that resets its connection breaks the tunnel', async (t) => {
  const upstream = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.write('first part', () => setTimeout(() => socket.resetAndDestroy(), 50));
  });
  const { port } = await startPeer(t, () => connect(upstream));
  const { isBroken } = await readAll(await open(port));
  t.ok(isBroken);
});

void tap.default.test('a closed tunnel closes the connection to the upstream', async (t) => {
  let close = () => {};
  const closed = new Promise<void>((resolve) => {
    close = resolve;
  });
  const upstream = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.once('close', close);
  });
  const { port } = await startPeer(t, () => connect(upstream));
  const tunnel = await open(port);
  tunnel.destroy();
  await closed;
  t.pass('the upstream sees the end at once');
});

void tap.default.test('a peer says why it opens no tunnel', async (t) => {
  const { port } = await startPeer(t, async () => Promise.resolve('cut' as const));
  await t.rejects(open(port), { name: 'TunnelError', result: 'cut' });
  const failing = await startPeer(t, () => Promise.reject(new Error('no')));
  await t.rejects(open(failing.port), { name: 'TunnelError', result: 'busy' });
});

// Guards against a wait without end for a peer that accepts connections and is silent.
void tap.default.test('a peer that does not answer is given up', async (t) => {
  const port = await listen(t, (socket) => socket.on('error', () => {}));
  await t.rejects(open(port), { name: 'TunnelError', result: 'lost' });
});
