import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

import * as procedures from '../src/core-procedures.js';
import * as placementServices from '../src/placement-service.js';
import * as teamCallCounters from '../src/team-call-counter.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

const ENGINE = listedUpstreams.createListedUpstream('e-1');

function createReq(fixedEngineId?: string) {
  return {
    service: 'engines',
    need: {
      callId: 'c1',
      availabilityZone: 'a',
      promptTokens: 100,
      answerTokens: 400,
      leftMs: 4_000,
      excluded: [],
      fixedEngineId,
      wantsCopy: false,
      ranMs: 0,
    },
    patienceMs: 0,
    dueInMs: 1_000,
    rank: 0,
  };
}

function createService(
  clock: schemas.Clock,
  random?: () => number,
  metrics: telemetry.MetricSink = new telemetry.SilentMetrics(),
) {
  const state = {
    list: undefined as readonly schemas.ListedUpstream[] | undefined,
    services: sites.createConfig(1).services,
    evacuated: [] as string[],
    revision: 0,
    /** Weights of teams; `undefined` if capacity is not shared among them. */
    weights: undefined as Record<string, number> | undefined,
  };
  const service = new placementServices.PlacementService({
    clock,
    log: new schemas.SilentLog(),
    findService: (name) => state.services.find((item) => item.name === name),
    findUpstreams: () => state.list,
    isEvacuated: (zone) => state.evacuated.includes(zone),
    getEvacuationRevision: () => state.revision,
    teamWeights: {
      isSharing: () => state.weights !== undefined,
      get: (team) => state.weights?.[team] ?? 1,
    },
    teamCalls: new teamCallCounters.TeamCallCounter(metrics),
    coldBounds: { coldOverage: 1.5, coldSlack: 5 },
    retryGrantLimits: { maxGrants: 1, maxGrantsForNewLeader: 1, windowMs: 1_000 },
    ...(random && { statesReturnTimes: () => true, random }),
  });
  return { service, state };
}

// Guards against refusals for lack of capacity by a leader that has not read the list of upstreams yet.
void tap.default.test('a leader without a list does not report a full pool', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  t.match(await service.place(createReq()), { placed: undefined, isUnknown: true });
  t.match(
    await service.place(createReq('e-1')),
    { placed: { engineId: 'e-1' } },
    'but it registers runs',
  );
  state.list = [ENGINE];
  t.match(await service.place({ ...createReq() }), { placed: { engineId: 'e-1' } });
  state.list = [];
  const full = await service.place(createReq());
  t.equal(full.placed, undefined);
  t.not(full.isUnknown, true, 'a list without engines is a definite answer');
});

// Guards against a burst of work on engines that are listed as cold.
void tap.default.test('cold engines get new work at the rate of their service', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  state.services = state.services.map((item) => ({ ...item, coldCallsPerS: 5 }));
  state.list = [{ ...ENGINE, coldMs: 2_000 }];
  const place = async (callId: string) => {
    const req = createReq();
    return service.place({
      ...req,
      need: { ...req.need, callId, promptTokens: 1, answerTokens: 10 },
    });
  };
  const placed = async (count: number) => {
    const all = await Promise.all(
      Array.from({ length: count }, (_, i) => place(`c${clock.now()}-${i}`)),
    );
    all.forEach((_, i) =>
      service.release({ service: 'engines', callId: `c${clock.now()}-${i}`, hasFailed: false }),
    );
    return all.filter((res) => res.placed !== undefined).length;
  };
  t.equal(await placed(4), 3, '0.6 of 5 per second while it is cold');
  await clock.advance(2_100);
  t.equal(await placed(4), 4, 'more when it is warm');
});

// Guards against refusals for lack of capacity if the leader's document lacks a service that the host's document has.
void tap.default.test('a leader that lacks a service does not report a full pool', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.services = [];
  t.match(await service.place(createReq()), { placed: undefined, isUnknown: true });
});

// Guards against new work on engines of an evacuated zone, and against migration of the runs there.
void tap.default.test(
  'engines of an evacuated zone get no new work and keep their runs',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { service, state } = createService(clock);
    state.list = [ENGINE, { ...ENGINE, upstreamId: 'e-2', availabilityZone: 'b' }];
    t.match(
      await service.place(createReq()),
      { placed: { engineId: 'e-1' } },
      'the one in the same zone',
    );
    state.evacuated = ['a'];
    state.revision = 1;
    t.match(await service.place(createReq()), { placed: { engineId: 'e-2' } });
    const run = { callId: 'c1', engineId: 'e-1', excluded: [], service: 'engines' };
    const offered = service.awaitMigration({ ...run, patienceMs: 500 });
    await clock.advance(600);
    t.same(await offered, { takerId: undefined }, 'a run there is not migrated');
    state.evacuated = [];
    state.revision = 2;
    t.match(
      await service.place(createReq()),
      { placed: { engineId: 'e-1' } },
      'until the evacuation ends',
    );
  },
);

// Guards against calls that wait for capacity that cannot become available.
void tap.default.test('a pool with engines only in evacuated zones refuses at once', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.evacuated = ['a'];
  state.revision = 1;
  const res = await service.place({ ...createReq(), patienceMs: 700 });
  t.match(res, { placed: undefined, waitedMs: 0 });
  t.not(res.isUnknown, true);
});

// Guards against refusals for lack of capacity because of runs that ended while another host led.
void tap.default.test('a re-elected leader drops the runs of its former leadership', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  service.startLeading(1);
  t.match(await service.place(createReq('e-1')), { placed: { engineId: 'e-1' } });
  service.startLeading(1);
  t.ok(service.hasRuns('engines', 'e-1'), 'not within one term');
  service.startLeading(3);
  t.notOk(service.hasRuns('engines', 'e-1'));
});

/** Sends requests of teams beyond the four slots of the only engine; records the order in which they are placed. */
function createShortage(clock: schemas.VirtualClock) {
  const { service, state } = createService(clock);
  state.list = [ENGINE];
  service.startLeading(1);
  const placed: string[] = [];
  const ask = (callId: string) => {
    const req = createReq();
    const need = { ...req.need, callId };
    const pending = service.place({ ...req, need, patienceMs: 60_000, team: callId[0] });
    void pending.then((res) => res.placed && placed.push(callId));
  };
  const release = async (callId: string) => {
    service.release({ service: 'engines', callId, hasFailed: false });
    await clock.advance(20);
  };
  const releaseNext = async (count: number) => {
    const from = placed.length;
    for (let i = 0; i < count; i += 1) {
      await release(placed[from - 4 + i]!);
    }
    return placed.slice(from).map((callId) => callId[0]!);
  };
  return { ask, placed, releaseNext, service, state };
}

function list(team: string, count: number, from = 0): string[] {
  return Array.from({ length: count }, (_, i) => `${team}${from + i}`);
}

// Guards against a small team that waits behind all generations of a team that floods.
void tap.default.test('one team floods', async (t) => {
  const orders = [undefined, {}].map(async (weights) => {
    const clock = new schemas.VirtualClock();
    const { ask, releaseNext, state } = createShortage(clock);
    state.weights = weights;
    list('a', 12).forEach(ask);
    await clock.advance(20);
    ask('b1');
    return releaseNext(2);
  });
  const [former, shared] = await Promise.all(orders);
  t.same(former, ['a', 'a'], 'in the order of arrival');
  t.equal(shared?.[0], 'b', 'by team shares');
});

// Guards against a change of the settings that takes effect only after a restart, or loses generations.
void tap.default.test('weights apply at once to generations that wait', async (t) => {
  const clock = new schemas.VirtualClock();
  const { ask, placed, releaseNext, state } = createShortage(clock);
  [...list('a', 30), ...list('b', 30)].forEach(ask);
  await clock.advance(20);
  t.same(placed, list('a', 4), 'without shares in the order of arrival');
  state.weights = {};
  const count = (teams: string[], team: string) => teams.filter((item) => item === team).length;
  const equal = await releaseNext(8);
  t.equal(count(equal, 'b'), 4, `equal weights: ${equal.join('')}`);
  state.weights = { b: 3 };
  const weighted = await releaseNext(8);
  t.equal(count(weighted, 'b'), 6, `three times the weight: ${weighted.join('')}`);
  state.weights = undefined;
  t.same(await releaseNext(4), ['a', 'a', 'a', 'a'], 'and in the order of arrival again');
});

// Guards against a new leader that continues with the service that teams received from the former one.
void tap.default.test('a leader that is lost in a shortage leaves teams equal', async (t) => {
  const clock = new schemas.VirtualClock();
  const { ask, placed, releaseNext, service, state } = createShortage(clock);
  state.weights = { a: 9 };
  [...list('a', 40), ...list('b', 10)].forEach(ask);
  await clock.advance(20);
  const before = await releaseNext(20);
  t.equal(before.filter((team) => team === 'b').length, 2, before.join(''));
  state.weights = {};
  service.startLeading(2);
  placed.length = 0;
  [...list('a', 10, 50), ...list('b', 10, 50)].forEach(ask);
  await clock.advance(20);
  const after = await releaseNext(8);
  t.equal(after.filter((team) => team === 'b').length, 4, after.join(''));
});

// Guards against a rejected request of a host of the previous version.
void tap.default.test('a request may lack the team', async (t) => {
  t.equal(procedures.placeReq.parse(createReq()).team, undefined);
  t.equal(procedures.placeReq.parse({ ...createReq(), team: 'a' }).team, 'a');
});

/** Engines of a pool that is full, and the generations that run there: each takes 4 s and a third of an engine. */
const POOL = ['e-1', 'e-2', 'e-3', 'e-4'].map((id) => listedUpstreams.createListedUpstream(id));
const RUNS = 12;
const RUN_MS = 4_000;

/** Number of generations that wait while the pool is full. */
const WAITING = 4;

/** Time after which the pool has been full for long enough, and time within which callers are refused, in milliseconds. */
const WARM_UP_MS = 12_000;
const BURST_MS = 200;

/** Number of callers in the burst, and the time that each has left, in milliseconds. */
const BURST = 24;
const LEFT_MS = 39_000;

function createRandom(seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

function createGeneration(callId: string, patienceMs: number, rank = 3) {
  const req = createReq();
  const need = { ...req.need, callId, promptTokens: 2_500, answerTokens: 300, leftMs: LEFT_MS };
  return { ...req, need, patienceMs, rank };
}

/** Fills a pool, refuses a burst of callers and lets them return once at the stated time. */
async function playBurst(seed: number, statesTimes: boolean) {
  const clock = new schemas.VirtualClock();
  const random = createRandom(seed);
  const { service, state } = createService(clock, statesTimes ? random : undefined);
  state.list = POOL;
  const run = async (callId: string, patienceMs: number) => {
    const res = await service.place(createGeneration(callId, patienceMs));
    if (res.placed !== undefined) {
      void clock
        .sleep(RUN_MS * (0.5 + random()))
        .then(() => service.release({ service: 'engines', callId, hasFailed: false }));
    }
    return res;
  };
  /** Keeps as many generations running or waiting as the pool has capacity for. */
  const keepFull = async (index: number) => {
    for (let i = 0; clock.now() < WARM_UP_MS; i += 1) {
      await run(`w${index}-${i}`, LEFT_MS);
      await clock.sleep(RUN_MS * (0.5 + random()));
    }
  };
  for (let i = 0; i < RUNS + WAITING; i += 1) {
    void keepFull(i);
  }
  await clock.advance(WARM_UP_MS);
  const callers = Array.from({ length: BURST }, async (_, i) => {
    await clock.sleep(random() * BURST_MS);
    const first = await run(`b${i}`, 0);
    if (first.full === undefined) {
      return undefined;
    }
    const afterMs = first.full.retryAfterMs ?? 2_000;
    await clock.sleep(afterMs);
    const second = await run(`b${i}`, 700);
    return {
      afterMs,
      isStated: first.full.retryAfterMs !== undefined,
      isServed: second.placed !== undefined,
    };
  });
  await clock.advance(60_000);
  return (await Promise.all(callers)).filter((item) => item !== undefined);
}

// Guards against generations that are refused together, return together and are refused again.
void tap.default.test('callers come back together', async (t) => {
  for (const seed of [1, 2, 3]) {
    const refused = await playBurst(seed, true);
    const served = refused.filter(({ isServed }) => isServed).length;
    t.ok(refused.length > BURST / 2, `${refused.length} are refused`);
    t.ok(served > refused.length * 0.9, `${served} of them are served on return`);
    t.ok(refused.every(({ afterMs }) => afterMs >= 100 && afterMs <= LEFT_MS / 3));
    const former = await playBurst(seed, false);
    const formerServed = former.filter(({ isServed }) => isServed).length;
    t.notOk(
      former.some(({ isStated }) => isStated),
      'no time is stated without the setting',
    );
    t.ok(formerServed < former.length * 0.9, `${formerServed} of ${former.length} after 2 s`);
  }
});

// Guards against return times that are no numbers after a generation whose expected answer is empty has waited.
void tap.default.test(
  'a generation without an expected answer does not spoil return times',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { service, state } = createService(clock, createRandom(1));
    state.list = POOL;
    const place = async (callId: string, answerTokens: number) => {
      const req = createGeneration(callId, 0);
      return service.place({ ...req, need: { ...req.need, answerTokens } });
    };
    for (let i = 0; i < RUNS; i += 1) {
      await place(`r${i}`, 300);
    }
    for (let i = 0; i < 4; i += 1) {
      await clock.advance(1_000);
      service.release({ service: 'engines', callId: `r${i}`, hasFailed: false });
      await place(`s${i}`, 0);
    }
    const { full } = await place('c', 300);
    t.ok(
      full!.retryAfterMs! >= 100 && full!.retryAfterMs! <= LEFT_MS / 3,
      `${full!.retryAfterMs} ms`,
    );
  },
);

// Guards against figures of engines and streams that reach no ledger, or the one of another service.
void tap.default.test('stated slowdowns and the pace of streams reach the ledger', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  state.list = [ENGINE, { ...ENGINE, upstreamId: 'e-2' }];
  const load = { running: 1, waiting: 0, slowdown: 2.5 };
  service.recordLoad('engines', 'e-1', load);
  const req = createReq();
  const place = async (callId: string, excluded: string[] = []) => {
    const need = { ...req.need, callId, excluded, gapTargetMs: 180 };
    return (await service.place({ ...req, need })).placed?.engineId;
  };
  // Prompts tell that e-1 is slow by itself, and streams there have gaps of 100 ms without interference.
  for (let n = 0; n < 24; n += 1) {
    const callId = `c${n}`;
    const engineId = (await place(callId, [n % 2 === 0 ? 'e-1' : 'e-2'])) ?? 'none';
    const factor = engineId === 'e-1' ? 1.3 : 1;
    service.recordLoad('engines', engineId, { ...load, slowdown: 1 });
    await clock.advance(14 * factor);
    service.recordEvent({ service: 'engines', callId, event: 'begun' });
    await clock.advance(500);
    const pace = { msPerEvent: 30 * factor, events: 16, longestGapMs: 65 * factor };
    service.recordPace({ service: 'engines', callId, engineId, ...pace });
    service.recordPace({ service: 'other', callId, engineId, ...pace });
    service.release({ service: 'engines', callId, hasFailed: false });
  }
  service.recordLoad('engines', 'e-2', load);
  service.recordLoad('engines', 'unknown', load);
  await clock.advance(500);
  const placed = [await place('d1'), await place('d2'), await place('d3')];
  t.same(placed, ['e-2', 'e-2', 'e-2'], 'none on the slow one, though it is empty');
});

// Guards against counts of teams where capacity is not shared, and of runs that a host only registers.
void tap.default.test('generations are counted by team where capacity is shared', async (t) => {
  const metrics = new telemetry.TextMetrics();
  const { service, state } = createService(new schemas.VirtualClock(), undefined, metrics);
  const place = (team: string, fixedEngineId?: string) =>
    service.place({ ...createReq(fixedEngineId), team });
  state.list = [ENGINE];
  await place('x');
  t.notMatch(await metrics.render(), /team_calls_total/, 'not shared');
  state.weights = {};
  await place('x');
  await place('y', 'e-1');
  state.list = [];
  await place('z');
  const samples = (await metrics.render())
    .split('\n')
    .filter((line) => line.startsWith('bramleyridge_team_calls_total'))
    .map((line) =>
      /team="(\w+)",priority="0",result="(\w+)"\} (\d+)/.exec(line)!.slice(1).join(' '),
    );
  t.same(samples, ['x asked 1', 'x granted 1', 'z asked 1', 'z refused 1']);
});
