import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** Memory of an engine in tokens, as stated by the engines' data sheets. */
const MEMORY = 34_000;

function createSpec(
  callId: string,
  more: Partial<routing.PlacementSpec> = {},
): routing.PlacementSpec {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens: 3_000,
    answerTokens: 900,
    leftMs: 39_000,
    excluded: [],
    wantsCopy: true,
    ranMs: 0,
    ...more,
  };
}

/** Creates engines in the given zones; the remaining ones are in zone a. */
function createLedger(count: number, zones: readonly string[] = []): routing.EngineLedger {
  const ledger = new routing.EngineLedger();
  ledger.setEngines(
    Array.from({ length: count }, (_, i) => ({
      engineId: `e${i}`,
      memoryTokens: MEMORY,
      slots: 24,
      availabilityZone: zones[i] ?? 'a',
    })),
  );
  return ledger;
}

void tap.default.test('heavy load fills engines evenly and never beyond the limit', async (t) => {
  // Four long generations per second of 3,000 + 900 tokens, for ten seconds each, on eight engines:
  // more than fits with backups, less than fits without. Runs are spread evenly, backups are given
  // up first, and no engine is overfilled, because a preempted generation repeats its whole
  // prefill.
  const ledger = createLedger(8);
  const ends: { at: number; id: string }[] = [];
  const runs = new Map<string, string>();
  const waiting: string[] = [];
  let backups = 0;
  let most = 0;
  for (let n = 0, now = 0; now < 60_000; n += 1, now += 250) {
    ends
      .filter(({ at }) => at <= now)
      .forEach(({ id }) => {
        ledger.release(id, false, now);
        runs.delete(id);
      });
    // A generation that finds no capacity is retried for 0.75 s, as by the leader.
    waiting.push(`c${n}`);
    for (let placed = ledger.place(createSpec(waiting[0]!), now); placed !== undefined;) {
      const id = waiting.shift()!;
      runs.set(id, placed.engineId);
      backups += placed.copyAt === undefined ? 0 : 1;
      ends.push({ at: now + 10_500, id });
      placed = waiting[0] === undefined ? undefined : ledger.place(createSpec(waiting[0]), now);
    }
    t.ok(waiting.length <= 3, 'nothing waits longer than its caller');
    const byEngine = new Map<string, number>();
    runs.forEach((engineId) => byEngine.set(engineId, (byEngine.get(engineId) ?? 0) + 1));
    most = Math.max(most, ...byEngine.values());
  }
  t.ok(most * 3_900 < MEMORY, `at most ${most} long generations at once on one engine`);
  t.ok(backups > 20 && backups < 220, `${backups} of 240 have a backup`);
});

void tap.default.test('a prompt goes to an engine without a prefill in progress', async (t) => {
  // Two concurrent prefills on one engine both take twice as long.
  const ledger = createLedger(2);
  const first = ledger.place(createSpec('c1', { wantsCopy: false }), 0);
  const second = ledger.place(createSpec('c2', { wantsCopy: false }), 1);
  t.not(first?.engineId, second?.engineId);
});

void tap.default.test('full, failing and excluded engines get nothing', async (t) => {
  const ledger = createLedger(2);
  t.equal(ledger.place(createSpec('c1', { excluded: ['e0'] }), 0)?.engineId, 'e1');
  ledger.release('c1', true, 10);
  t.equal(
    ledger.place(createSpec('c2', { wantsCopy: false }), 20)?.engineId,
    'e0',
    'an engine that just failed comes last',
  );
  const large = { promptTokens: 30_000, answerTokens: 2_000, wantsCopy: false };
  t.equal(ledger.place(createSpec('c3', large), 5_000)?.engineId, 'e1');
  t.equal(ledger.place(createSpec('c4', large), 5_001), undefined, 'no engine has capacity');
  ledger.release('c3', false, 6_000);
  t.equal(ledger.place(createSpec('c4', large), 30_000)?.engineId, 'e1', 'until one has capacity');
});

void tap.default.test('a generation reported on its engine is never refused', async (t) => {
  // A new owner receives the running generations; an engine that is no longer listed still runs
  // its own.
  const ledger = createLedger(1);
  const placed = ledger.place(createSpec('c1', { fixedEngineId: 'gone', ranMs: 4_000 }), 0);
  t.equal(placed?.engineId, 'gone');
  t.equal(placed?.copyAt, 'e0');
});

void tap.default.test(
  'a backup is reassigned only for a run that is still on that engine',
  async (t) => {
    // An engine leaves, and a host requests another backup engine for a run there. Meanwhile the run
    // ends, or resumes on its former backup engine. If it were added again, it would use capacity for
    // its maximum time, up to 39 s.
    const ledger = createLedger(3);
    const placed = ledger.place(createSpec('c1'), 0)!;
    const backupEngineId = ledger.reassignBackup('c1', placed.engineId, [], 1_000);
    t.ok(
      backupEngineId !== undefined && backupEngineId !== placed.engineId,
      'another engine is selected',
    );
    t.equal(
      ledger.reassignBackup('c1', 'e9', [], 1_000),
      undefined,
      'not for a run on another engine',
    );
    ledger.release('c1', false, 2_000);
    t.equal(
      ledger.reassignBackup('c1', placed.engineId, [], 2_000),
      undefined,
      'nor for one that has ended',
    );
    t.equal(ledger.getSummary(2_000).running, 0, 'and the request adds nothing');
  },
);

void tap.default.test('every run of a leaving engine gets a target under heavy load', async (t) => {
  // The pool is so full that no backups are kept when an engine with three long generations leaves,
  // at two seconds' notice. Each gets a target engine, and an engine that refused for lack of
  // capacity is not selected again.
  const ledger = createLedger(8);
  const runs = Array.from({ length: 52 }, (_, i) => {
    const placed = ledger.place(createSpec(`c${i}`, { leftMs: 8_000 }), i * 300);
    return { callId: `c${i}`, placed };
  });
  const now = runs.length * 300;
  const leaving = runs.filter(({ placed }) => placed?.engineId === 'e0').slice(-3);
  t.ok(ledger.getSummary(now).share > 0.62, 'no backups are kept at this load');
  const targets = leaving.map(({ callId }) => ledger.reassignBackup(callId, 'e0', [], now));
  t.notOk(targets.includes(undefined), 'none is left without a target');
  t.ok(new Set(targets).size >= 2, 'they do not all migrate to one engine');
  const second = ledger.reassignBackup(leaving[0]!.callId, 'e0', [targets[0]!], now);
  t.not(second, targets[0], 'not the engine without capacity');
});

void tap.default.test('migrations do not fill an engine beyond the placement limit', async (t) => {
  // Each long generation placed on a full engine preempts another one, whose prefill is then
  // repeated.
  const ledger = createLedger(2);
  const large = { promptTokens: 29_000, answerTokens: 400 };
  ledger.place(createSpec('c1', { ...large, fixedEngineId: 'e0' }), 0);
  ledger.place(createSpec('c2', { ...large, fixedEngineId: 'e1' }), 0);
  t.equal(ledger.reassignBackup('c1', 'e0', [], 100), undefined);
});

void tap.default.test(
  'a caller and its stream stay in one zone while load allows it',
  async (t) => {
    // A zone is cut off: streams across its border stop, and their backups are unreachable too.
    // Streams and backups inside the zone are not affected, so only what the zone's engines cannot
    // hold crosses the border.
    const ledger = createLedger(6, ['a', 'a', 'b', 'b', 'c', 'c']);
    const runs = new Map<string, number>();
    let crossing = 0;
    let remoteBackups = 0;
    for (let i = 0; i < 24; i += 1) {
      const availabilityZone = ['a', 'b', 'c'][i % 3]!;
      const sameZone = { a: ['e0', 'e1'], b: ['e2', 'e3'], c: ['e4', 'e5'] }[availabilityZone]!;
      const placed = ledger.place(createSpec(`c${i}`, { availabilityZone }), i * 300)!;
      runs.set(placed.engineId, (runs.get(placed.engineId) ?? 0) + 1);
      crossing += sameZone.includes(placed.engineId) ? 0 : 1;
      remoteBackups += placed.copyAt === undefined || sameZone.includes(placed.copyAt) ? 0 : 1;
    }
    t.equal(crossing, 0, 'with even load none crosses zones');
    t.ok(Math.max(...runs.values()) <= 5, 'the two engines of a zone share its runs');
    t.ok(remoteBackups <= 3, `${remoteBackups} backups are kept in another zone`);
    const full = createLedger(4, ['a', 'b', 'b', 'b']);
    const placed = Array.from({ length: 12 }, (_, i) => full.place(createSpec(`d${i}`), i * 300));
    const remote = placed.filter((item) => item?.engineId !== 'e0').length;
    t.ok(remote >= 4, 'a zone with one engine sends to other zones what that one cannot hold');
  },
);

void tap.default.test(
  'generations beyond their estimates are expected to keep growing',
  async (t) => {
    // Estimates are right at the median and the tail is heavy: of eight long generations on an
    // engine, three are three times as long as estimated. Their current memory must count;
    // otherwise more is placed there than fits and waits for memory until its caller disconnects.
    const ledger = createLedger(1);
    for (let i = 0; i < 7; i += 1) {
      ledger.place(createSpec(`c${i}`, { answerTokens: 400, wantsCopy: false }), 0);
    }
    [0, 1, 2, 3].forEach((i) => ledger.release(`c${i}`, false, 6_000));
    const now = 24_000;
    const usedTokens = ledger.getSummary(now).share * MEMORY;
    t.ok(usedTokens > 3 * (3_000 + 24 * 80), `${Math.round(usedTokens)} tokens are used`);
  },
);

void tap.default.test('capacity is reserved for a generation beyond its estimate', async (t) => {
  // Most long generations beyond their estimate are not near their end. Without capacity reserved
  // for their further growth the engine overflows.
  const ledger = createLedger(1);
  ledger.place(createSpec('c1', { answerTokens: 400, wantsCopy: false }), 0);
  const getUsedTokens = (now: number) => ledger.getSummary(now).share * MEMORY;
  const producedTokens = 85 * 10;
  t.ok(
    getUsedTokens(10_000) > 3_000 + producedTokens + 100,
    `${Math.round(getUsedTokens(10_000))} tokens are used`,
  );
  t.ok(getUsedTokens(20_000) > getUsedTokens(10_000), 'and more the longer it runs');
});

void tap.default.test('runs of one leaving engine migrate to several engines', async (t) => {
  // All runs arrive when their engine is gone. On a single target each waits for the prefill of
  // what the others produced since their backups, and its stream pauses; another engine that is
  // slightly fuller continues immediately.
  const ledger = createLedger(4);
  const add = (callId: string, engineId: string, promptTokens: number) =>
    ledger.place(
      createSpec(callId, { fixedEngineId: engineId, promptTokens, wantsCopy: false }),
      0,
    );
  add('c1', 'e0', 3_000);
  add('c2', 'e0', 3_000);
  add('c3', 'e2', 3_200);
  add('c4', 'e3', 3_200);
  const first = ledger.reassignBackup('c1', 'e0', [], 0);
  const second = ledger.reassignBackup('c2', 'e0', [], 0);
  t.equal(first, 'e1', 'the emptiest is the target of the first');
  t.not(second, 'e1', 'and another one of the second');
});

void tap.default.test('a restarted engine has none of its former runs and backups', async (t) => {
  // The engine crashed and restarted under its name. Its former runs and backups are gone; if they
  // still counted, an empty engine would stay idle, and a run with its backup there would be
  // considered safe when its own engine leaves.
  const ledger = new routing.EngineLedger();
  const list = (bornMs: number | undefined) => [
    { engineId: 'e0', bornMs, memoryTokens: MEMORY, slots: 24, availabilityZone: 'a' },
    { engineId: 'e1', bornMs: 1, memoryTokens: MEMORY, slots: 24, availabilityZone: 'a' },
  ];
  ledger.setEngines(list(1_000));
  ledger.place(createSpec('there', { fixedEngineId: 'e0', wantsCopy: false }), 0);
  ledger.place(createSpec('backed-up', { fixedEngineId: 'e1', wantsCopy: true }), 0);
  ledger.release('failed', true, 0);
  t.ok(ledger.hasBackup('backed-up'));
  ledger.setEngines(list(1_000));
  t.equal(ledger.getSummary(0).running, 2, 'the same start time changes nothing');
  t.ok(ledger.hasBackup('backed-up'));
  ledger.setEngines(list(2_000));
  t.equal(ledger.getSummary(0).running, 1, 'its runs are gone');
  t.notOk(ledger.hasBackup('backed-up'), 'and so are its backups');
  t.equal(ledger.place(createSpec('next', { wantsCopy: false }), 0)?.engineId, 'e0');
});

void tap.default.test(
  'a short answer finds capacity where a long generation does not',
  async (t) => {
    // Nine long generations run on each of two engines, and their further growth will fill them. A
    // short answer ends within a second, before they have grown. On the one empty engine it would
    // queue with all other prompts.
    const ledger = createLedger(2);
    let n = 0;
    while (ledger.place(createSpec(`c${n}`, { wantsCopy: false }), 0) !== undefined) {
      ledger.recordFirstEvent(`c${n}`, 0);
      n += 1;
    }
    const shortAnswer = { promptTokens: 2_200, answerTokens: 13, wantsCopy: false };
    t.ok(ledger.place(createSpec('short', shortAnswer), 0), 'the short one is placed');
    t.equal(
      ledger.place(createSpec('long', { promptTokens: 2_200, wantsCopy: false }), 0),
      undefined,
    );
  },
);
