import * as workers from 'node:worker_threads';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Time limit of the first calls, in milliseconds; each further one has more, so that they end apart. */
const PATIENCE_MS = 200;
const STEP_MS = 7;

/** Number of calls of each kind, and how many are made at once. */
const CALLS = 60;
const CALLERS = 4;

/** Time limit of a call whose answer is whole, and the time before it at which the answer ends, in milliseconds. */
const LONG_PATIENCE_MS = 2_500;
const EARLY_MS = 2_300;

/** The kinds of calls, by the names of their routes. */
const KINDS = ['once', 'drafts'];

/** Starts an upstream in a thread of its own and returns its address: this one's timers would take turns with its own. */
async function startUpstream(t: tap.Test): Promise<string> {
  const worker = new workers.Worker(new URL('./support/timed-upstream-main.js', import.meta.url));
  t.teardown(() => worker.terminate());
  const port = await new Promise<number>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  return `127.0.0.1:${port}`;
}

async function startSite(t: tap.Test): Promise<smallSites.SmallSite> {
  const site = new smallSites.SmallSite(t);
  await site.start(3);
  for (const service of ['app', 'engines']) {
    const address = await startUpstream(t);
    const listed = { availabilityZone: 'a', isLeaving: false, slots: 4, coldMs: 0 };
    site.list.upstreams.push({ upstreamId: `${service}-1`, service, address, ...listed });
  }
  await site.declare({});
  await site.until('listed', () =>
    ['app', 'engines'].every((name) => site.entry.directory.listLive(name).length === 1),
  );
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  return site;
}

async function call(
  { entryPort }: smallSites.SmallSite,
  path: string,
  patienceMs: number,
): Promise<fakes.StrictAnswer> {
  const caller = await fakes.StrictCaller.connect(entryPort);
  const headers = {
    host: 'site.example',
    'call-id': `c${patienceMs}`,
    key: 'k1',
    tokens: 20,
    patience: patienceMs,
    'content-length': 1,
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const seen = await caller.send(`POST ${path} HTTP/1.1\r\n${lines.join('')}\r\nx`);
  caller.close();
  return seen;
}

/** Makes calls whose answers end some time before their limits; counts those that are whole. */
async function countWhole(
  site: smallSites.SmallSite,
  kind: string,
  patienceMs: number,
  earlyMs: number,
): Promise<number> {
  const limits = Array.from({ length: CALLS }, (_, i) => patienceMs + (i % CALLERS) * STEP_MS);
  let wholes = 0;
  const callNext = async (): Promise<void> => {
    for (let limit = limits.shift(); limit !== undefined; limit = limits.shift()) {
      const { isWhole, status } = await call(site, `/${kind}/${earlyMs}/`, limit);
      wholes += isWhole && status === 200 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, callNext));
  return wholes;
}

// Guards against a part that counts as a whole answer since its upstream has stopped at the time limit that it was sent.
void tap.default.test('answers that upstreams stop at their time limits', async (t) => {
  const site = await startSite(t);
  for (const kind of KINDS) {
    const wholes = await countWhole(site, kind, PATIENCE_MS, 0);
    t.equal(wholes, 0, `${kind}: parts that count as whole, of ${CALLS}`);
  }
});

// Guards against whole answers that are broken off since they have a time limit.
void tap.default.test('answers that end before their time limits', async (t) => {
  const site = await startSite(t);
  for (const kind of KINDS) {
    const wholes = await countWhole(site, kind, LONG_PATIENCE_MS, EARLY_MS);
    t.equal(wholes, CALLS, `${kind}: answers that are whole`);
  }
});
