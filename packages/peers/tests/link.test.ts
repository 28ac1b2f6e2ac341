import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as fc from 'fast-check';
import * as tap from 'tap';

interface Teardown {
  teardown(handler: () => unknown): void;
}

const t0 = trpc.initTRPC.create();
const router = t0.router({
  echo: t0.procedure.input((value: unknown) => value).mutation(({ input }) => input),
  never: t0.procedure.mutation(() => new Promise(() => {})),
  late: t0.procedure.mutation(() => new schemas.SystemClock().sleep(400)),
  block: t0.procedure.mutation(() => {
    // Runs after the answer is written and before the client can read it.
    setImmediate(() => block(200));
    return 'answered';
  }),
  fail: t0.procedure.mutation(() => {
    throw new schemas.StepError({ id: 'notLeader', step: 'test' });
  }),
});

function writeKeys(t: Teardown, file: schemas.KeyFile): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-keys-'));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const name = path.join(folder, 'keys.json');
  fs.writeFileSync(name, JSON.stringify(file));
  return name;
}

/** Keeps this process busy. */
function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

function createKey(): string {
  return crypto.randomBytes(32).toString('base64');
}

async function listen(t: Teardown, keyring: peers.Keyring): Promise<number> {
  const server = new peers.PeerServer(router, {
    host: '127.0.0.1',
    port: 0,
    keyring,
    log: new schemas.SilentLog(),
  });
  t.teardown(() => server.close());
  return server.listen();
}

function connect(t: Teardown, keyring: peers.Keyring, port: number): peers.PeerClient {
  const client = new peers.PeerClient({
    peer: 'p',
    host: '127.0.0.1',
    port,
    keyring,
    connectMs: 1_000,
  });
  t.teardown(() => client.close());
  return client;
}

void tap.default.test('one connection carries calls, failures and deadlines', async (t) => {
  const keyring = new peers.Keyring(writeKeys(t, { active: 'k1', keys: { k1: createKey() } }));
  const client = connect(t, keyring, await listen(t, keyring));
  t.same(await client.call('echo', { a: [1, 'ü'] }, 2_000), { a: [1, 'ü'] });
  await t.rejects(client.call('never', null, 50), /no answer within 50 ms/);
  const failed = await client.call('fail', null, 2_000).catch((err: unknown) => err);
  t.match(
    failed,
    { code: 'notLeader', peer: 'p', step: 'fail' },
    'the error names the peer and the step',
  );
});

// Guards against a sound peer that counts as lost, with all calls to it, because this process was busy at a deadline.
void tap.default.test('an answer that arrived while the process was busy counts', async (t) => {
  const keyring = new peers.Keyring(writeKeys(t, { active: 'k1', keys: { k1: createKey() } }));
  const client = connect(t, keyring, await listen(t, keyring));
  await client.call('echo', 1, 2_000);
  const late = client.call('late', null, 2_000);
  t.equal(await client.call('block', null, 100), 'answered');
  await t.resolves(late, 'and the other call on the connection is answered, too');
});

// Guards against a sound peer that counts as lost since this process was busy while it connected to it.
void tap.default.test('a connect that was done while the process was busy counts', async (t) => {
  const keyring = new peers.Keyring(writeKeys(t, { active: 'k1', keys: { k1: createKey() } }));
  const options = { peer: 'p', host: '127.0.0.1', port: await listen(t, keyring) };
  const client = new peers.PeerClient({ ...options, keyring, connectMs: 100 });
  t.teardown(() => client.close());
  const answer = new Promise((resolve, reject) => {
    setImmediate(() => {
      client.call('echo', 1, 2_000).then(resolve, reject);
      process.nextTick(() => block(200));
    });
  });
  t.equal(await answer, 1);
});

void tap.default.test(
  'key rotation keeps connections open, and a wrong key is rejected',
  async (t) => {
    const [old, young] = [createKey(), createKey()];
    const serverFile = writeKeys(t, { active: 'old', keys: { old } });
    const serverKeys = new peers.Keyring(serverFile);
    const port = await listen(t, serverKeys);
    const clientFile = writeKeys(t, { active: 'old', keys: { old } });
    const clientKeys = new peers.Keyring(clientFile);
    const first = connect(t, clientKeys, port);
    t.equal(await first.call('echo', 1, 2_000), 1);
    fs.writeFileSync(serverFile, JSON.stringify({ active: 'old', keys: { old, young } }));
    serverKeys.reload();
    fs.writeFileSync(clientFile, JSON.stringify({ active: 'young', keys: { old, young } }));
    clientKeys.reload();
    t.equal(await first.call('echo', 2, 2_000), 2, 'the established connection stays open');
    t.equal(
      await connect(t, clientKeys, port).call('echo', 3, 2_000),
      3,
      'a new connection uses the new key',
    );
    const wrong = new peers.Keyring(writeKeys(t, { active: 'old', keys: { old: createKey() } }));
    await t.rejects(connect(t, wrong, port).call('echo', 4, 2_000));
  },
);

void tap.default.test('the call after a lost connection opens a new one', async (t) => {
  const keyring = new peers.Keyring(writeKeys(t, { active: 'k1', keys: { k1: createKey() } }));
  const target = await listen(t, keyring);
  const sockets = new Set<net.Socket>();
  const proxy = net.createServer((socket) => {
    const upstream = net.connect(target, '127.0.0.1');
    sockets.add(socket);
    socket.pipe(upstream).pipe(socket);
    socket.on('error', () => upstream.destroy());
    upstream.on('error', () => socket.destroy());
  });
  await new Promise<void>((resolve) => {
    proxy.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    proxy.close();
  });
  const client = connect(t, keyring, (proxy.address() as net.AddressInfo).port);
  t.equal(await client.call('echo', 1, 2_000), 1);
  sockets.forEach((socket) => socket.destroy());
  await client.call('echo', 2, 2_000).catch(() => {});
  t.equal(await client.call('echo', 3, 2_000), 3);
});

void tap.default.test(
  'a connection whose packets are dropped is replaced after the first lost call',
  async (t) => {
    // Guards against reuse of a connection for which a middlebox lost its state: packets are dropped without a reset,
    // while new connections work.
    const keyring = new peers.Keyring(writeKeys(t, { active: 'k1', keys: { k1: createKey() } }));
    const target = await listen(t, keyring);
    let isDropping = false;
    const sockets: net.Socket[] = [];
    const proxy = net.createServer((socket) => {
      const upstream = net.connect(target, '127.0.0.1');
      const isOld = sockets.length === 0;
      sockets.push(socket, upstream);
      socket.on('data', (bytes) => (isOld && isDropping ? undefined : upstream.write(bytes)));
      upstream.on('data', (bytes) => (isOld && isDropping ? undefined : socket.write(bytes)));
      [socket, upstream].forEach((side) => side.on('error', () => {}));
    });
    await new Promise<void>((resolve) => {
      proxy.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      sockets.forEach((socket) => socket.destroy());
      proxy.close();
    });
    const client = connect(t, keyring, (proxy.address() as net.AddressInfo).port);
    t.equal(await client.call('echo', 1, 2_000), 1);
    isDropping = true;
    await t.rejects(client.call('echo', 2, 150), /no answer/);
    t.equal(await client.call('echo', 3, 2_000), 3, 'the next call uses a new connection');
  },
);

void tap.default.test(
  'frames are decoded however the bytes are split, and oversized ones are refused',
  async (t) => {
    const frames: peers.Frame[] = [
      ['call', 1, 'echo', { text: 'Lüderitz', bytes: Buffer.from([1, 2, 3]) }],
      ['call', 2, 'echo', { text: 'the same shape', bytes: Buffer.from([4]) }],
      ['result', 1, undefined],
      ['ping'],
    ];
    const writer = new peers.FrameWriter();
    const bytes = Buffer.concat(frames.map((frame) => writer.encode(frame)));
    const property = fc.property(
      fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }),
      (cuts) => {
        const reader = new peers.FrameReader();
        const found: peers.Frame[] = [];
        for (let at = 0, i = 0; at < bytes.length; i += 1) {
          const size = cuts[i % cuts.length]!;
          found.push(...reader.push(bytes.subarray(at, at + size)));
          at += size;
        }
        return JSON.stringify(found) === JSON.stringify(frames);
      },
    );
    t.doesNotThrow(() => fc.assert(property, { seed: 3, numRuns: 200 }));
    const head = Buffer.alloc(4);
    head.writeUInt32BE(peers.MAX_FRAME_BYTES + 1);
    t.throws(() => [...new peers.FrameReader().push(head)], /over the limit/);
  },
);
