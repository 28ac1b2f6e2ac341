import * as tap from 'tap';

import * as callSimulations from './support/call-simulation.js';
import type * as upstreamModels from './support/upstream-model.js';

const DURATION_MS = 12_000;

/** Time for which callers wait and time within which answers are due, in milliseconds. */
const LIMITS = { targetMs: 200, timeoutMs: 2_000 };

const SEEDS = [1, 2, 3, 4];

/** Creates an upstream that declares 4 slots but runs 2 calls at once, queues 2 and sheds the rest. */
function createUpstream(
  upstreamId: string,
  overrides: Partial<upstreamModels.UpstreamModelOptions> = {},
): upstreamModels.UpstreamModelOptions {
  return {
    upstreamId,
    availabilityZone: 'a',
    declaredSlots: 4,
    concurrency: 2,
    queueLimit: 2,
    serviceMs: 50,
    statesLoad: true,
    ...overrides,
  };
}

function createThree(statesLoad: boolean): upstreamModels.UpstreamModelOptions[] {
  return ['u1', 'u2', 'u3'].map((id) => createUpstream(id, { statesLoad }));
}

function simulate(
  seed: number,
  upstreams: readonly upstreamModels.UpstreamModelOptions[],
  loads: readonly callSimulations.Load[],
  loneHosts?: number,
) {
  const simulation = new callSimulations.CallSimulation({ seed, upstreams, loneHosts });
  simulation.run(loads, DURATION_MS);
  const { models, outcomes } = simulation;
  const busyMs = models.reduce((sum, model) => sum + model.busyMs, 0);
  const workers = models.reduce((sum, { options }) => sum + options.concurrency, 0);
  return {
    usedShare: busyMs / (workers * DURATION_MS),
    count: (matches?: (load: callSimulations.Load) => boolean) =>
      callSimulations.summarize(outcomes, matches),
    countAt: (upstreamId: string, from = 0, until = Infinity) =>
      outcomes.filter(
        (item) =>
          item.upstreamId === upstreamId && item.arrivedAt >= from && item.arrivedAt < until,
      ).length,
    models,
    outcomes,
  };
}

// Guards against small teams that are crowded out by a large one, and against queues at the upstreams that make every
// answer late.
void tap.default.test('one team floods', async (t) => {
  const small = ['s1', 's2', 's3'].map((team) => ({ team, callsPerS: 5, ...LIMITS }));
  const loads = [{ team: 'flood', callsPerS: 140, ...LIMITS }, ...small];
  SEEDS.forEach((seed) => {
    [true, false].forEach((statesLoad) => {
      const { count, usedShare } = simulate(seed, createThree(statesLoad), loads);
      const name = `seed ${seed}, ${statesLoad ? 'stated' : 'unknown'} load`;
      small.forEach(({ team }) => {
        const { servedShare } = count((load) => load.team === team);
        t.ok(servedShare >= 0.9, `${name}: ${team} is served ${servedShare}`);
      });
      const { onTimeShare } = count();
      t.ok(onTimeShare >= 0.8, `${name}: ${onTimeShare} of the served calls are on time`);
      t.ok(usedShare >= 0.85, `${name}: ${usedShare} of the capacity is used`);
    });
  });
});

// Guards against service that follows demand instead of the fair share.
void tap.default.test('two teams of equal weight ask too much', async (t) => {
  const loads = [
    { team: 'large', callsPerS: 225, ...LIMITS },
    { team: 'medium', callsPerS: 112, ...LIMITS },
    { team: 'small', callsPerS: 15, ...LIMITS },
    { team: 'tiny', callsPerS: 7.5, ...LIMITS },
  ];
  SEEDS.forEach((seed) => {
    const { count, usedShare } = simulate(seed, createThree(true), loads);
    const [large, medium, small, tiny] = loads.map(({ team }) =>
      count((load) => load.team === team),
    );
    const ratio = large!.served / medium!.served;
    t.ok(ratio < 1.4 && ratio > 1 / 1.4, `seed ${seed}: the ratio of service is ${ratio}`);
    t.ok(small!.servedShare >= 0.9, `seed ${seed}: ${small!.servedShare} of the small team`);
    t.ok(tiny!.servedShare >= 0.9, `seed ${seed}: ${tiny!.servedShare} of the tiny team`);
    t.ok(usedShare >= 0.85, `seed ${seed}: ${usedShare} of the capacity is used`);
  });
});

// Guards against urgent calls that wait behind others, and against others that starve.
void tap.default.test('urgent kind beside a background kind', async (t) => {
  const background = (load: callSimulations.Load) => load.priority === 7;
  const urgent = (load: callSimulations.Load) => load.priority === 0;
  SEEDS.forEach((seed) => {
    const fitting = simulate(seed, createThree(true), [
      { team: 'a', priority: 0, callsPerS: 70, ...LIMITS },
      { team: 'b', priority: 7, callsPerS: 200, ...LIMITS },
    ]);
    const { servedShare } = fitting.count(urgent);
    t.ok(servedShare >= 0.95, `seed ${seed}: ${servedShare} of the urgent calls`);
    const excess = simulate(seed, createThree(true), [
      { team: 'a', priority: 0, callsPerS: 200, ...LIMITS },
      { team: 'b', priority: 7, callsPerS: 70, ...LIMITS },
    ]);
    const least = excess.count(background).servedShare;
    const { servedShare: all } = excess.count();
    t.ok(least >= all / 3, `seed ${seed}: ${least} of the others, ${all} of all calls`);
    t.ok(excess.count(urgent).servedShare > least, `seed ${seed}: urgent calls come first`);
  });
});

// Guards against calls that are sent to a slow upstream while faster ones would finish them sooner.
void tap.default.test('upstreams of uneven speed', async (t) => {
  const large = { concurrency: 4, queueLimit: 50 };
  const upstreams = [
    createUpstream('fast-1', large),
    createUpstream('fast-2', large),
    createUpstream('slow', { ...large, serviceMs: 125 }),
  ];
  SEEDS.forEach((seed) => {
    [20, 60, 100, 150].forEach((callsPerS) => {
      const load = { team: 'a', callsPerS, ...LIMITS };
      const { count, countAt } = simulate(seed, upstreams, [load]);
      const { asked, onTimeShare, servedShare } = count();
      const slowShare = countAt('slow') / asked;
      const name = `seed ${seed}, ${callsPerS} calls per second`;
      t.ok(slowShare <= 0.2, `${name}: the slow one gets ${slowShare}`);
      t.ok(servedShare >= 0.97, `${name}: ${servedShare} are served`);
      t.ok(onTimeShare >= 0.95, `${name}: ${onTimeShare} on time`);
    });
  });
});

// Guards against calls that stay in a zone whose upstreams are full, and against calls that leave it without need.
void tap.default.test('demand moves to another zone', async (t) => {
  const upstreams = ['a', 'b'].flatMap((availabilityZone) =>
    [1, 2].map((i) =>
      createUpstream(`${availabilityZone}${i}`, { availabilityZone, declaredSlots: 2 }),
    ),
  );
  const movesAt = DURATION_MS / 2;
  SEEDS.forEach((seed) => {
    const { count, countAt, outcomes } = simulate(seed, upstreams, [
      { team: 'x', callsPerS: 15, availabilityZone: 'a', untilMs: movesAt, ...LIMITS },
      { team: 'x', callsPerS: 120, availabilityZone: 'b', fromMs: movesAt, ...LIMITS },
    ]);
    const before = countAt('a1', 0, movesAt) + countAt('a2', 0, movesAt);
    const asked = outcomes.filter(({ arrivedAt }) => arrivedAt < movesAt).length;
    t.ok(before / asked >= 0.9, `seed ${seed}: ${before} of ${asked} stay while there is room`);
    const { onTimeShare, servedShare } = count((load) => load.availabilityZone === 'b');
    t.ok(servedShare >= 0.95, `seed ${seed}: ${servedShare} are served afterwards`);
    t.ok(onTimeShare >= 0.9, `seed ${seed}: ${onTimeShare} of them on time`);
  });
});

// Guards against slots that stand idle or are taken beyond the limits where hundreds of hosts ask for a few slots.
void tap.default.test('three hundred hosts ask for the slots of four upstreams', async (t) => {
  const zones = ['a', 'b', 'c', 'd'];
  const upstreams = zones.map((availabilityZone) =>
    createUpstream(`u-${availabilityZone}`, {
      availabilityZone,
      declaredSlots: 6,
      concurrency: 6,
      queueLimit: 6,
    }),
  );
  const createLoads = (callsPerS: number) =>
    zones.map((availabilityZone) => ({
      team: availabilityZone,
      callsPerS: callsPerS / zones.length,
      availabilityZone,
      ...LIMITS,
    }));
  const [fitting, excessive] = [createLoads(300), createLoads(900)];
  SEEDS.slice(0, 2).forEach((seed) => {
    const led = simulate(seed, upstreams, fitting);
    const ledShare = led.count().servedShare;
    t.ok(ledShare >= 0.99, `seed ${seed}: ${ledShare} are served with a leader`);
    const shortage = simulate(seed, upstreams, excessive);
    t.ok(shortage.usedShare >= 0.85, `seed ${seed}: ${shortage.usedShare} used in a shortage`);
    const most = Math.max(...shortage.models.map(({ maxInFlight }) => maxInFlight));
    t.ok(most <= 7, `seed ${seed}: ${most} calls at once, at most one more than the slots`);

    const lone = simulate(seed, upstreams, fitting, 300);
    t.ok(lone.count().servedShare >= 0.97, `seed ${seed}: as good as all without a leader`);
    const loneShortage = simulate(seed, upstreams, excessive, 300);
    const { asked, onTimeShare, refused } = loneShortage.count();
    t.ok(loneShortage.usedShare >= 0.8, `seed ${seed}: ${loneShortage.usedShare} used by hosts`);
    t.ok(refused / asked >= 0.4, `seed ${seed}: hosts refuse ${refused} of ${asked} themselves`);
    t.ok(onTimeShare >= 0.9, `seed ${seed}: ${onTimeShare} of the served calls are on time`);
  });
});

// Guards against calls that wait for one upstream, or are refused, while the slots of the others are free: some calls
// fail or hang at every upstream, and their service times vary.
void tap.default.test('some calls fail everywhere', async (t) => {
  SEEDS.forEach((seed) => {
    const upstreams = ['a', 'b', 'c', 'd'].map((zone) =>
      createUpstream(`u-${zone}`, {
        availabilityZone: zone,
        declaredSlots: 6,
        concurrency: 6,
        queueLimit: 24,
        serviceMs: 43,
        isVaried: true,
        failureShare: 0.14,
        hangShare: 0.02,
      }),
    );
    const loads = ['a', 'b', 'c', 'd'].map((availabilityZone) => ({
      ...LIMITS,
      team: `team-${availabilityZone}`,
      availabilityZone,
      callsPerS: 24,
    }));
    const { count, usedShare } = simulate(seed, upstreams, loads);
    const { asked, refused } = count();
    t.ok(usedShare < 0.4, `${usedShare} of the capacity is used`);
    t.equal(refused, 0, `${refused} of ${asked} are refused`);
  });
});
