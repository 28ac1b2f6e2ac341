import * as net from 'node:net';
import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as tap from 'tap';

import * as frames from '../src/frame.js';
import * as peers from '../src/index.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

async function listen(
  t: Teardown,
  onSocket: (socket: net.Socket) => void,
  allowHalfOpen = false,
): Promise<number> {
  const server = net.createServer({ allowHalfOpen }, onSocket);
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

/** Encodes a frame, of whatever shape. */
function encode(frame: unknown): Buffer {
  return new frames.FrameWriter().encode(frame as frames.Frame);
}

/** Encodes a call whose input is arrays within arrays. */
function createDeepCall(depth: number): Buffer {
  const head = Buffer.from([0x94, 0xa4, ...Buffer.from('call'), 1, 0xa1, 0x78]);
  const body = Buffer.concat([head, Buffer.alloc(depth, 0x91), Buffer.from([0])]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

/** Waits for the next bytes. */
function waitForData(source: stream.Duplex): Promise<void> {
  return new Promise((resolve) => {
    source.once('data', () => resolve());
  });
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

// Guards against connections to upstreams by the thousand for one connection of a peer.
void tap.default.test('a connection asks for one tunnel', async (t) => {
  let asked = 0;
  const { port } = await startPeer(t, async () => {
    asked += 1;
    return Promise.resolve('refused');
  });
  const socket = await connect(port);
  const ask = encode(['tunnel', '127.0.0.1:1', 100, true]);
  socket.write(Buffer.concat(Array.from({ length: 500 }, () => ask)));
  await new Promise((resolve) => {
    socket.resume().once('close', resolve);
  });
  t.equal(asked, 1);
});

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

// Guards against an answer without a length that looks complete because its upstream closed before it had the request.
void tap.default.test(
  'a tunnel breaks if the request was not sent by the end of the answer',
  async (t) => {
    const large = Buffer.alloc(200_000, 'x');
    const cases: Readonly<Record<string, (socket: net.Socket) => void>> = {
      'reset after its end': (socket) => {
        socket.end('first part', () => setTimeout(() => socket.destroy(), 60));
      },
      'more bytes of the request after its end': (socket) => {
        socket.resume();
        socket.end('first part');
      },
      'bytes that nobody reads': (socket) => {
        socket.end('first part');
      },
    };
    for (const [name, answer] of Object.entries(cases)) {
      const upstream = await listen(
        t,
        (socket) => {
          socket.on('error', () => {});
          socket.once('data', () => {
            socket.pause();
            answer(socket);
          });
        },
        true,
      );
      const { port } = await startPeer(t, () => connect(upstream));
      const tunnel = await open(port);
      const isSlow = name.startsWith('more bytes');
      tunnel.write(name.startsWith('bytes') ? Buffer.alloc(40_000_000) : large);
      const late = setTimeout(() => isSlow && tunnel.write(large), 60);
      t.same(await readAll(tunnel), { text: 'first part', isBroken: true }, name);
      clearTimeout(late);
    }
  },
);

// Guards against ends of answers that are held back though their small requests can't be unread.
void tap.default.test(
  'the end of an answer to a small request passes a tunnel at once',
  async (t) => {
    const requests = 40;
    const upstream = await listen(t, (socket) => {
      let received = 0;
      socket.on('error', () => {});
      socket.on('data', (bytes: Buffer) => {
        received += bytes.length;
        if (received < requests * 1_000) {
          socket.write('answer');
        } else {
          socket.end();
        }
      });
    });
    const { port } = await startPeer(t, () => connect(upstream));
    const times: number[] = [];
    for (let run = 0; run < 5; run += 1) {
      const tunnel = await open(port);
      for (let sent = 1; sent < requests; sent += 1) {
        tunnel.write(Buffer.alloc(1_000));
        await waitForData(tunnel);
      }
      const startedAt = performance.now();
      tunnel.write(Buffer.alloc(1_000));
      t.notOk((await readAll(tunnel)).isBroken);
      times.push(performance.now() - startedAt);
    }
    t.ok(Math.min(...times) < peers.RESET_MS, 'the last of many requests on one connection');
  },
);

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

// Guards against a relay that is passed over, and a call that fails, since this process was busy when it answered.
void tap.default.test('an answer that arrived while the process was busy counts', async (t) => {
  const port = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      setImmediate(() => {
        socket.write(encode(['tunnelled', 'connected']));
        const end = performance.now() + 600;
        while (performance.now() < end);
      });
    });
  });
  const tunnel = await open(port);
  t.notOk(tunnel.destroyed);
  tunnel.on('error', () => {});
  tunnel.destroy();
});

// Guards against a host that ends by an error without a listener, when what follows a peer's answer is no chunk.
void tap.default.test('a tunnel whose first bytes are no chunk breaks', async (t) => {
  const endless = Buffer.alloc(8, 0xff);
  const port = await listen(t, (socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(Buffer.concat([encode(['tunnelled', 'connected']), endless]));
    });
  });
  const tunnel = await open(port);
  t.match(await readAll(tunnel), { text: '', isBroken: true });
});

// Guards against a host that ends, or a server that stops, by frames that no peer of this version sends.
void tap.default.test('frames of a wrong shape end only their connection', async (t) => {
  const { port } = await startPeer(t, () => {
    throw new TypeError('no address');
  });
  const wrong: readonly unknown[] = [
    null,
    7,
    'ping',
    [],
    {},
    ['call'],
    ['call', {}, {}, {}],
    ['call', 1, 7, null],
    ['call', 1, '__proto__', null],
    ['part', 1, 0, 'text', true],
    ['part', 1, 0, Buffer.from([0xc1]), true],
    ['part', 1, 0, null, true],
    ['tunnel'],
    ['tunnel', 5, {}],
    ['tunnel', null, null],
    ['cancel', {}],
  ];
  const others = [createDeepCall(50_000), Buffer.alloc(64, 0xff), Buffer.alloc(64)];
  for (const bytes of [...wrong.map(encode), ...others]) {
    const socket = await connect(port);
    socket.on('error', () => {});
    socket.write(bytes);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    socket.destroy();
  }
  await t.rejects(open(port), /busy/, 'the server still answers');
});
