import * as tap from 'tap';

import * as simulations from './support/limited-fleet-simulation.js';

/** Number of drawn schedules per plan, and the seed of the first; set for a long run. */
const RUNS = Number(process.env.LIMIT_RUNS ?? 3);
const FIRST_SEED = Number(process.env.LIMIT_SEED ?? 1);

/** Share of the limits that must be used while callers ask for more and a leader answers. */
const MIN_USED_SHARE = 0.6;

/** Longest time until a call without room is refused, in milliseconds: one request to a leader that doesn't answer. */
const MAX_REFUSAL_MS = 250;

const CALM: simulations.LimitedFleetOptions = {
  hosts: 8,
  upstreams: 3,
  unlimited: 0,
  callsPerS: 30,
  limits: [2, 2],
  changeMs: Infinity,
  endShare: 0,
  restartMs: Infinity,
  leaderMs: Infinity,
  leaderlessMs: 1_500,
  hostMs: Infinity,
  joinMs: Infinity,
  lossShare: 0,
  durationMs: 20_000,
};

const PLANS: readonly (simulations.LimitedFleetOptions & { readonly name: string })[] = [
  { ...CALM, name: 'a few hosts' },
  { ...CALM, name: 'three hundred hosts', hosts: 300, callsPerS: 80 },
  {
    ...CALM,
    name: 'limits that change with each answer, begin and end',
    hosts: 40,
    callsPerS: 80,
    limits: [0.5, 8],
    changeMs: 1_500,
    endShare: 0.2,
  },
  {
    ...CALM,
    name: 'upstreams that restart',
    hosts: 16,
    callsPerS: 40,
    limits: [1, 4],
    restartMs: 6_000,
  },
  {
    ...CALM,
    name: 'leaders that are lost, and messages too',
    hosts: 60,
    callsPerS: 60,
    limits: [1, 4],
    leaderMs: 5_000,
    lossShare: 0.03,
  },
  {
    ...CALM,
    name: 'hosts that restart or are cut off, and hosts that join',
    hosts: 100,
    callsPerS: 60,
    limits: [1, 4],
    hostMs: 200,
    joinMs: 200,
    lossShare: 0.01,
  },
  {
    ...CALM,
    name: 'upstreams that rest and leave',
    hosts: 40,
    upstreams: 6,
    callsPerS: 60,
    limits: [2, 8],
    changeMs: 4_000,
    endShare: 0.5,
    leavingMs: 8_000,
    restShare: 0.1,
    restMs: 2_000,
    leaderMs: 6_000,
    lossShare: 0.02,
  },
  {
    ...CALM,
    name: 'a large fleet with all of it',
    hosts: 350,
    upstreams: 6,
    callsPerS: 120,
    limits: [0.5, 6],
    changeMs: 4_000,
    endShare: 0.1,
    restartMs: 20_000,
    leavingMs: 20_000,
    restShare: 0.03,
    restMs: 3_000,
    leaderMs: 8_000,
    leaderlessMs: 4_000,
    hostMs: 200,
    joinMs: 400,
    lossShare: 0.02,
  },
];

type Plan = Omit<(typeof PLANS)[number], 'name'>;

async function check(t: tap.Test, plan: Plan, seed: number): Promise<void> {
  const simulation = new simulations.LimitedFleetSimulation(seed, plan);
  await simulation.simulate();
  const { refused, restRetryAfterS, retryAfterS, served, slowestRefusalMs } = simulation.calls;
  const excess = simulation.getMostExcess();
  const share = simulation.getUsedShare();
  const counts = `${served} served, ${refused} refused`;
  t.ok(excess <= 0, `seed ${seed}: ${excess.toFixed(1)} calls over the tolerance; ${counts}`);
  const ofAll = simulation.getMostExcessOfAll();
  t.ok(ofAll <= 0, `seed ${seed}: ${ofAll.toFixed(1)} with those of hosts that were not told`);
  t.ok(share >= MIN_USED_SHARE, `seed ${seed}: ${share.toFixed(2)} of the limits used`);
  t.ok(slowestRefusalMs <= MAX_REFUSAL_MS, `seed ${seed}: refused in ${slowestRefusalMs} ms`);
  t.equal(simulation.countBrokenRests(), 0, `seed ${seed}: rests are kept`);
  t.equal(simulation.countLateNewCalls(), 0, `seed ${seed}: nothing new to those that leave`);
  t.ok(
    restRetryAfterS.every((wait) => wait > 0 && wait <= 4),
    `seed ${seed}: not much longer than a rest`,
  );
  t.ok(
    retryAfterS.every((wait) => wait > 0 && wait <= 5),
    `seed ${seed}: with a time to return`,
  );
}

// Guards against hosts that together send more than a limit allows or leave most of it unused, that break rests, and that
// send new calls to upstreams which leave, in drawn schedules.
PLANS.forEach(({ name, ...plan }) => {
  void tap.default.test(`what upstreams state is kept: ${name}`, async (t) => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
      await check(t, plan, seed);
    }
  });
});

// Guards against a caller who waits for longer than one request to a leader before the refusal; from a long run.
void tap.default.test('a call without room is refused in time: seed 325', (t) =>
  check(
    t,
    PLANS.find(({ name }) => name === 'upstreams that rest and leave')!,
    325,
  ),
);

// Guards against callers who are refused, or wait for a leader, while an upstream without a limit has room.
void tap.default.test('load that limits exclude goes where there is room', async (t) => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const plan = { ...CALM, hosts: 40, unlimited: 1, leaderMs: 5_000, lossShare: 0.02 };
    const simulation = new simulations.LimitedFleetSimulation(seed, plan);
    await simulation.simulate();
    t.equal(simulation.calls.refusedWithRoom, 0, `seed ${seed}: none refused`);
    t.ok(simulation.getMostExcess() <= 0, `seed ${seed}: the limits hold`);
  }
});
