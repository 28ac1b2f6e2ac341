import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Time within which a call whose answer is wrong must end, in milliseconds; below its time limit. */
const MAX_MS = 3_000;

/** Time limit of a call, in milliseconds. */
const PATIENCE_MS = 4_000;

/** Number of calls at once. */
const CALLERS = 12;

/** Number of upstreams of each service. */
const UPSTREAMS = 4;

/** Number of cases for each call whose answer is right. */
const CASES_PER_GOOD_CALL = 3;

/** The kinds of calls, by the names of their routes. */
const KINDS: Readonly<Record<string, fakes.ShortCallKind>> = {
  plain: { isStream: false, maxRuns: 2 },
  once: { isStream: false, maxRuns: 1 },
  drafts: { isStream: true, maxRuns: 1 },
  checks: { isStream: true, maxRuns: 2 },
};

/** The paths to upstreams. */
const PATHS = {
  'over the host itself': { isCut: false },
  'through another host': { isCut: true },
};

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const BODY = ['the first part, ', 'and the last one'];
const ANSWERS: Readonly<Record<string, fakes.UnusualAnswer>> = {
  ...fakes.WRONG_ANSWERS,
  ...fakes.RIGHT_ANSWERS,
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
  const runs = new Map<string, number>();
  const play = new fakes.ShortAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createHeaders: (callId) => ({ 'call-id': callId }),
    createCall,
    maxMs: MAX_MS,
    connect: () => fakes.StrictCaller.connect(site.entryPort),
  });
  const answer = ({ headers, path }: fakes.ReceivedCall): fakes.ShortAnswer => {
    const callId = headers['call-id'] ?? '';
    const [, kind = '', name = ''] = path.split('/');
    if (KINDS[kind] === undefined) {
      return { bytes: Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n') };
    }
    play.recordRun(callId);
    runs.set(callId, (runs.get(callId) ?? 0) + 1);
    const parts = KINDS[kind].isStream ? EVENTS : BODY;
    const unusual = ANSWERS[decodeURIComponent(name)] ?? {};
    return { bytes: fakes.frameUnusualAnswer(unusual, { 'call-id': callId }, parts) };
  };
  for (const service of ['app', 'engines']) {
    for (let i = 1; i <= UPSTREAMS; i += 1) {
      const upstream = new fakes.ShortAnswerUpstream(answer);
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
  return { site, play, runs };
}

/** Makes a call whose answer has a name, and lists what its caller must not see. */
async function judge(
  play: fakes.ShortAnswerPlay,
  runs: ReadonlyMap<string, number>,
  kind: string,
  name: string,
): Promise<string[]> {
  const { isStream, maxRuns } = KINDS[kind]!;
  let lastId = '';
  const seen = await play.send((callId) => {
    lastId = callId;
    return createCall(`/${kind}/${encodeURIComponent(name)}/`, callId);
  });
  const isWrong = fakes.WRONG_ANSWERS[name] !== undefined;
  const isBrokenOff = isStream && !seen.isWhole && [0, 200].includes(seen.status);
  const isFailure = (seen.status === 502 && seen.isWhole) || isBrokenOff;
  const expected = (isStream ? EVENTS : BODY).join('');
  const isRight = seen.isWhole && seen.body === expected && ![502, 503, 429].includes(seen.status);
  const calls = runs.get(lastId) ?? 0;
  const shown = `${seen.status} ${JSON.stringify(seen.headers)}, ${seen.isWhole ? 'whole' : 'broken off'}`;
  const checks: Record<string, boolean> = {
    [shown]: isWrong ? !isFailure : !isRight,
    [`${calls} runs`]: calls > maxRuns || calls === 0,
    [`${Math.round(seen.tookMs)} ms`]: seen.tookMs > MAX_MS,
  };
  return Object.keys(checks)
    .filter((fault) => checks[fault])
    .map((fault) => `${kind}, ${name}: ${fault}`);
}

for (const [path, { isCut }] of Object.entries(PATHS)) {
  // Guards against an answer with a wrong status, head or trailer that is passed on, and against other calls that fail.
  void tap.default.test(`answers with a wrong head, ${path}`, async (t) => {
    const { play, runs, site } = await startSite(t, isCut);
    const openedBefore = site.dialers.get('entry')?.opened;
    for (const kind of Object.keys(KINDS)) {
      await t.test(kind, async (tt) => {
        const names = Object.keys(ANSWERS).flatMap((name, i) =>
          i % CASES_PER_GOOD_CALL === 0 ? [name, 'a right one'] : [name],
        );
        const faults: string[] = [];
        const playNext = async (): Promise<void> => {
          for (let name = names.shift(); name !== undefined; name = names.shift()) {
            faults.push(...(await judge(play, runs, kind, name)));
          }
        };
        await Promise.all(Array.from({ length: CALLERS }, playNext));
        tt.same(faults, []);
      });
    }
    t.comment(JSON.stringify(play.result.counts));
    const logged = site.lines.filter(
      ({ decision, reason }) => decision === 'upstream-failed' && reason === 'lost',
    );
    const isNamed = logged.some(
      ({ err, upstream }) => String(err).includes('status 600') && upstream !== undefined,
    );
    t.ok(isNamed, 'the log says which upstream has sent what');
    if (isCut) {
      t.equal(site.dialers.get('entry')!.opened, openedBefore, 'the host reaches no upstream');
      t.ok(site.dialers.get('entry-2')!.opened > 0, 'the other host does');
    }
  });
}
