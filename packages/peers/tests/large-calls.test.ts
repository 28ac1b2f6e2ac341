import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as fc from 'fast-check';
import * as msgpackr from 'msgpackr';
import * as tap from 'tap';

const MIB = 1024 * 1024;

/** 10 Mbit/s. */
const SLOW_BYTES_PER_S = 1_250_000;

interface Teardown {
  teardown(handler: () => unknown): void;
}

const t0 = trpc.initTRPC.create();
const router = t0.router({
  echo: t0.procedure.input((value: unknown) => value).mutation(({ input }) => input),
  measure: t0.procedure
    .input((value: unknown) => value as { text: string })
    .mutation(({ input }) => input.text.length),
  create: t0.procedure
    .input((value: unknown) => value as number)
    .mutation(({ input }) => 'x'.repeat(input)),
});

async function listen(t: Teardown): Promise<number> {
  const log = new schemas.SilentLog();
  const server = new peers.PeerServer(router, {
    host: '127.0.0.1',
    port: 0,
    keyring: undefined,
    log,
  });
  t.teardown(() => server.close());
  return server.listen();
}

function connect(t: Teardown, port: number): peers.PeerClient {
  const client = new peers.PeerClient({
    peer: 'p',
    host: '127.0.0.1',
    port,
    keyring: undefined,
    connectMs: 1_000,
  });
  t.teardown(() => client.close());
  return client;
}

async function connectSlowly(t: Teardown): Promise<peers.PeerClient> {
  const target = { host: '127.0.0.1', port: await listen(t) };
  const link = await fakes.SlowLink.open({ target, bytesPerS: SLOW_BYTES_PER_S });
  t.teardown(() => link.close());
  return connect(t, link.port);
}

// Guards against tests that fail since their link is slower than stated in a busy process.
void tap.default.test('a slow link has its bandwidth in a busy process', async (t) => {
  const clock = new schemas.SystemClock();
  const sink = net.createServer((socket) => socket.on('error', () => {}).resume());
  await new Promise<void>((resolve) => {
    sink.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => sink.close());
  const target = { host: '127.0.0.1', port: (sink.address() as net.AddressInfo).port };
  const link = await fakes.SlowLink.open({ target, bytesPerS: SLOW_BYTES_PER_S });
  t.teardown(() => link.close());
  const socket = net.connect(link.port, '127.0.0.1').on('error', () => {});
  socket.write(Buffer.alloc(40_000));
  while (link.passedBytes === 0) {
    await clock.sleep(1);
  }
  const end = performance.now() + 200;
  while (performance.now() < end);
  await clock.sleep(10);
  t.equal(link.passedBytes, 40_000);
});

void tap.default.test('a large call over a slow link outlasts its deadline', async (t) => {
  // Guards against a call whose bytes take longer than its deadline and that fails again at each repetition.
  const client = await connectSlowly(t);
  const text = 'x'.repeat(1.5 * MIB);
  t.equal(await client.call('measure', { text }, 500), text.length);
});

void tap.default.test('a large answer over a slow link outlasts its deadline', async (t) => {
  // Guards against an answer that is dropped on its way and requested again, without end.
  const client = await connectSlowly(t);
  t.equal(((await client.call('create', 1.5 * MIB, 500)) as string).length, 1.5 * MIB);
});

void tap.default.test('small calls are answered while a large one is on its way', async (t) => {
  // Guards against heartbeats that wait behind a large call until the peer takes their sender for lost.
  const client = await connectSlowly(t);
  await client.call('echo', 0, 500);
  let isOver = false;
  const large = client.call('measure', { text: 'x'.repeat(1.5 * MIB) }, 500).finally(() => {
    isOver = true;
  });
  let beside = 0;
  while (!isOver) {
    t.equal(await client.call('echo', beside, 400), beside);
    beside += 1;
  }
  t.equal(await large, 1.5 * MIB);
  t.ok(beside >= 4, `${beside} small calls meanwhile`);
});

void tap.default.test('a call over the limit is refused before it is sent', async (t) => {
  // Guards against a call that closes the connection of all others each time that it is repeated.
  const client = connect(t, await listen(t));
  await t.rejects(client.call('create', 17 * MIB, 2_000), /over the limit of 16777216/);
  const text = 'x'.repeat(peers.MAX_CALL_BYTES);
  await t.rejects(client.call('measure', { text }, 2_000), {
    message: /over the limit of 67108864/,
    id: 'frameTooLarge',
  });
  t.equal(await client.call('echo', 1, 2_000), 1);
  t.equal(client.counts.bytesOut < 10_000, true, 'nothing of it was sent');
});

void tap.default.test('a stalled peer fails a large call', async (t) => {
  // Guards against a call that never ends because its peer stops reading.
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket.pause());
    socket.on('error', () => {});
    const writer = new peers.FrameWriter();
    socket.write(writer.encode(['parts']));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const client = connect(t, (server.address() as net.AddressInfo).port);
  const text = 'x'.repeat(MIB);
  await t.rejects(client.call('measure', { text }, 200), /no answer within 200 ms/);
});

void tap.default.test('a peer that does not know parts gets a large call whole', async (t) => {
  // Guards against calls that hosts of the previous version never answer during an upgrade.
  const server = net.createServer((socket) => {
    const reader = new peers.FrameReader();
    const writer = new peers.FrameWriter();
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      for (const frame of reader.push(bytes)) {
        if (frame[0] === 'ping') {
          socket.write(writer.encode(['pong']));
        } else if (frame[0] === 'call') {
          const { text } = frame[3] as { text: string };
          socket.write(writer.encode(['result', frame[1], text.length]));
        }
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const client = connect(t, (server.address() as net.AddressInfo).port);
  t.equal(await client.call('measure', { text: 'x'.repeat(MIB) }, 2_000), MIB);
  const text = 'x'.repeat(peers.MAX_FRAME_BYTES);
  await t.rejects(client.call('measure', { text }, 2_000), /over the limit of 16777216/);
  client.close();
});

void tap.default.test('the estimated size of a value is an upper bound', async (t) => {
  const packr = new msgpackr.Packr({ useRecords: false });
  const property = fc.property(fc.anything(), (value) => {
    const plain: unknown = JSON.parse(JSON.stringify(value) ?? 'null');
    return packr.pack(plain).length <= schemas.estimateEncodedBytes(plain);
  });
  t.doesNotThrow(() => fc.assert(property, { seed: 5, numRuns: 500 }));
});
