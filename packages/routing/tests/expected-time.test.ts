import * as fakes from '@bramleyridge/fakes';
import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

const SERVICE_MS = 50;
const SLOTS = 6;

/** Calls a second that one upstream can serve without a slowdown. */
const CAPACITY_PER_S = (SLOTS * 1_000) / SERVICE_MS;

const END_MS = 24_000;

/** Time in which hosts learn service times, in milliseconds; what is measured comes after it. */
const WARM_UP_MS = 6_000;

type Choose = typeof routing.chooseByCalls;

interface Options {
  readonly hosts: number;
  /** Zones of the upstreams, with the slowdown of each. */
  readonly upstreams: readonly {
    readonly zone: string;
    readonly getSlowdown: (now: number) => number;
  }[];
  /** Returns the zone of a host. */
  readonly getZone: (host: number) => string;
  /** Returns the calls a second of a host. */
  readonly getRate: (host: number, now: number) => number;
  readonly choose: Choose;
  readonly seed: number;
}

interface EndedCall {
  readonly sentAt: number;
  readonly tookMs: number;
  readonly upstream: number;
  readonly isSameZone: boolean;
}

/** Plays hosts that choose alone, each with what it has learned from its own answers. */
function play(options: Options): EndedCall[] {
  const random = fakes.createRandom(options.seed);
  const upstreams = options.upstreams.map(
    ({ getSlowdown }) =>
      new fakes.SimulatedUpstream({
        slots: SLOTS,
        queueLength: Infinity,
        serviceMs: SERVICE_MS,
        random,
        getSlowdown,
      }),
  );
  const hosts = Array.from({ length: options.hosts }, (_, host) =>
    options.upstreams.map(({ zone }, i) => ({
      upstreamId: `u${i}`,
      isSameZone: zone === options.getZone(host),
      isCold: false,
      slots: SLOTS,
      load: new routing.UpstreamLoad(),
    })),
  );
  const active = new Map<number, { host: number; leave: () => void }>();
  const ended: EndedCall[] = [];
  let sent = 0;
  for (let now = 0; now < END_MS; now += 1) {
    upstreams.forEach((item, upstream) => {
      item.step(now).forEach(({ callId, tookMs }) => {
        const { host, leave } = active.get(callId)!;
        const { isSameZone, load } = hosts[host]![upstream]!;
        const stated = item.getLoad(now);
        leave();
        load.applyReport(stated, now);
        load.serviceTime.recordAnswer(tookMs, stated, now);
        active.delete(callId);
        ended.push({ sentAt: now - tookMs, tookMs, upstream, isSameZone });
      });
    });
    for (const [host, candidates] of hosts.entries()) {
      if (random() < options.getRate(host, now) / 1_000) {
        sent += 1;
        const chosen = options.choose(candidates, now, random)!;
        active.set(sent, { host, leave: chosen.load.trackCall(0) });
        upstreams[candidates.indexOf(chosen)]!.send(sent, now);
      }
    }
  }
  return ended.filter(({ sentAt }) => sentAt >= WARM_UP_MS);
}

function getShare(calls: readonly EndedCall[], isCounted: (call: EndedCall) => boolean): number {
  return calls.filter(isCounted).length / calls.length;
}

function getQuantileMs(calls: readonly EndedCall[], quantile: number): number {
  const sorted = calls.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * quantile)]!;
}

function getMeanMs(calls: readonly EndedCall[]): number {
  return calls.reduce((sum, { tookMs }) => sum + tookMs, 0) / calls.length;
}

function format(calls: readonly EndedCall[]): string {
  const p95 = getQuantileMs(calls, 0.95);
  return `${calls.length} calls, mean ${getMeanMs(calls).toFixed(0)} ms, 95% in ${p95} ms`;
}

function listUpstreams(zone: string, slowdowns: readonly number[]): Options['upstreams'] {
  return slowdowns.map((slowdown) => ({ zone, getSlowdown: () => slowdown }));
}

const SEEDS = [1, 2, 3];
const IN_ONE_ZONE = { getZone: () => 'a' };
const byTime = { choose: routing.chooseByExpectedTime };
const byCalls = { choose: routing.chooseByCalls };

// Guards against an upstream at two fifths of the speed of two others that gets a third of the calls.
[
  { hosts: 60, load: 0.6 },
  { hosts: 300, load: 0.85 },
].forEach(({ hosts, load }) => {
  void tap.default.test(`upstreams of uneven speed, ${hosts} hosts at ${load}`, async (t) => {
    SEEDS.forEach((seed) => {
      const upstreams = listUpstreams('a', [2.5, 1, 1]);
      const getRate = () => (2.4 * CAPACITY_PER_S * load) / hosts;
      const options = { ...IN_ONE_ZONE, hosts, upstreams, getRate, seed };
      const calls = play({ ...options, ...byTime });
      const share = getShare(calls, ({ upstream }) => upstream === 0);
      t.ok(share <= 0.2, `seed ${seed}: the slow one gets ${share.toFixed(3)} of the calls`);
      const before = play({ ...options, ...byCalls });
      t.ok(getMeanMs(calls) < getMeanMs(before) * 0.75, `${format(calls)}; ${format(before)}`);
    });
  });
});

// Guards against calls sent to a machine while it is slowed, and against avoiding it after that.
void tap.default.test('a slow neighbour comes and goes', async (t) => {
  const spells = [0, 1, 2, 3].map((i) => fakes.createSpells(i * 1_000));
  const upstreams = spells.map((getSlowdown) => ({ zone: 'a', getSlowdown }));
  SEEDS.forEach((seed) => {
    const hosts = 16;
    const getRate = () => (4 * CAPACITY_PER_S * 0.5) / hosts;
    const options = { ...IN_ONE_ZONE, hosts, upstreams, getRate, seed };
    const [calls, before] = [byTime, byCalls].map((choice) => play({ ...options, ...choice }));
    const isSlowed = ({ sentAt, upstream }: EndedCall) => spells[upstream]!(sentAt) > 1;
    const [slowed, slowedBefore] = [getShare(calls!, isSlowed), getShare(before!, isSlowed)];
    const figures = `${slowed.toFixed(3)} of the calls, ${slowedBefore.toFixed(3)} by calls`;
    t.ok(slowed < slowedBefore, `seed ${seed}: slowed machines get ${figures}`);
    t.ok(getMeanMs(calls!) < getMeanMs(before!) * 1.05, `${format(calls!)}; ${format(before!)}`);
    const shares = upstreams.map((_, i) => getShare(calls!, ({ upstream }) => upstream === i));
    t.ok(
      Math.min(...shares) >= 0.2,
      `shares of the four: ${shares.map((item) => item.toFixed(2)).join(', ')}`,
    );
  });
});

// Guards against calls that wait in an overloaded zone, and against calls that leave a zone with free slots.
void tap.default.test('demand moves to another zone', async (t) => {
  const movesAt = 12_000;
  const hosts = 300;
  const upstreams = ['a', 'b', 'c'].flatMap((zone) => listUpstreams(zone, [1]));
  const getZone = (host: number) => 'abc'[host % 3]!;
  const getRate = (host: number, now: number) => {
    const moved = getZone(host) === 'a' ? 2.4 : 0.3;
    return ((now < movesAt ? 1 : moved) * 1.5 * CAPACITY_PER_S) / hosts;
  };
  SEEDS.forEach((seed) => {
    const options = { hosts, upstreams, getZone, getRate, seed };
    const calls = play({ ...options, ...byTime });
    const before = calls.filter(({ sentAt }) => sentAt < movesAt);
    const after = calls.filter(({ sentAt }) => sentAt >= movesAt);
    const stayed = getShare(before, ({ isSameZone }) => isSameZone);
    t.ok(stayed >= 0.8, `seed ${seed}: ${stayed.toFixed(2)} stay in their zone before`);
    const left = getShare(after, ({ isSameZone }) => !isSameZone);
    t.ok(left >= 0.2, `${left.toFixed(2)} leave it after: it has capacity for 0.83 of its calls`);
    t.ok(getQuantileMs(after, 0.95) <= 4 * SERVICE_MS, format(after));
  });
});

// Guards against hosts that all choose the fastest upstream at once and overload it.
[0.5, 0.8].forEach((fastest) => {
  void tap.default.test(`300 hosts and a fastest upstream of ${fastest}`, async (t) => {
    const hosts = 300;
    const upstreams = listUpstreams('a', [fastest, 1, 1, 1]);
    const getRate = () => ((3 + 1 / fastest) * CAPACITY_PER_S * 0.8) / hosts;
    SEEDS.forEach((seed) => {
      const options = { ...IN_ONE_ZONE, hosts, upstreams, getRate, seed };
      const calls = play({ ...options, ...byTime });
      const seconds = new Set(calls.map(({ sentAt }) => Math.floor(sentAt / 1_000)));
      const shares = [...seconds].map((second) => {
        const sent = calls.filter(({ sentAt }) => Math.floor(sentAt / 1_000) === second);
        return getShare(sent, ({ upstream }) => upstream === 0);
      });
      const most = Math.max(...shares);
      t.ok(
        most <= 0.55,
        `seed ${seed}: it gets ${most.toFixed(2)} of the calls of a second at most`,
      );
      const before = play({ ...options, ...byCalls });
      t.ok(
        getQuantileMs(calls, 0.95) <= getQuantileMs(before, 0.95) * 1.1,
        `${format(calls)}; ${format(before)}`,
      );
    });
  });
});

function createCandidates(random: () => number, now: number): routing.LoadCandidate[] {
  const count = 1 + Math.floor(random() * 6);
  return Array.from({ length: count }, (_, i) => {
    const load = new routing.UpstreamLoad();
    Array.from({ length: Math.floor(random() * 6) }, () => load.trackCall(0));
    if (random() < 0.5) {
      load.applyReport({ running: Math.floor(random() * 9), waiting: 0, slots: SLOTS }, now - 500);
    }
    if (random() < 0.5) {
      load.serviceTime.recordAnswer(random() * 400, undefined, now - 100);
    }
    if (random() < 0.3) {
      load.recordFailure(now - 100);
    }
    const isCold = random() < 0.2;
    return { upstreamId: `u${i}`, isSameZone: random() < 0.5, isCold, slots: SLOTS, load };
  });
}

// Guards against any change for deployments whose upstreams state no slowdown.
void tap.default.test('without a stated slowdown the choice is that by calls', async (t) => {
  const now = 100_000;
  const random = fakes.createRandom(9);
  const differences = { same: 0, different: 0 };
  for (let i = 0; i < 2_000; i += 1) {
    const candidates = createCandidates(random, now);
    // One that stated a slowdown over a minute ago counts as one that states none.
    candidates[0]!.load.applyReport({ running: 0, waiting: 0, slowdown: 9 }, now - 60_001);
    const [first, second] = [byCalls, byTime].map(({ choose }) => {
      const drawn: number[] = [];
      const draw = fakes.createRandom(i);
      const chosen = choose(candidates, now, () => {
        drawn.push(draw());
        return drawn.at(-1)!;
      });
      return { upstreamId: chosen?.upstreamId, drawn };
    });
    const isSame = JSON.stringify(first) === JSON.stringify(second);
    differences[isSame ? 'same' : 'different'] += 1;
  }
  t.same(differences, { same: 2_000, different: 0 }, 'same upstream and same random numbers');
  t.equal(routing.chooseByExpectedTime([], now, random), undefined);
});

// Guards against calls that leave their zone for a gain within the variation of latency.
void tap.default.test('a call leaves its zone if that saves more than 10 ms', async (t) => {
  const choose = (nearMs: number, farMs: number) => {
    const candidates = [nearMs, farMs].map((tookMs, i) => {
      const load = new routing.UpstreamLoad();
      load.serviceTime.recordAnswer(tookMs, { running: 0, waiting: 0, slowdown: 1 }, 0);
      return { upstreamId: `u${i}`, isSameZone: i === 0, isCold: false, slots: SLOTS, load };
    });
    return routing.chooseByExpectedTime(candidates, 0, () => 0.5)!.isSameZone;
  };
  t.ok(choose(60, 50), 'stays for 10 ms');
  t.notOk(choose(61, 50), 'leaves for 11 ms');
  t.ok(choose(50, 60), 'stays where it is faster');
});
