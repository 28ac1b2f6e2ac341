import * as http from 'node:http';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as endlessCalls from './support/endless-calls.js';
import * as smallSites from './support/small-site.js';

/** Time limit of a call, in milliseconds. */
const PATIENCE_MS = 2_500;

/** Time limit of a call whose answer only the limit ends, in milliseconds. */
const SHORT_PATIENCE_MS = 400;

/** Time within which bytes that are no answer end a call, in milliseconds; below its time limit. */
const AT_ONCE_MS = 2_000;

/** The most bytes that may be written on one connection, in bytes: those that are read, and the buffers of sockets. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

/** The largest growth of the memory of the process with all hosts, in bytes; that of the smallest machine. */
const MAX_GROWTH_BYTES = 192 * 1024 * 1024;

/** Time for which a caller doesn't read, in milliseconds. */
const UNREAD_MS = 1_500;

/** Time within which an ordinary call is answered, in milliseconds. */
const ORDINARY_MS = 1_000;

/** Interval of the ordinary calls, in milliseconds. */
const ORDINARY_INTERVAL_MS = 100;

/** Kinds that may be an answer of any length, and end with the time limit of the call. */
const ANY_LENGTH = new Set([
  'a body without a length',
  'a failure',
  'small chunks',
  'chunk extensions',
  'events without an identifier',
]);

const { ENDLESS_BODIES, ENDLESS_EVENTS, ENDLESS_HEADS } = fakes;

/** The kinds of bytes for each route. */
const KINDS = {
  once: { ...ENDLESS_HEADS, ...ENDLESS_BODIES, 'a failure': fakes.ENDLESS_FAILURE },
  plain: {
    'informational responses': ENDLESS_HEADS['informational responses']!,
    'longer than stated': fakes.LONGER_THAN_STATED,
    'bytes after an answer': fakes.ENDLESS_AFTER_ANSWER,
  },
  drafts: {
    'one chunk extension': ENDLESS_BODIES['one chunk extension']!,
    trailers: ENDLESS_BODIES.trailers!,
    ...ENDLESS_EVENTS,
  },
};

/** Kinds that bring a whole answer before bytes that are none. */
const WHOLE_BEFORE = new Set(['longer than stated', 'bytes after an answer']);

const clock = new schemas.SystemClock();

/** Makes ordinary calls at two hosts until the returned function is called, which returns those not served in time. */
function beginOrdinary(site: smallSites.SmallSite): () => Promise<string[]> {
  let isOver = false;
  const faults: string[] = [];
  const calls: Promise<void>[] = [];
  const one = async (port: number) => {
    const startedAt = clock.now();
    const status = await site.call('/plain/ordinary', {}, '', port).then(
      (answer) => String(answer.status),
      (err: unknown) => schemas.toError(err).message,
    );
    const tookMs = clock.now() - startedAt;
    if (status !== '200' || tookMs > ORDINARY_MS) {
      faults.push(`${status} after ${Math.round(tookMs)} ms`);
    }
  };
  const load = (async () => {
    while (!isOver) {
      calls.push(one(site.entryPort), one(site.others[0]!.port));
      await clock.sleep(ORDINARY_INTERVAL_MS);
    }
  })();
  return async () => {
    isOver = true;
    await load;
    await Promise.all(calls);
    return faults;
  };
}

/** Starts an entry host that reaches upstreams through another one only. */
async function startSite(t: tap.Test): Promise<smallSites.SmallSite> {
  const site = new smallSites.SmallSite(t, true);
  await site.start(3);
  await site.addEntry();
  await site.addUpstream('app-1', 'app', (req, res) => {
    req.resume();
    res.writeHead(200, { 'call-id': String(req.headers['call-id'] ?? '') }).end('ordinary');
  });
  return site;
}

/** Waits until both hosts serve ordinary calls. */
async function awaitOrdinary(site: smallSites.SmallSite): Promise<void> {
  for (const port of [site.entryPort, site.others[0]!.port]) {
    await site.until(
      'served',
      async () => (await site.call('/plain/ordinary', {}, '', port)).status === 200,
    );
  }
}

async function cutOff(site: smallSites.SmallSite): Promise<void> {
  await site.until('relays known', () => site.entry.countRelays() === 1);
  site.dialers.get('entry')!.cut('reset');
  await site.until(
    'relayed',
    async () =>
      (await site.call('/plain/ordinary')).status === 200 &&
      site.others[0]!.host.countRelayed() > 0,
  );
}

for (const [route, kinds] of Object.entries(KINDS)) {
  // Guards against a host that keeps the endless bytes of a faulty upstream, its own or those that it relays.
  void tap.default.test(`endless bytes through another host: ${route}`, async (t) => {
    const site = await startSite(t);
    const { routes, services } = smallSites.createConfig(1);
    const app = {
      routes: routes.filter(({ name }) => name === 'plain'),
      services: services.filter(({ name }) => name === 'app'),
    };
    const added = await endlessCalls.addEndless(site, t, kinds, route, app);
    await awaitOrdinary(site);
    await cutOff(site);
    for (const { endless, kind, path } of added) {
      await t.test(kind, async (tt) => {
        const end = beginOrdinary(site);
        const rssBefore = process.memoryUsage().rss;
        const isLong = ANY_LENGTH.has(kind);
        const patienceMs = isLong ? SHORT_PATIENCE_MS : PATIENCE_MS;
        if (route === 'plain') {
          // The first call to an upstream finds the own path refused, and may fail with it.
          await endlessCalls.call(site.entryPort, path, `first ${kind}`, patienceMs);
        }
        const seen = await endlessCalls.call(site.entryPort, path, kind, patienceMs);
        tt.ok(seen.tookMs < AT_ONCE_MS, `it took ${Math.round(seen.tookMs)} ms`);
        tt.ok(endless.calls > 0, 'it was sent');
        if (!seen.isWhole) {
          tt.ok([0, 200].includes(seen.status), `cut off after status ${seen.status}`);
        } else if (WHOLE_BEFORE.has(kind)) {
          tt.ok([200, 502].includes(seen.status), `status ${seen.status}`);
        } else {
          tt.ok([502, 504].includes(seen.status), `status ${seen.status}`);
          tt.equal(seen.outcome, 'unknown');
        }
        await site.until('closed', () => endless.writing === 0);
        const taken = endless.countTaken() / endless.calls;
        tt.ok(isLong || taken < MAX_TAKEN_BYTES, `${taken} bytes taken for each send`);
        const growth = process.memoryUsage().rss - rssBefore;
        tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
        tt.same(await end(), [], 'ordinary calls are served beside it');
      });
    }
  });
}

// Guards against hosts that keep an endless body whose caller doesn't read.
void tap.default.test('an endless body that its caller does not read', async (t) => {
  const site = await startSite(t);
  const { routes, services } = smallSites.createConfig(1);
  const [endless] = await endlessCalls.addEndless(
    site,
    t,
    { body: ENDLESS_BODIES['a body without a length']! },
    'once',
    {
      routes: routes.filter(({ name }) => name === 'plain'),
      services: services.filter(({ name }) => name === 'app'),
    },
  );
  await awaitOrdinary(site);
  for (const way of ['direct', 'through another host']) {
    await t.test(way, async (tt) => {
      if (way !== 'direct') {
        await cutOff(site);
      }
      const end = beginOrdinary(site);
      const takenBefore = endless!.endless.countTaken();
      const rssBefore = process.memoryUsage().rss;
      const req = http.request({
        host: '127.0.0.1',
        port: site.entryPort,
        path: endless!.path,
        method: 'POST',
        headers: { host: 'site.example', 'call-id': 'c1', key: 'k1', patience: '3500' },
        agent: false,
      });
      req.on('error', () => {});
      const answered = new Promise<http.IncomingMessage>((resolve) => {
        req.on('response', resolve);
      });
      req.end(way);
      const res = await answered;
      res.pause();
      await clock.sleep(UNREAD_MS);
      const taken = endless!.endless.countTaken() - takenBefore;
      tt.ok(taken < MAX_TAKEN_BYTES, `${taken} bytes taken`);
      const growth = process.memoryUsage().rss - rssBefore;
      tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
      req.destroy();
      await site.until('closed', () => endless!.endless.writing === 0);
      tt.same(await end(), [], 'ordinary calls are served beside it');
    });
  }
});
