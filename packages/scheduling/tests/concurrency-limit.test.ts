import * as fakes from '@bramleyridge/fakes';
import * as scheduling from '@bramleyridge/scheduling';
import * as tap from 'tap';

const SERVICE_MS = 50;

/** Time in which the limit adapts, in milliseconds; what is measured comes after it. */
const WARM_UP_MS = 3_000;

const END_MS = 15_000;

interface Load {
  readonly declaredSlots: number | undefined;
  readonly upstream: fakes.SimulatedUpstream;
  readonly states: (now: number) => scheduling.StatedLoad | undefined;
  readonly endMs?: number;
}

interface Outcome {
  /** Completed work as a share of what was possible. */
  readonly throughput: number;
  /** Mean and extreme values of the limit, weighted by time. */
  readonly mean: number;
  readonly least: number;
  readonly most: number;
  /** Mean time of an answer, in milliseconds. */
  readonly latencyMs: number;
  readonly answered: number;
  readonly shed: number;
  readonly values: readonly number[];
}

/** Keeps as many calls in progress as the limit allows. */
function saturate({ declaredSlots, endMs = END_MS, states, upstream }: Load): Outcome {
  const limit = new scheduling.ConcurrencyLimit({ declaredSlots });
  const values: number[] = [];
  const latencies: number[] = [];
  let sent = 0;
  let shed = 0;
  let [doneMs, possibleMs] = [0, 0];
  for (let now = 0; now < endMs; now += 1) {
    upstream.step(now).forEach(({ inFlight, tookMs }) => {
      const load = states(now);
      if (load !== undefined) {
        limit.applyLoad(load, now);
      }
      limit.recordAnswer(tookMs, inFlight, now);
      if (now >= WARM_UP_MS) {
        latencies.push(tookMs);
      }
    });
    while (upstream.inFlight < limit.value) {
      sent += 1;
      if (!upstream.send(sent, now)) {
        limit.recordShed(now);
        shed += now >= WARM_UP_MS ? 1 : 0;
        break;
      }
    }
    if (now === WARM_UP_MS) {
      [doneMs, possibleMs] = [upstream.doneMs, upstream.possibleMs];
    }
    values.push(limit.value);
  }
  const measured = values.slice(WARM_UP_MS);
  return {
    throughput: (upstream.doneMs - doneMs) / (upstream.possibleMs - possibleMs),
    mean: average(measured),
    least: Math.min(...measured),
    most: Math.max(...measured),
    latencyMs: average(latencies),
    answered: latencies.length,
    shed,
    values,
  };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, item) => sum + item, 0) / values.length;
}

function createUpstream(options: Partial<fakes.SimulatedUpstreamOptions>, seed: number) {
  return new fakes.SimulatedUpstream({
    slots: 6,
    queueLength: Infinity,
    serviceMs: SERVICE_MS,
    random: fakes.createRandom(seed),
    ...options,
  });
}

function statesNothing(): undefined {
  return undefined;
}

function format({ latencyMs, least, mean, most, throughput, shed, answered }: Outcome): string {
  const figures = { throughput, mean, least, most, latencyMs, answered, shed };
  return Object.entries(figures)
    .map(([name, value]) => `${name} ${value.toFixed(2)}`)
    .join(', ');
}

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);

// Guards against a queue that is always full at an upstream which runs fewer calls than it declares, and against a limit
// below what it runs.
[
  { name: 'an upstream declares 4 slots, runs 2 and queues 2', queueLength: 2, serviceMs: 50 },
  { name: 'the same with slow calls', queueLength: 2, serviceMs: 125 },
].forEach(({ name, queueLength, serviceMs }) => {
  void tap.default.test(name, async (t) => {
    SEEDS.forEach((seed) => {
      const upstream = createUpstream({ slots: 2, queueLength, serviceMs }, seed);
      const outcome = saturate({ declaredSlots: 4, upstream, states: statesNothing });
      const figures = `seed ${seed}: ${format(outcome)}`;
      t.ok(outcome.mean <= 3, figures);
      t.ok(
        outcome.latencyMs <= 1.6 * serviceMs,
        'at a limit of 4 it would be twice the service time',
      );
      t.ok(outcome.throughput >= 0.85, 'and its slots are used');
    });
  });
});

// Guards against capacity that is lost because random variation of service times is taken for a queue.
[2, 4, 6, 24].forEach((slots) => {
  void tap.default.test(`an upstream declares its ${slots} slots correctly`, async (t) => {
    SEEDS.forEach((seed) => {
      const upstream = createUpstream({ slots }, seed);
      const outcome = saturate({ declaredSlots: slots, upstream, states: statesNothing });
      t.ok(outcome.throughput >= 0.85, `seed ${seed}: ${format(outcome)}`);
      t.ok(outcome.most <= slots * 1.1 + 1, 'never above its slots and those of a round trip');
    });
  });
});

// Guards against a limit that stays above what the upstream accepts, and against one that collapses when it sheds.
void tap.default.test('an upstream sheds the calls beyond 6', async (t) => {
  SEEDS.forEach((seed) => {
    const upstream = createUpstream({ queueLength: 0 }, seed);
    const outcome = saturate({ declaredSlots: 8, upstream, states: statesNothing });
    t.ok(outcome.throughput >= 0.85, `seed ${seed}: ${format(outcome)}`);
    t.ok(outcome.shed <= outcome.answered / 50, 'and it sheds under one call in fifty');
  });
});

// Guards against a limit that collapses because calls which were sent together are refused together.
void tap.default.test('calls shed within one service time count once', async (t) => {
  const limit = new scheduling.ConcurrencyLimit({ declaredSlots: 8 });
  for (let now = 0; now < 90; now += 1) {
    limit.recordShed(now);
  }
  t.equal(limit.value, 7);
  limit.recordShed(200);
  t.equal(limit.value, 6);
});

// Guards against a limit that collapses because slower answers are taken for a queue.
[true, false].forEach((isStated) => {
  const suffix = isStated ? 'and is stated' : 'and is not stated';
  void tap.default.test(`a slow neighbour comes and goes ${suffix}`, async (t) => {
    const lastEndsAt = 9_000;
    SEEDS.forEach((seed) => {
      const getSlowdown = fakes.createSpells(WARM_UP_MS, lastEndsAt);
      const upstream = createUpstream({ getSlowdown }, seed);
      const states = isStated ? (now: number) => upstream.getLoad(now) : statesNothing;
      const outcome = saturate({ declaredSlots: 6, upstream, states });
      t.ok(outcome.throughput >= 0.85, `seed ${seed}: ${format(outcome)}`);
      t.ok(outcome.least >= 2, 'it never collapses');
      const after = outcome.values.slice(lastEndsAt + 1_000);
      t.ok(average(after) >= 5, `and recovers to ${average(after).toFixed(2)} on average`);
    });
  });
});

// Guards against a check for a queue, which costs throughput, each time that a machine states that it is slowed.
void tap.default.test('a stated slowdown is no sign of a queue', async (t) => {
  const cases = [
    { slowdown: 2.5, value: 6, name: 'stated' },
    { slowdown: undefined, value: 3, name: 'not stated' },
  ];
  cases.forEach(({ name, slowdown, value }) => {
    const limit = new scheduling.ConcurrencyLimit({ declaredSlots: 6 });
    let now = 0;
    const answer = (count: number, tookMs: number, stated: number | undefined) => {
      for (let i = 0; i < count; i += 1) {
        now += 10;
        limit.applyLoad({ running: 5, waiting: 0, slots: 6, slowdown: stated }, now);
        limit.recordAnswer(tookMs, limit.value, now);
      }
    };
    answer(120, 50, slowdown && 1);
    t.equal(limit.value, 6, 'the first check has ended');
    answer(20, 125, slowdown);
    t.equal(limit.value, value, name);
  });
});

// Guards against a slow period that is taken for a queue because it begins or ends while the limit is halved.
void tap.default.test('a slow period begins or ends during a check', async (t) => {
  const cases = [
    { before: 50, halved: 50, restored: 50, value: 6, name: 'none' },
    { before: 50, halved: 50, restored: 125, value: 6, name: 'begins' },
    { before: 125, halved: 50, restored: 50, value: 6, name: 'ends' },
    { before: 100, halved: 50, restored: 100, value: 3, name: 'a queue' },
  ];
  cases.forEach(({ before, halved, name, restored, value }) => {
    const limit = new scheduling.ConcurrencyLimit({ declaredSlots: 6 });
    let now = 0;
    const answerWhile = (isActive: () => boolean, tookMs: number) => {
      while (isActive() && now < 10_000) {
        now += 10;
        limit.recordAnswer(tookMs, limit.value, now);
      }
    };
    answerWhile(() => limit.value === 6, before);
    answerWhile(() => limit.value === 3, halved);
    const restoredAt = now;
    answerWhile(() => now < restoredAt + 400, restored);
    t.equal(limit.value, value, name);
  });
});

// Guards against a statement of waiting calls that is ignored until latency shows the queue.
void tap.default.test('an upstream states its waiting calls', async (t) => {
  SEEDS.forEach((seed) => {
    const upstream = createUpstream({ slots: 2 }, seed);
    const states = (now: number) => upstream.getLoad(now, 8);
    const outcome = saturate({ declaredSlots: 8, upstream, states });
    t.ok(outcome.mean <= 3.5, `seed ${seed}: ${format(outcome)}`);
    t.ok(outcome.throughput >= 0.85, 'and its slots are used');
    const answers = Array.from({ length: 60 }, (_, i) => i);
    const limit = new scheduling.ConcurrencyLimit({ declaredSlots: 8 });
    answers.forEach((i) => {
      limit.applyLoad({ running: 2, waiting: 5, slots: 8 }, i * 50);
      limit.recordAnswer(40, 8, i * 50);
    });
    t.ok(limit.value <= 4, `a limit of ${limit.value} without any change of latency`);
  });
});

// Guards against a limit that never grows to the slots of an upstream that declares none.
void tap.default.test('an upstream states nothing at all', async (t) => {
  SEEDS.forEach((seed) => {
    const upstream = createUpstream({}, seed);
    const outcome = saturate({ declaredSlots: undefined, upstream, states: statesNothing });
    t.ok(outcome.throughput >= 0.85, `seed ${seed}: ${format(outcome)}`);
    t.ok(outcome.latencyMs <= 1.6 * SERVICE_MS, 'without a long queue');
  });
  const limit = new scheduling.ConcurrencyLimit({ declaredSlots: undefined });
  limit.applyLoad({ running: 1, waiting: 0, slots: 2 }, 0);
  for (let now = 0; now < 20_000; now += 50) {
    limit.recordAnswer(50, limit.value, now);
  }
  t.ok(limit.value <= 4, `slots stated with an answer bound it: ${limit.value}`);
});

// Guards against a limit of 0 or NaN, with which no call would ever be sent again.
void tap.default.test('an upstream with invalid figures', async (t) => {
  [undefined, 1, 0.5, 4].forEach((declaredSlots) => {
    const limit = new scheduling.ConcurrencyLimit({ declaredSlots });
    for (let now = 0; now < 2_000; now += 10) {
      [NaN, -5, Infinity, 0, 1e99].forEach((tookMs) => limit.recordAnswer(tookMs, 9, now));
      limit.recordShed(now);
    }
    t.equal(limit.value, 1, `declares ${declaredSlots}`);
  });
});
