import * as tap from 'tap';

import * as scheduling from '../src/index.js';

const ANSWERED = { result: 'answered', tookMs: 50 } as const;

function createScheduler(
  upstreams: readonly Partial<scheduling.SchedulableUpstream>[] = [{}],
  options: Partial<scheduling.CallSchedulerOptions> = {},
) {
  const scheduler = new scheduling.CallScheduler({
    getWeight: () => 1,
    random: () => 0.5,
    ...options,
  });
  scheduler.setUpstreams(upstreams.map((facts, i) => createUpstream(`u${i + 1}`, facts)));
  return scheduler;
}

function createUpstream(
  upstreamId: string,
  facts: Partial<scheduling.SchedulableUpstream> = {},
): scheduling.SchedulableUpstream {
  const base = { availabilityZone: 'a', slots: 1, coldUntil: 0 };
  return { upstreamId, processId: upstreamId, ...base, ...facts };
}

function createSpec(callId: string, overrides: Partial<scheduling.CallSpec> = {}) {
  return {
    callId,
    hostId: 'h1',
    incarnation: 'i1',
    team: 'x',
    priority: 0,
    availabilityZone: 'a',
    dueAt: 1_000,
    expiresAt: 2_000,
    excluded: [],
    ...overrides,
  };
}

/** Formats settled calls for comparison. */
function format(settled: readonly scheduling.SettledCall[]): string[] {
  return settled.map((item) =>
    item.kind === 'granted'
      ? `${item.spec.callId} at ${item.upstreamId}`
      : `${item.spec.callId} ${item.reason}`,
  );
}

// Guards against a slot that is lost for good with the message that returns it.
void tap.default.test('a slot whose release is lost is free at the deadline', async (t) => {
  const scheduler = createScheduler();
  t.same(format(scheduler.submit(createSpec('c1', { expiresAt: 300 }), 0)), ['c1 at u1']);
  t.same(format(scheduler.submit(createSpec('c2'), 10)), [], 'the second call waits');
  t.same(format(scheduler.dispatch(299)), []);
  t.same(format(scheduler.dispatch(300)), ['c2 at u1']);
  t.same(scheduler.complete('c1', ANSWERED, 310), [], 'a late release has no effect');
  t.equal(scheduler.getSummary(310).running, 1);
});

// Guards against slots that the former process of a restarted host keeps until the deadlines of its calls.
void tap.default.test('slots of the earlier process of a host are freed', async (t) => {
  const scheduler = createScheduler([{ slots: 2 }]);
  scheduler.submit(createSpec('c1'), 0);
  scheduler.submit(createSpec('c2', { hostId: 'h2' }), 0);
  scheduler.submit(createSpec('c3'), 0);
  t.same(format(scheduler.dropHost('h1', 'i2', 10)), ['c3 no-time'], 'its waiting call ends');
  t.same(format(scheduler.submit(createSpec('c4', { incarnation: 'i2' }), 10)), ['c4 at u1']);
  t.equal(scheduler.getSummary(10).running, 2, 'the call of the other host keeps its slot');
});

// Guards against a slot that is given to a call whose caller has left.
void tap.default.test('a call that is withdrawn while it waits gets no slot', async (t) => {
  const scheduler = createScheduler();
  scheduler.submit(createSpec('c1'), 0);
  scheduler.submit(createSpec('c2'), 0);
  scheduler.complete('c2', { result: 'unused', tookMs: 0 }, 5);
  t.same(scheduler.complete('c1', ANSWERED, 50), []);
  t.equal(scheduler.getSummary(50).running, 0);
});

// Guards against capacity that is reserved for callers who have left, which delays the return of all others.
void tap.default.test('a call that is withdrawn reserves no time to return', async (t) => {
  let reserved = 0;
  const retryTimes = { reserve: () => (reserved += 1) };
  const scheduler = createScheduler([{}], { retryTimes });
  ['c1', 'c2', 'c3'].forEach((callId) => scheduler.submit(createSpec(callId), 0));
  scheduler.complete('c2', { result: 'unused', tookMs: 0 }, 5);
  t.same(format(scheduler.dropHost('h1', 'i2', 10)), ['c3 no-time'], 'its host has restarted');
  t.equal(reserved, 0);
});

// Guards against calls that wait in vain, and against refusals without a time for the return of the caller.
void tap.default.test('a call that can’t be served is refused at once', async (t) => {
  const scheduler = createScheduler([{}, {}]);
  const excluded = ['u1', 'u2'];
  const [none] = scheduler.submit(createSpec('c1', { excluded }), 0);
  t.match(none, { kind: 'refused', reason: 'no-upstream', retryAfterMs: 500 });
  t.same(format(scheduler.submit(createSpec('c2', { excluded: ['u1'] }), 0)), ['c2 at u2']);
  t.same(format(scheduler.submit(createSpec('c3'), 0)), ['c3 at u1']);
  const calls = Array.from({ length: 40 }, (_, i) => createSpec(`d${i}`, { expiresAt: 600 }));
  const refused = calls
    .flatMap((spec) => scheduler.submit(spec, 0))
    .filter((item) => item.kind === 'refused');
  t.ok(refused.length >= 15 && refused.length < 40, `${refused.length} of 40 are refused`);
  t.ok(
    refused.every(({ retryAfterMs, waitedMs }) => retryAfterMs >= 100 && waitedMs === 0),
    'at once, and with the time after which slots are free',
  );
});

// Guards against calls that are sent to a process that has ended, or that is counted busy with the calls of another.
void tap.default.test('calls follow the list of upstreams', async (t) => {
  const scheduler = createScheduler([{}, {}]);
  scheduler.submit(createSpec('c1', { excluded: ['u2'] }), 0);
  scheduler.submit(createSpec('c2', { excluded: ['u1'] }), 0);
  t.same(format(scheduler.submit(createSpec('c3'), 0)), [], 'both are busy');
  scheduler.setUpstreams([createUpstream('u1'), createUpstream('u2', { processId: 'u2-new' })]);
  t.same(format(scheduler.dispatch(10)), ['c3 at u2'], 'the new process is free');
  scheduler.setUpstreams([createUpstream('u2', { processId: 'u2-new' })]);
  t.same(format(scheduler.submit(createSpec('c4'), 20)), []);
  t.same(format(scheduler.complete('c1', ANSWERED, 30)), [], 'none at one that leaves');
  t.same(format(scheduler.complete('c3', ANSWERED, 60)), ['c4 at u2']);
});

// Guards against a new leader that fills slots a second time which calls of the former one hold.
void tap.default.test('calls that run already hold their slots', async (t) => {
  const scheduler = createScheduler();
  scheduler.registerRunning(createSpec('c0'), 'u1', 400, 0);
  scheduler.registerRunning(createSpec('c0'), 'u1', 400, 0);
  t.equal(scheduler.getSummary(0).running, 1, 'a report that is repeated counts once');
  t.same(format(scheduler.submit(createSpec('c1'), 0)), []);
  t.same(format(scheduler.complete('c0', ANSWERED, 50)), ['c1 at u1']);
});

// Guards against a burst of calls that crashes an upstream which has just started.
void tap.default.test('a cold upstream gets calls at its rate', async (t) => {
  const scheduler = createScheduler([{ slots: 8, coldUntil: 5_000, coldCallsPerS: 2 }]);
  const grant = (count: number, now: number) =>
    Array.from({ length: count }, (_, i) => createSpec(`c${now}-${i}`, { dueAt: now + 300 }))
      .flatMap((spec) => scheduler.submit(spec, now))
      .filter(({ kind }) => kind === 'granted').length;
  t.equal(grant(4, 0), 2);
  t.equal(grant(4, 500), 0);
  t.equal(grant(4, 1_000), 2, 'a second later');
  t.equal(grant(4, 6_000), 4, 'all when it is warm');
});

// Guards against hosts without a leader that keep sending to an upstream with a queue.
void tap.default.test('a small share of a limit is used seldom while calls queue', async (t) => {
  const scheduler = createScheduler([{ slots: 6 }], { getLimitShare: () => 1 / 60 });
  const end = { ...ANSWERED, load: { running: 6, waiting: 2, slots: 6 } };
  t.same(format(scheduler.submit(createSpec('c1'), 0)), ['c1 at u1'], 'the first call is sent');
  scheduler.complete('c1', end, 50);
  t.same(format(scheduler.submit(createSpec('c2', { dueAt: 200 }), 60)), ['c2 no-time']);
  const later = createSpec('c3', { dueAt: 800, expiresAt: 2_000 });
  t.same(format(scheduler.submit(later, 560)), ['c3 at u1'], 'a tenth of the time is its share');
});

// Guards against callers that return together, or before there is capacity.
void tap.default.test('retry times follow from the backlog', async (t) => {
  const reserve = (random: number, backlog: number) =>
    new scheduling.BacklogRetryTimes(() => random).reserve({
      priority: 0,
      cost: 50,
      backlog,
      freeRatePerMs: 2,
      maxMs: 600,
    });
  t.equal(reserve(0.5, 950), 500, 'backlog and call divided by the rate');
  t.equal(Math.round(reserve(0, 950)), 450, 'spread by a tenth');
  t.ok(reserve(0, 0) >= 100, 'never below 100 ms');
  t.equal(reserve(0.5, 9_950), 600, 'never above what the caller waits for');
});
