import * as tap from 'tap';

import * as callSimulations from './support/call-simulation.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

const DURATION_MS = 12_000;

/** Time at which the burst begins, and its duration, in milliseconds. */
const BURST_AT_MS = 3_000;
const BURST_MS = 50;

/** Time for which callers wait in all, in milliseconds. */
const TIMEOUT_MS = 10_000;

/** Share of the returning callers that may be refused again. */
const MAX_REFUSED_SHARE = 0.1;

/** A site whose upstreams are equal, with a load and a burst that fit it together. */
interface Site {
  readonly name: string;
  readonly upstreams: number;
  readonly declaredSlots: number;
  readonly concurrency: number;
  readonly serviceMs: number;
  readonly targetMs: number;
  /** Share of the capacity that usual calls take. */
  readonly usedShare: number;
}

const SITES: readonly Site[] = [
  {
    name: 'upstreams that run half of the slots that they declare',
    upstreams: 3,
    declaredSlots: 4,
    concurrency: 2,
    serviceMs: 50,
    targetMs: 200,
    usedShare: 0.3,
  },
  {
    name: 'upstreams of two slots',
    upstreams: 3,
    declaredSlots: 2,
    concurrency: 2,
    serviceMs: 50,
    targetMs: 200,
    usedShare: 0.5,
  },
  {
    name: 'upstreams of six slots',
    upstreams: 4,
    declaredSlots: 6,
    concurrency: 6,
    serviceMs: 125,
    targetMs: 400,
    usedShare: 0.5,
  },
];

function getCallsPerS({ concurrency, serviceMs, upstreams }: Site): number {
  return (upstreams * concurrency * 1_000) / serviceMs;
}

/** Plays a burst of as many callers as are served in a given time, and counts those that return after a refusal. */
function countReturned(site: Site, seed: number, burstMs: number, hasReturnTimes: boolean) {
  const { concurrency, declaredSlots, serviceMs, targetMs, upstreams, usedShare } = site;
  const callsPerS = getCallsPerS(site);
  const simulation = new callSimulations.CallSimulation({
    seed,
    upstreams: Array.from({ length: upstreams }, (_, i) => ({
      upstreamId: `u${i}`,
      availabilityZone: 'a',
      declaredSlots,
      concurrency,
      queueLimit: concurrency,
      serviceMs,
      statesLoad: true,
    })),
    hasReturnTimes,
    refusedReturn: true,
  });
  const usual = {
    team: 'usual',
    priority: 3,
    callsPerS: callsPerS * usedShare,
    targetMs,
    timeoutMs: TIMEOUT_MS,
  };
  const burst = {
    ...usual,
    team: 'burst',
    callsPerS: (callsPerS * burstMs) / BURST_MS,
    fromMs: BURST_AT_MS,
    untilMs: BURST_AT_MS + BURST_MS,
  };
  simulation.run([usual, burst], DURATION_MS);
  return callSimulations.summarize(simulation.outcomes, ({ isReturn }) => isReturn === true);
}

function sum(counts: readonly { readonly asked: number; readonly refused: number }[]) {
  const asked = counts.reduce((total, item) => total + item.asked, 0);
  const refused = counts.reduce((total, item) => total + item.refused, 0);
  return { asked, refused };
}

// Guards against refused callers who return together, or when usual calls take the capacity, and are refused again.
void tap.default.test('callers come back together', async (t) => {
  SITES.forEach((site) => {
    const { asked, refused } = sum(SEEDS.map((seed) => countReturned(site, seed, 800, true)));
    t.ok(asked > 20 * SEEDS.length, `${site.name}: ${asked} return`);
    t.ok(refused < asked * MAX_REFUSED_SHARE, `${refused} of them are refused again`);
    const former = sum(SEEDS.map((seed) => countReturned(site, seed, 800, false)));
    t.ok(
      refused < former.refused / 4,
      `${former.refused} of ${former.asked} at the time at which the backlog is served`,
    );
  });
});

// Guards against a burst for which there is no capacity in time, which leaves most of its callers worse off than before.
void tap.default.test('callers come back together, too many of them', async (t) => {
  SITES.forEach((site) => {
    const { asked, refused } = sum(SEEDS.map((seed) => countReturned(site, seed, 1_600, true)));
    const former = sum(SEEDS.map((seed) => countReturned(site, seed, 1_600, false)));
    t.ok(
      refused / asked < former.refused / former.asked / 2,
      `${site.name}: ${refused} of ${asked} are refused again, ${former.refused} of ${former.asked} at the former times`,
    );
  });
});
