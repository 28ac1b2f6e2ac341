import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as deployments from '../src/deployment.js';

/** Memory of a daemon at the size that the design is made for, in MB, and the heap that fits into it. */
const MEMORY_MB = 256;
const NODE_ARGS = ['--max-old-space-size=110', '--max-semi-space-size=1'];

/** Descriptors that a daemon may use: half of those of a small machine. */
const DESCRIPTORS = 2_048;

const KB = 1_024;
const MB = 1_024 * KB;

/** Longest wait of an ordinary caller that connects again, and longest wait for a start or a stop, in milliseconds. */
const WAIT_MS = 30_000;

const ZONES = ['windhoek-a', 'windhoek-b', 'windhoek-c'];
const EXAMPLES = url.fileURLToPath(new URL('../../../../examples/kalahari', import.meta.url));
const TOKEN = 'authorization: Bearer example-token-sales\r\n';

async function start(t: tap.Test): Promise<deployments.Deployment> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-callers-'));
  const deployment = new deployments.Deployment({
    folder,
    zones: ZONES,
    daemonsPerZone: 1,
    voters: 3,
    enginesPerZone: 2,
    services: ['booking'],
    models: [],
    tokensTotal: 65_536,
    speed: 4,
    logLevel: 'warn',
    nodeArgs: NODE_ARGS,
  });
  t.teardown(async () => {
    await deployment.end();
    fs.rmSync(folder, { recursive: true, force: true });
  });
  await deployment.start();
  await deployment.waitReady(WAIT_MS);
  await deployment.apply(EXAMPLES);
  return deployment;
}

/** Books once, or resends the booking with its key; returns how often it was run, or `undefined` without an answer. */
async function book(
  deployment: deployments.Deployment,
  booking: string,
): Promise<number | undefined> {
  const endsAt = performance.now() + WAIT_MS;
  while (performance.now() < endsAt) {
    const res = await fetch(`${deployment.getUrl(0)}/services/booking/confirms`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer example-token-sales',
        'idempotency-key': booking,
      },
      body: JSON.stringify({ booking }),
      signal: AbortSignal.timeout(WAIT_MS),
    }).catch(() => undefined);
    if (res?.status === 200) {
      const answer = (await res.json()) as { readonly count: number };
      return answer.count;
    }
    await deployments.pause(100);
  }
  return undefined;
}

type Connect = (address: string) => fakes.MisbehavingCaller;

interface Target {
  readonly caller: string;
  readonly peer: string;
  /** Suspends or resumes the daemon. */
  readonly suspend: (isSuspended: boolean) => void;
}

/** Runs an attack on one daemon and checks that it lives within its limits and that ordinary calls are served. */
async function check(
  t: tap.Test,
  send: (target: Target, connect: Connect) => Promise<void>,
): Promise<void> {
  const deployment = await start(t);
  const { child, entry } = deployment.daemons[0]!;
  const { callerPort, host, peerPort } = entry;
  const watch = new fakes.ProcessWatch(child.pid);
  const callers: fakes.MisbehavingCaller[] = [];
  t.teardown(() => {
    watch.stop();
    callers.forEach((caller) => caller.leave());
  });
  t.equal(await book(deployment, 'before'), 1, 'an ordinary call is served before');
  const target = {
    caller: `${host}:${callerPort}`,
    peer: `${host}:${peerPort}`,
    suspend: (isSuspended: boolean) => child.suspend(isSuspended),
  };
  await send(target, (address) => {
    const caller = new fakes.MisbehavingCaller(address);
    callers.push(caller);
    return caller;
  });
  await watch.waitIdle();
  t.ok(watch.isAlive(), 'the daemon lives');
  const isServed = async (booking: string) =>
    watch.isAlive() && (await book(deployment, booking)) === 1;
  t.ok(await isServed('before'), 'a resend gets the answer of the first call');
  callers.forEach((caller) => caller.leave());
  await watch.waitIdle();
  t.ok(await isServed('before'), 'a resend gets the answer of the first call afterwards');
  t.ok(watch.isAlive() && (await isReadServed(deployment)), 'an ordinary call is served');
  const peakMb = watch.findPeakMb() ?? Infinity;
  t.comment(`peak: ${peakMb} MB, ${watch.peakDescriptors} descriptors`);
  t.ok(peakMb <= MEMORY_MB, `the memory stays within ${MEMORY_MB} MB`);
  t.ok(watch.peakDescriptors <= DESCRIPTORS, `the descriptors stay within ${DESCRIPTORS}`);
  t.ok(watch.isAlive(), 'the daemon lives at the end');
}

async function isReadServed(deployment: deployments.Deployment): Promise<boolean> {
  const res = await fetch(`${deployment.getUrl(0)}/services/booking/slots/1`, {
    headers: { authorization: 'Bearer example-token-sales' },
    signal: AbortSignal.timeout(WAIT_MS),
  }).catch(() => undefined);
  return res?.status === 200;
}

const CONFIRM_HEAD = `POST /services/booking/confirms HTTP/1.1\r\nhost: a\r\n${TOKEN}`;

function createAhead(count: number, create: (index: number) => string): Buffer {
  return Buffer.from(Array.from({ length: count }, (_, index) => create(index)).join(''));
}

function createPost(target: string, fields: string, body: string): string {
  return `POST ${target} HTTP/1.1\r\nhost: a\r\n${fields}content-length: ${body.length}\r\n\r\n${body}`;
}

// Guards against memory by the chunk, where a body within the limit ends the daemon.
void tap.default.test('a body in chunks of one byte', (t) =>
  check(t, ({ caller }, connect) =>
    connect(caller).open(1, () =>
      fakes.createUnfinishedBody({ head: CONFIRM_HEAD, bytes: MB, chunkBytes: 1 }),
    ),
  ),
);

// Guards against bodies that together fill the memory of the daemon and never end.
void tap.default.test('unfinished bodies in large chunks', (t) =>
  check(t, ({ caller }, connect) =>
    connect(caller).open(60, () =>
      fakes.createUnfinishedBody({
        head: CONFIRM_HEAD,
        bytes: 3.75 * MB,
        chunkBytes: 256 * KB,
      }),
    ),
  ),
);

// Guards against the same at the interface for operators.
void tap.default.test('unfinished plans of an operator', (t) =>
  check(t, ({ caller }, connect) => {
    const token = `authorization: Bearer ${deployments.OPERATOR_TOKEN}\r\n`;
    const head = `POST /operator/v1/plans HTTP/1.1\r\nhost: a\r\n${token}`;
    return connect(caller).open(60, () =>
      fakes.createUnfinishedBody({ head, bytes: 3.75 * MB, chunkBytes: 256 * KB }),
    );
  }),
);

// Guards against calls that start by the thousand on one connection, and against keys that fill the memory.
void tap.default.test('calls to a service sent ahead, each with a new key', (t) =>
  check(t, ({ caller }, connect) =>
    connect(caller).open(20, (connection) =>
      createAhead(4_000, (index) => {
        const key = `${connection}-${index}`;
        const body = JSON.stringify({ booking: key });
        return createPost(
          '/services/booking/confirms',
          `${TOKEN}idempotency-key: ${key}\r\n`,
          body,
        );
      }),
    ),
  ),
);

// Guards against the same by completions.
void tap.default.test('completions sent ahead, each with a new key', (t) =>
  check(t, ({ caller }, connect) =>
    connect(caller).open(20, (connection) =>
      createAhead(4_000, (index) => {
        const fields = `${TOKEN}idempotency-key: ${connection}-${index}\r\n`;
        const messages = [{ role: 'user', content: 'a' }];
        const body = JSON.stringify({ model: 'spot-drafter', messages, max_tokens: 4 });
        return createPost('/v1/chat/completions', fields, body);
      }),
    ),
  ),
);

// Guards against refusals that are queued by the thousand for a caller that reads none.
void tap.default.test('requests sent ahead without a token', (t) =>
  check(t, ({ caller }, connect) =>
    connect(caller).open(20, () =>
      createAhead(20_000, () => 'GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n'),
    ),
  ),
);

// Guards against heads of many small headers, which take many times their bytes for as long as the body is not ended.
void tap.default.test('heads of many headers', (t) => {
  const headers = Array.from({ length: 1_900 }, (_, i) => `${i.toString(36)}:\r\n`).join('');
  return check(t, ({ caller }, connect) =>
    connect(caller).open(1_000, () =>
      fakes.createUnfinishedBody({ head: `${CONFIRM_HEAD}${headers}`, bytes: 1 }),
    ),
  );
});

// Guards against heads that arrive while the daemon stands still and are read in one round of its event loop, where their
// memory is free only at its end.
for (const { end, name } of [
  { name: 'ended', end: 'content-length: 1\r\n\r\n' },
  { name: 'unended', end: '' },
]) {
  void tap.default.test(`heads of many headers that arrive at once, ${name}`, (t) => {
    const headers = Array.from({ length: 1_900 }, (_, i) => `${i.toString(36)}:\r\n`).join('');
    const head = Buffer.from(`${CONFIRM_HEAD}${headers}${end}`);
    return check(t, async ({ caller, suspend }, connect) => {
      const callers = connect(caller);
      await callers.open(1_000, () => Buffer.alloc(0));
      suspend(true);
      callers.write(() => head);
      await deployments.pause(1_000);
      suspend(false);
    });
  });
}

// Guards against bodies that nobody reads since their refusals wait behind the answer to a call that runs.
void tap.default.test('bodies of refused calls behind a generation', (t) =>
  check(t, ({ caller }, connect) => {
    const messages = [{ role: 'user', content: 'a' }];
    const slow = { model: 'spot-drafter', messages, max_tokens: 4_000, fake_output_tokens: 4_000 };
    return connect(caller).open(120, () =>
      Buffer.concat([
        Buffer.from(createPost('/v1/chat/completions', TOKEN, JSON.stringify(slow))),
        fakes.createUnfinishedBody({
          head: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\n',
          bytes: 100 * KB,
          chunkBytes: 1,
        }),
      ]),
    );
  }),
);

// Guards against idle connections that take every descriptor.
void tap.default.test('idle connections to both listeners', (t) =>
  check(t, async ({ caller, peer }, connect) => {
    await connect(peer).open(1_500, () => Buffer.alloc(0));
    await connect(caller).open(1_500, () => Buffer.alloc(0));
  }),
);
