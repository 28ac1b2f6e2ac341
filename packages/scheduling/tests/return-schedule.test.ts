import * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

/** Slots of the service and the time that a call of cost 1 takes, in milliseconds. */
const SLOTS = 6;
const CALL_MS = 125;
const RATE_PER_MS = SLOTS / CALL_MS;

/** Time for which a returned caller may wait for a slot, in milliseconds: until one call ends. */
const PATIENCE_MS = CALL_MS;

/** Time within which all callers of a burst are refused, in milliseconds. */
const BURST_MS = 50;

/** Share of the callers that have to be served when they return at the stated time. */
const MIN_SERVED_SHARE = 0.9;

const SEEDS = [1, 2, 3, 4, 5];

const REQUEST: scheduling.ReturnRequest = {
  priority: 3,
  cost: 1,
  backlog: 0,
  freeRatePerMs: RATE_PER_MS,
  maxMs: 10_000,
};

interface Caller {
  readonly priority: number;
  readonly cost: number;
}

interface Waiter extends Caller {
  readonly settle: (isServed: boolean) => void;
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Slots that serve callers by priority and then in order of arrival, and refuse those that wait too long. */
class Slots {
  private free = SLOTS;
  private waiting: Waiter[] = [];

  public constructor(private readonly clock: schemas.Clock) {}

  public serve(caller: Caller): Promise<boolean> {
    return new Promise((settle) => {
      const waiter = { ...caller, settle };
      this.waiting.push(waiter);
      this.dispatch();
      void this.clock.sleep(PATIENCE_MS).then(() => {
        this.waiting = this.waiting.filter((item) => item !== waiter);
        settle(false);
      });
    });
  }

  private dispatch(): void {
    this.waiting.sort((a, b) => a.priority - b.priority);
    this.waiting.splice(0, this.free).forEach(({ cost, settle }) => {
      this.free -= 1;
      settle(true);
      void this.clock.sleep(cost * CALL_MS).then(() => {
        this.free += 1;
        this.dispatch();
      });
    });
  }
}

/** Refuses callers in a burst and finds who of them is served on return at the stated time. */
async function playBurst(callers: readonly Caller[], seed: number) {
  const clock = new schemas.VirtualClock();
  const random = createRandom(seed);
  const schedule = new scheduling.ReturnSchedule(random);
  const slots = new Slots(clock);
  const results = callers.map(async (caller) => {
    await clock.sleep(random() * BURST_MS);
    const afterMs = schedule.reserve({ ...REQUEST, ...caller }, clock.now());
    await clock.sleep(afterMs);
    return { ...caller, afterMs, isServed: await slots.serve(caller) };
  });
  await clock.advance(30_000);
  return Promise.all(results);
}

function createCallers(count: number, change: (index: number) => Partial<Caller>): Caller[] {
  return Array.from({ length: count }, (_, i) => ({ priority: 3, cost: 1, ...change(i) }));
}

function getServedShare(results: readonly { readonly isServed: boolean }[]): number {
  return results.filter(({ isServed }) => isServed).length / results.length;
}

function getMeanMs(results: readonly { readonly afterMs: number }[]): number {
  return results.reduce((sum, { afterMs }) => sum + afterMs, 0) / results.length;
}

// Guards against refused callers who all return at the same time and are refused again.
void tap.default.test('callers come back together', async (t) => {
  for (const seed of SEEDS) {
    const callers = createCallers(200, () => ({}));
    const results = await playBurst(callers, seed);
    const share = getServedShare(results);
    t.ok(share > MIN_SERVED_SHARE, `seed ${seed}: ${share} are served at the stated time`);
    const lastMs = Math.max(...results.map(({ afterMs }) => afterMs));
    t.ok(lastMs < (200 / RATE_PER_MS) * 1.25, `the last returns after ${Math.round(lastMs)} ms`);
  }
});

// Guards against urgent callers who return after all others that were refused before them.
void tap.default.test('callers come back together, some of them urgent', async (t) => {
  for (const seed of SEEDS) {
    const callers = createCallers(200, (i) => ({ priority: i % 20 === 0 ? 0 : 7 }));
    const results = await playBurst(callers, seed);
    const urgent = results.filter(({ priority }) => priority === 0);
    const others = results.filter(({ priority }) => priority === 7);
    const share = getServedShare(results);
    t.ok(share > MIN_SERVED_SHARE, `seed ${seed}: ${share} are served at the stated time`);
    t.equal(getServedShare(urgent), 1, 'all urgent ones are');
    const [soonMs, lateMs] = [getMeanMs(urgent), getMeanMs(others)];
    t.ok(soonMs < lateMs / 5, `after ${Math.round(soonMs)} ms, others ${Math.round(lateMs)} ms`);
  }
});

// Guards against small calls that wait for large ones refused before them.
void tap.default.test('callers come back together, some of them large', async (t) => {
  for (const seed of SEEDS) {
    const callers = createCallers(200, (i) => ({ cost: i % 20 === 0 ? 8 : 1 }));
    const results = await playBurst(callers, seed);
    const share = getServedShare(results);
    t.ok(share > MIN_SERVED_SHARE, `seed ${seed}: ${share} are served at the stated time`);
  }
  const schedule = new scheduling.ReturnSchedule(() => 0.5);
  const reserve = (cost: number) => schedule.reserve({ ...REQUEST, cost }, 0);
  const large = Array.from({ length: 10 }, () => reserve(8));
  const lastMs = large.at(-1)!;
  const smallMs = reserve(1);
  t.ok(smallMs < lastMs * 0.6, `a small one after ${smallMs} ms, the last large one ${lastMs}`);
  t.ok(smallMs > large[0]!, 'but not before all of them');
});

// Guards against times that grow with every caller who was refused once and does not return.
void tap.default.test('callers come back together, or not at all', async (t) => {
  const schedule = new scheduling.ReturnSchedule(() => 0.5);
  const reserve = (now: number) => schedule.reserve(REQUEST, now);
  const first = reserve(0);
  t.equal(first, 105, 'at least 100 ms, with jitter');
  Array.from({ length: 99 }, () => reserve(0));
  const afterMs = reserve(0);
  t.ok(Math.abs(afterMs - 101 / RATE_PER_MS / 0.9) < 1, `${afterMs} ms behind 100 others`);
  const laterMs = reserve(1_000);
  t.ok(laterMs < afterMs - 800, `${laterMs} ms a second later`);
  t.equal(reserve(5_000), first, 'all reservations have expired');
  t.ok(schedule.reserve({ ...REQUEST, backlog: 50 }, 10_000) > 1_000, 'the backlog counts');
});

// Guards against times that count on capacity which calls that were never refused take.
void tap.default.test('callers come back together beside usual calls', async (t) => {
  const reserve = (takenRatePerMs: number) =>
    new scheduling.ReturnSchedule(() => 0.5).reserve(
      { ...REQUEST, backlog: 20, takenRatePerMs },
      0,
    );
  const aloneMs = reserve(0);
  const besideMs = reserve(RATE_PER_MS * 0.45);
  t.ok(Math.abs(besideMs - 2 * aloneMs) < 1, `${besideMs} ms instead of ${aloneMs} ms`);
  t.ok(reserve(RATE_PER_MS) < 5 * aloneMs, 'but not without end');
  const schedule = new scheduling.ReturnSchedule(() => 0.5);
  for (let now = 0; now < 10_000; now += 1_000 / 24) {
    schedule.reserve(REQUEST, now);
  }
  const req = { ...REQUEST, backlog: 20 };
  const returnedMs = schedule.reserve({ ...req, takenRatePerMs: RATE_PER_MS / 2 }, 10_000);
  t.ok(
    returnedMs < 1.2 * schedule.reserve(req, 10_000),
    'what returned callers take is not counted twice',
  );
});

// Guards against times beyond what callers keep to, and against callers who return together at that limit.
void tap.default.test('callers come back together within the time that they heed', async (t) => {
  const schedule = new scheduling.ReturnSchedule(createRandom(1));
  const reserve = (change: Partial<scheduling.ReturnRequest>) =>
    schedule.reserve({ ...REQUEST, maxMs: 1_000, ...change }, 0);
  const all = Array.from({ length: 300 }, () => reserve({ backlog: 200 }));
  t.ok(
    all.every((ms) => ms >= 500 && ms <= 1_000),
    'none later',
  );
  t.ok(Math.max(...all) - Math.min(...all) > 450, 'spread over the second half');
  t.ok(reserve({ backlog: 20 }) < 600, 'without effect on those for whom there is capacity');
  t.ok(reserve({ maxMs: 30 }) >= 100, 'but none before the minimum');
});

// Guards against a division by a rate that is not known, as after a start.
void tap.default.test('callers come back together at an unknown rate', async (t) => {
  for (const freeRatePerMs of [0, -1, NaN, Infinity]) {
    const schedule = new scheduling.ReturnSchedule(createRandom(1));
    const all = Array.from({ length: 200 }, () =>
      schedule.reserve({ ...REQUEST, freeRatePerMs, maxMs: 2_000 }, 0),
    );
    t.ok(
      all.every((ms) => ms >= 1_000 && ms <= 2_000),
      `${freeRatePerMs}: in the second half of the time`,
    );
    t.ok(Math.max(...all) - Math.min(...all) > 900, 'spread over it');
    const longMs = schedule.reserve({ ...REQUEST, freeRatePerMs, maxMs: 30_000 }, 0);
    t.ok(longMs <= 2_000, 'also if there is much time');
  }
});

// Guards against refusals that take the processor from the calls which are served.
void tap.default.test('callers come back together by the thousand', async (t) => {
  const schedule = new scheduling.ReturnSchedule(createRandom(1));
  const count = 10_000;
  const startedAt = performance.now();
  for (let i = 0; i < count; i += 1) {
    const caller = { priority: i % 8, cost: 1 + (i % 100), maxMs: 20_000 };
    schedule.reserve({ ...REQUEST, ...caller }, i);
  }
  const eachMs = (performance.now() - startedAt) / count;
  t.ok(eachMs < 0.1, `${eachMs} ms each`);
});
