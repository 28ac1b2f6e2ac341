import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Time within which a call whose answer is cut short must end, in milliseconds; below its time limit. */
const MAX_MS = 2_000;

/** Time limit of a call, in milliseconds. */
const PATIENCE_MS = 4_000;

/** Number of caller connections. */
const CALLERS = 12;

/** Number of upstreams of each service. */
const UPSTREAMS = 4;

/** The kinds of calls, by the names of their routes. */
const KINDS: Readonly<Record<string, fakes.ShortCallKind>> = {
  plain: { isStream: false, maxRuns: 2 },
  once: { isStream: false, maxRuns: 1 },
  drafts: { isStream: true, maxRuns: 1 },
  checks: { isStream: true, maxRuns: 2 },
};

/** Share of the calls with whole answers that must be served; paths may count as lost while the machine is busy. */
const MIN_SERVED = 0.98;

/** The paths to upstreams, and of how many cases one is played, for plain calls and for streams. */
const PATHS = {
  'over the host itself': { isCut: false, step: 1, streamStep: 3 },
  'through another host': { isCut: true, step: 3, streamStep: 3 },
};

function createCall(path: string, callId: string): string {
  const headers = { host: 'site.example', 'call-id': callId, key: 'k1', tokens: '50' };
  const lines = Object.entries({ ...headers, patience: PATIENCE_MS, 'content-length': 7 });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `POST ${path} HTTP/1.1\r\n${head}\r\n${callId}`;
}

async function startSite(t: tap.Test, isCut: boolean) {
  const site = new smallSites.SmallSite(t, isCut);
  await site.start(3);
  const play = new fakes.ShortAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createHeaders: (callId) => ({ 'call-id': callId }),
    createCall,
    maxMs: MAX_MS,
    connect: () => fakes.StrictCaller.connect(site.entryPort),
  });
  for (const service of ['app', 'engines']) {
    for (let i = 1; i <= UPSTREAMS; i += 1) {
      const upstream = new fakes.ShortAnswerUpstream((call) => play.answer(call));
      const address = await upstream.listen();
      t.teardown(() => upstream.close());
      const listed = { availabilityZone: 'a', isLeaving: false, slots: CALLERS, coldMs: 0 };
      site.list.upstreams.push({ upstreamId: `${service}-${i}`, service, address, ...listed });
    }
  }
  await site.declare({});
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

for (const [path, { isCut, step, streamStep }] of Object.entries(PATHS)) {
  // Guards against a success that is framed as whole though its upstream's answer was cut short, and calls sent twice.
  void tap.default.test(`answers cut short, ${path}`, async (t) => {
    const { play, site } = await startSite(t, isCut);
    const openedBefore = site.dialers.get('entry')?.opened;
    for (const [kind, { isStream }] of Object.entries(KINDS)) {
      await t.test(kind, async (tt) => {
        await play.play(kind, play.listCases(kind, isStream ? streamStep : step), CALLERS);
        tt.same(play.result.faults.splice(0), []);
      });
    }
    const { counts } = play.result;
    t.comment(JSON.stringify(counts));
    t.ok(counts['reused connection']! > 0, 'answers on reused connections were cut');
    t.ok(counts['good: 200']! >= MIN_SERVED * counts.good!, 'calls with whole answers are served');
    if (isCut) {
      t.equal(
        site.dialers.get('entry')!.opened,
        openedBefore,
        'the host itself reaches no upstream',
      );
      t.ok(site.dialers.get('entry-2')!.opened > 0, 'the other host does');
    }
  });
}
