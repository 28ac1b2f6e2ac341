import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Limit of the body of a call, in bytes. */
const BODY_BYTES = 8_000_000;

/** Number of callers at a time, and of upstreams of each service. */
const CALLERS = 4;
const UPSTREAMS = 4;

/** The kinds of calls, by the names of their routes. */
const KINDS = {
  plain: { maxRuns: 2, parts: ['the first part, ', 'and the last one'] },
  once: { maxRuns: 1, parts: ['the first part, ', 'and the last one'] },
  drafts: { maxRuns: 1, parts: ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'] },
};

/** Number of calls with small bodies whose shortest time is taken, and the time that it must not reach, in milliseconds. */
const SMALL_CALLS = 12;
const MAX_SMALL_MS = 100;

const PATHS = { 'over the host itself': false, 'through another host': true };

function createCall(path: string, callId: string, body: string): string {
  const headers = { host: 'site.example', 'call-id': callId, key: 'k1', tokens: '50' };
  const lines = Object.entries({ ...headers, 'content-length': body.length });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `POST ${path} HTTP/1.1\r\n${head}\r\n${body}`;
}

async function startSite(t: tap.Test, isCut: boolean) {
  const site = new smallSites.SmallSite(t, isCut ? 'first' : false);
  await site.start(3);
  const play = new fakes.EarlyAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createCall,
    connect: () => fakes.StrictCaller.connect(site.entryPort),
  });
  for (const service of ['app', 'engines']) {
    for (let i = 1; i <= UPSTREAMS; i += 1) {
      const upstream = new fakes.EarlyAnswerUpstream((call) => play.answer(call));
      const address = await upstream.listen();
      t.teardown(() => upstream.close());
      const listed = { availabilityZone: 'a', isLeaving: false, slots: CALLERS, coldMs: 0 };
      site.list.upstreams.push({ upstreamId: `${service}-${i}`, service, address, ...listed });
    }
  }
  const { limits } = smallSites.createConfig(1);
  await site.declare({ limits: { ...limits, bodyBytes: BODY_BYTES } });
  await site.until('listed', () =>
    ['app', 'engines'].every((name) => site.entry.directory.listLive(name).length === UPSTREAMS),
  );
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  if (isCut) {
    await site.addEntry();
    await site.until('relays known', () => site.entry.countRelays() > 0);
    site.dialers.get('entry')!.cut('reset');
  }
  return { site, play };
}

for (const [path, isCut] of Object.entries(PATHS)) {
  // Guards against a part of an answer that counts as whole because its upstream closed an upload before it read it.
  void tap.default.test(`uploads that are not read, ${path}`, async (t) => {
    const { play, site } = await startSite(t, isCut);
    const openedBefore = site.dialers.get('entry')?.opened;
    for (const kind of Object.keys(KINDS)) {
      const { calls, faults } = await play.play(kind, false, CALLERS);
      t.comment(`${kind}: ${faults.length} faults in ${calls} calls`);
      t.same(faults, [], kind);
    }
    t.equal(site.dialers.get('entry')?.opened, openedBefore, 'over the given path');
  });

  // Guards against whole answers to uploads that are refused, sent twice or, after small bodies, delayed.
  void tap.default.test(`whole answers to uploads, ${path}`, async (t) => {
    const { play } = await startSite(t, isCut);
    for (const kind of Object.keys(KINDS)) {
      const { calls, faults } = await play.play(kind, true, CALLERS);
      t.comment(`${kind}: ${faults.length} faults in ${calls} calls`);
      t.same(faults, [], kind);
      t.ok((await play.measureSmall(kind, SMALL_CALLS)) < MAX_SMALL_MS, `${kind}, small bodies`);
    }
  });
}
