import * as scheduling from '@bramleyridge/scheduling';
import * as tap from 'tap';

import * as upstreams from './support/simulated-upstream.js';

const SERVICE_MS = 50;
const SLOTS = 4;
const END_MS = 30_000;

/** Time in which service times are learned, in milliseconds. */
const WARM_UP_MS = 2_000;

/** Calls that wait at any time: more than the upstreams can take at once. */
const WAITING_CALLS = 24;

interface Site {
  readonly upstream: upstreams.SimulatedUpstream;
  readonly serviceTime: scheduling.ServiceTime;
  readonly isStated: boolean;
}

interface Run {
  /** Calls sent to each upstream after the warm-up, with the time of each. */
  readonly sentAt: readonly (readonly number[])[];
  /** Completed work as a share of what was possible. */
  readonly throughput: number;
}

/** Creates upstreams of which each has its own slowdown. */
function createSites(
  slowdowns: readonly ((now: number) => number)[],
  isStated: boolean,
  seed: number,
): Site[] {
  const random = upstreams.createRandom(seed);
  return slowdowns.map((getSlowdown) => ({
    upstream: new upstreams.SimulatedUpstream({
      slots: SLOTS,
      queueLength: Infinity,
      serviceMs: SERVICE_MS,
      random,
      getSlowdown,
    }),
    serviceTime: new scheduling.ServiceTime(),
    isStated,
  }));
}

/**
 * Lists the upstreams to which waiting calls go now: each call goes to the one with the least expected time, counting the
 * calls before it, and waits if that one has no free slot.
 */
function* iterateSends(sites: readonly Site[], now: number): Generator<Site> {
  const medianMs = scheduling.getMedianUsualMs(
    sites.map(({ serviceTime }) => serviceTime),
    now,
  );
  const planned = new Map(sites.map((site) => [site, site.upstream.inFlight]));
  for (let i = 0; i < WAITING_CALLS; i += 1) {
    const timed = sites.map((site) => {
      const inFlight = planned.get(site)!;
      const facts = { inFlight, slots: SLOTS, isCold: false, failures: 0, medianMs };
      const expectedMs = scheduling.getExpectedMs({ serviceTime: site.serviceTime, ...facts }, now);
      return { site, inFlight, expectedMs };
    });
    const best = timed.reduce((least, item) => (item.expectedMs < least.expectedMs ? item : least));
    planned.set(best.site, best.inFlight + 1);
    if (best.inFlight < SLOTS) {
      yield best.site;
    }
  }
}

function saturate(sites: readonly Site[]): Run {
  const sentAt = sites.map((): number[] => []);
  let sent = 0;
  for (let now = 0; now < END_MS; now += 1) {
    sites.forEach(({ isStated, serviceTime, upstream }) => {
      upstream.step(now).forEach(({ tookMs }) => {
        serviceTime.recordAnswer(tookMs, isStated ? upstream.getLoad(now) : undefined, now);
      });
    });
    for (const site of iterateSends(sites, now)) {
      sent += 1;
      site.upstream.send(sent, now);
      if (now >= WARM_UP_MS) {
        sentAt[sites.indexOf(site)]!.push(now);
      }
    }
  }
  const sum = (get: (upstream: upstreams.SimulatedUpstream) => number) =>
    sites.reduce((total, { upstream }) => total + get(upstream), 0);
  return { sentAt, throughput: sum((item) => item.doneMs) / sum((item) => item.possibleMs) };
}

/** Returns the share of the calls in periods that the first upstream got. */
function getShare({ sentAt }: Run, isIncluded: (now: number) => boolean): number {
  const counts = sentAt.map((times) => times.filter(isIncluded).length);
  return counts[0]! / counts.reduce((sum, item) => sum + item, 0);
}

function always(): number {
  return 1;
}

const SEEDS = [1, 2, 3, 4, 5];

// Guards against an upstream at two fifths of the speed of two others that gets a third of the calls.
[true, false].forEach((isStated) => {
  void tap.default.test(
    `upstreams of uneven speed, ${isStated ? 'stated' : 'not stated'}`,
    async (t) => {
      SEEDS.forEach((seed) => {
        const run = saturate(createSites([() => 2.5, always, always], isStated, seed));
        const share = getShare(run, () => true);
        t.ok(share <= 0.2, `seed ${seed}: the slow one gets ${share.toFixed(3)} of the calls`);
        t.ok(share >= 0.1, 'and is used');
        t.ok(run.throughput >= 0.95, `${run.throughput.toFixed(3)} of the capacity is used`);
      });
    },
  );
});

// Guards against calls sent to a machine while it is slowed, and against avoiding it after that.
void tap.default.test('a slow neighbour comes and goes', async (t) => {
  SEEDS.forEach((seed) => {
    const spells = upstreams.createSpells(WARM_UP_MS);
    const sites = createSites([spells, always, always], true, seed);
    const run = saturate(sites);
    const during = getShare(run, (now) => spells(now) > 1);
    const between = getShare(run, (now) => spells(now) === 1);
    t.ok(during <= 0.2, `seed ${seed}: ${during.toFixed(3)} of the calls while it is slowed`);
    t.ok(Math.abs(between - 1 / 3) < 0.04, `${between.toFixed(3)} otherwise`);
    const usual = sites.map(({ serviceTime }) => serviceTime.getUsualMs()!);
    t.ok(
      usual.every((item) => Math.abs(item / SERVICE_MS - 1) < 0.35),
      `usual times are learned without the slowdown: ${usual.map(Math.round).join(', ')}`,
    );
  });
});

// Guards against a slowdown that counts after its machine has recovered.
void tap.default.test('a stated slowdown is valid for 400 ms', async (t) => {
  const time = new scheduling.ServiceTime();
  t.equal(time.getSlowdown(0), 1, 'before any statement');
  t.notOk(time.hasStatedSlowdown(0));
  time.applyLoad({ running: 1, waiting: 0, slowdown: 2.5 }, 1_000);
  t.same(
    [1_000, 1_400, 1_401].map((now) => time.getSlowdown(now)),
    [2.5, 2.5, 1],
  );
  time.applyLoad({ running: 1, waiting: 0 }, 1_200);
  t.equal(time.getSlowdown(1_300), 2.5, 'a load without one does not end it');
  t.ok(time.hasStatedSlowdown(61_000));
  t.notOk(time.hasStatedSlowdown(61_001), 'after a minute it counts as one that states none');
});

// Guards against invalid figures that make an upstream count as infinitely fast or slow.
void tap.default.test('invalid figures are used as if nothing had been stated', async (t) => {
  const time = new scheduling.ServiceTime();
  [NaN, -5, Infinity, -Infinity].forEach((tookMs) => time.recordAnswer(tookMs, undefined, 0));
  t.equal(time.getUsualMs(), undefined);
  time.recordAnswer(80, undefined, 0);
  [NaN, -5, Infinity].forEach((tookMs) => time.recordAnswer(tookMs, undefined, 1));
  t.equal(time.getUsualMs(), 80);
  const figures = [NaN, -5, 0, 1e99, Infinity, undefined];
  const loads = figures.flatMap((slots) =>
    figures.map((slowdown) => ({ running: 1, waiting: 0, slots, slowdown })),
  );
  t.ok(
    loads.every(
      (load) =>
        scheduling.statedLoad.safeParse(load).success ===
        (load.slots === undefined && load.slowdown === undefined),
    ),
    'the schema rejects each of them',
  );
  const odd = [
    { running: 0, waiting: 5 },
    { running: 0, waiting: 0, slots: 1 },
    { running: 100_000, waiting: 100_000, slots: 1, slowdown: 50 },
    { running: 0, waiting: 0, slowdown: 0.1 },
  ];
  odd.forEach((load) => {
    const other = new scheduling.ServiceTime();
    other.recordAnswer(0, load, 0);
    const candidate = { serviceTime: other, inFlight: 0, isCold: false, failures: 0, medianMs: 50 };
    const expectedMs = scheduling.getExpectedMs({ ...candidate, slots: 0 }, 0);
    t.ok(Number.isFinite(expectedMs) && expectedMs > 0, JSON.stringify(load));
  });
});

// Guards against a new process that gets all calls, or none, because its speed is not known.
void tap.default.test('a process of which nothing is known counts as the median', async (t) => {
  const known = [40, 50, 120].map((tookMs) => {
    const serviceTime = new scheduling.ServiceTime();
    serviceTime.recordAnswer(tookMs, undefined, 0);
    return serviceTime;
  });
  const unknown = new scheduling.ServiceTime();
  const medianMs = scheduling.getMedianUsualMs([...known, unknown], 0);
  t.equal(medianMs, 50);
  const facts = { inFlight: 0, slots: SLOTS, isCold: false, failures: 0, medianMs };
  const expect = (serviceTime: scheduling.ServiceTime, change = {}, now = 0) =>
    scheduling.getExpectedMs({ serviceTime, ...facts, ...change }, now);
  t.equal(expect(unknown), 50);
  t.equal(scheduling.getMedianUsualMs([unknown], 0), undefined);
  const single = expect(unknown, { medianMs: undefined });
  t.ok(single > 0 && Number.isFinite(single), 'also when nothing is known of any');
  t.same(
    known.map((item) => expect(item)),
    [40, 50, 120],
  );
  t.same(
    known.map((item) => expect(item, {}, 40_000)),
    [50, 50, 50],
    'old answers do not count',
  );
  t.same(
    [3, 4, 8].map((inFlight) => expect(unknown, { inFlight })),
    [50, 62.5, 112.5],
    'with the wait for a slot when all are busy',
  );
  t.ok(expect(unknown, { isCold: true }) > 50, 'a cold one counts as slower');
  t.ok(expect(unknown, { failures: 1 }) > 50, 'and one that has just failed');
});

// Guards against an upstream that stays avoided after it has become as fast as the others.
void tap.default.test('an upstream that was slow gets calls again', async (t) => {
  const time = new scheduling.ServiceTime();
  for (let now = 0; now < 20; now += 1) {
    time.recordAnswer(500, undefined, now);
  }
  t.equal(time.getRecentUsualMs(20_000), 500);
  t.equal(time.getRecentUsualMs(40_000), undefined);
  for (let i = 0; i < 5; i += 1) {
    time.recordAnswer(50, undefined, 40_000 + i);
  }
  t.ok(time.getUsualMs()! < 150, `${time.getUsualMs()} ms after five answers of 50 ms`);
});
