import * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as sites from './support/small-site.js';

/** Limit of the held bytes in these tests. */
const LIMIT_BYTES = 256 * 1024;

/** Size of one answer; larger than what the sockets on loopback buffer. */
const ANSWER_BYTES = 24 * 1024 * 1024;

/** Number of callers that read slowly at once. */
const READERS = 12;

/** Maximum of the bytes held for one stream: a part of the upstream and the buffers of both streams. */
const MAX_BYTES_PER_STREAM = 512 * 1024;

/** Part of an answer: an event of a stream. */
const PART = Buffer.from(`data: ${'x'.repeat(64 * 1024 - 8)}\n\n`);

/** A caller that reads nothing until it is told to. */
class SlowReader {
  public received = 0;
  public status = 0;
  public isWhole = false;
  private res: http.IncomingMessage | undefined;
  private readonly req: http.ClientRequest;
  private readonly ended: Promise<void>;

  public constructor(port: number, path: string) {
    const headers = { host: 'site.example', 'call-id': 'slow', key: 'k1' };
    this.req = http.request({ host: '127.0.0.1', port, path, headers, agent: false });
    this.ended = new Promise((resolve) => {
      this.req.on('error', () => resolve());
      this.req.on('response', (res) => {
        this.res = res;
        this.status = res.statusCode ?? 0;
        res.on('error', () => {});
        res.on('close', () => {
          this.isWhole = res.complete;
          resolve();
        });
      });
    });
    this.req.end();
  }

  /** Reads the rest of the answer. */
  public async readRest(): Promise<void> {
    this.res?.on('data', (part: Buffer) => {
      this.received += part.length;
    });
    await this.ended;
  }

  public leave(): void {
    this.req.destroy();
  }
}

/** An upstream that sends a large answer as fast as it is read, and a small one for other paths. */
class FastUpstream {
  public sent = 0;

  public readonly answer = (req: http.IncomingMessage, res: http.ServerResponse) => {
    const headers = { 'call-id': req.headers['call-id'] };
    if (req.url?.includes('large') !== true) {
      res.writeHead(200, headers).end('data: small\n\n');
      return;
    }
    res.writeHead(200, { ...headers, 'content-length': ANSWER_BYTES });
    let left = ANSWER_BYTES;
    const send = () => {
      while (left > 0 && !res.destroyed) {
        left -= PART.length;
        this.sent += PART.length;
        if (!res.write(PART)) {
          res.once('drain', send);
          return;
        }
      }
      res.end();
    };
    send();
  };
}

async function startSite(t: tap.Test, isShared: boolean, isStream = false) {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  site.capacitySharing = isShared ? { teamWeights: {}, heldBytes: LIMIT_BYTES } : undefined;
  const upstream = new FastUpstream();
  for (let i = 1; i <= READERS; i += 1) {
    await site.addUpstream(`app-${i}`, 'app', upstream.answer);
  }
  await site.start(3);
  const config = sites.createConfig(1);
  const routes = config.routes.map((route) =>
    route.name === 'plain' ? { ...route, timeoutMs: 30_000, isStream } : route,
  );
  await site.declare({ routes });
  await site.until('served', async () => (await site.call('/plain/small')).status === 200);
  return { site, upstream };
}

/** Starts a call whose body does not arrive, and returns the status of its refusal. */
async function callWithoutBody(site: sites.SmallSite): Promise<number | undefined> {
  const headers = { host: 'site.example', 'call-id': 'late', key: 'k1', 'content-length': 5_000 };
  const options = { host: '127.0.0.1', port: site.entryPort, path: '/once/small', headers };
  const req = http.request({ ...options, method: 'POST', agent: false });
  const status = await new Promise<number | undefined>((resolve, reject) => {
    req.once('response', (res) => resolve(res.statusCode));
    req.on('error', reject);
    req.flushHeaders();
  });
  req.destroy();
  return status;
}

async function getHeldBytes(site: sites.SmallSite): Promise<number> {
  const text = await site.metrics.render();
  return Number(/held_bytes(?:\{[^}]*\})? (\d+)/.exec(text)?.[1]);
}

/** Starts slow readers and waits until their upstreams send no more. */
async function startReaders(site: sites.SmallSite, upstream: FastUpstream, count: number) {
  const readers: SlowReader[] = [];
  for (let i = 0; i < count; i += 1) {
    readers.push(new SlowReader(site.entryPort, '/plain/large'));
  }
  let last = -1;
  await site.until('stalled', async () => {
    const isStalled = readers.every(({ status }) => status !== 0) && upstream.sent === last;
    last = upstream.sent;
    await new schemas.SystemClock().sleep(200);
    return isStalled && upstream.sent === last;
  });
  return readers;
}

void tap.default.test(
  'slow readers: a full host refuses new calls, and serves again',
  async (t) => {
    // Guards against a host that accepts calls until its memory is used up, and against answers that are cut off for it.
    const { site, upstream } = await startSite(t, true);
    const readers = await startReaders(site, upstream, READERS);
    const full = await getHeldBytes(site);
    t.comment(`${full} bytes held for ${READERS} readers`);
    t.ok(full > LIMIT_BYTES, 'the readers fill the host');
    const served = readers.filter(({ status }) => status === 200);
    t.ok(served.length > 0, 'answers have begun');
    t.ok(
      readers.every(({ status }) => status === 200 || status === 503),
      'the others are refused',
    );

    const refused = await site.call('/once/small', {}, 'body');
    t.equal(refused.status, 503);
    t.match(refused.body, /hostFull/);
    t.equal(refused.headers[schemas.OUTCOME_HEADER], 'not-run');
    t.ok(Number(refused.headers['retry-after']) <= 1, 'it may return soon');

    t.equal(await callWithoutBody(site), 503, 'before the body is read');

    await Promise.all(served.map((reader) => reader.readRest()));
    t.ok(
      served.every(({ received, isWhole }) => isWhole && received === ANSWER_BYTES),
      'each answer that was begun arrives whole',
    );
    await site.until('empty', async () => (await getHeldBytes(site)) === 0);
    t.equal((await site.call('/once/small', {}, 'body')).status, 200, 'new calls are served again');
  },
);

void tap.default.test(
  'slow readers: a caller that leaves frees what was held for it',
  async (t) => {
    // Guards against a host that remains full for callers that have disconnected.
    const { site, upstream } = await startSite(t, true);
    const readers = await startReaders(site, upstream, READERS);
    t.equal((await site.call('/plain/small')).status, 503);
    readers.forEach((reader) => reader.leave());
    await site.until('served', async () => (await site.call('/plain/small')).status === 200);
    await site.until('empty', async () => (await getHeldBytes(site)) === 0);
  },
);

for (const isStream of [false, true]) {
  const name = `slow readers: without capacity sharing, ${isStream ? 'event streams' : 'long answers'}`;
  void tap.default.test(name, async (t) => {
    // Guards against a change for deployments that do not enable the setting, and streams read ahead of their callers.
    const { site, upstream } = await startSite(t, false, isStream);
    const readers = await startReaders(site, upstream, READERS);
    const held = await getHeldBytes(site);
    t.comment(`${held} bytes held, ${upstream.sent} sent of ${READERS * ANSWER_BYTES}`);
    t.ok(held > LIMIT_BYTES, 'as much is held as would fill the host');
    t.ok(held <= READERS * MAX_BYTES_PER_STREAM, 'and no more than the buffers of each stream');
    t.ok(upstream.sent < READERS * ANSWER_BYTES, 'the upstreams wait for the callers');
    t.equal((await site.call('/plain/small')).status, 200);
    await Promise.all(readers.map((reader) => reader.readRest()));
    t.ok(
      readers.every(({ isWhole }) => isWhole),
      'every answer arrives whole',
    );
  });
}
