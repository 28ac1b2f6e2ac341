import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** The memory of an engine, in tokens, as the engines' sheets state it. */
const MEMORY = 34_000;

function createNeed(
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

/** Engines in the zones that are given, and all others in zone a. */
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

void tap.default.test('a heavy day fills engines evenly and never over the top', async (t) => {
  // Four drafts a second of 3,000 + 900 tokens for ten seconds each on eight engines: more than fits with copies,
  // less than fits without. Runs are spread evenly, copies give way first, and no engine is overfilled, since a
  // preempted draft has its whole prompt read again.
  const ledger = createLedger(8);
  const ends: { at: number; id: string }[] = [];
  const runs = new Map<string, string>();
  const waiting: string[] = [];
  let copies = 0;
  let most = 0;
  for (let n = 0, now = 0; now < 60_000; n += 1, now += 250) {
    ends
      .filter(({ at }) => at <= now)
      .forEach(({ id }) => {
        ledger.release(id, false, now);
        runs.delete(id);
      });
    // What finds no room is tried again for 0.75 s, as the leader does.
    waiting.push(`c${n}`);
    for (let placed = ledger.place(createNeed(waiting[0]!), now); placed !== undefined;) {
      const id = waiting.shift()!;
      runs.set(id, placed.engineId);
      copies += placed.copyAt === undefined ? 0 : 1;
      ends.push({ at: now + 10_500, id });
      placed = waiting[0] === undefined ? undefined : ledger.place(createNeed(waiting[0]), now);
    }
    t.ok(waiting.length <= 3, 'nothing waits longer than its caller can');
    const byEngine = new Map<string, number>();
    runs.forEach((engineId) => byEngine.set(engineId, (byEngine.get(engineId) ?? 0) + 1));
    most = Math.max(most, ...byEngine.values());
  }
  t.ok(most * 3_900 < MEMORY, `at most ${most} drafts at once on one engine`);
  t.ok(copies > 20 && copies < 220, `${copies} of 240 have a copy`);
});

void tap.default.test('a prompt goes where none is being read', async (t) => {
  // Two prompts that are read at once on one engine both come twice as late.
  const ledger = createLedger(2);
  const first = ledger.place(createNeed('c1', { wantsCopy: false }), 0);
  const second = ledger.place(createNeed('c2', { wantsCopy: false }), 1);
  t.not(first?.engineId, second?.engineId);
});

void tap.default.test('what is full, failing or excluded gets nothing', async (t) => {
  const ledger = createLedger(2);
  t.equal(ledger.place(createNeed('c1', { excluded: ['e0'] }), 0)?.engineId, 'e1');
  ledger.release('c1', true, 10);
  t.equal(
    ledger.place(createNeed('c2', { wantsCopy: false }), 20)?.engineId,
    'e0',
    'an engine that just failed comes last',
  );
  const large = { promptTokens: 30_000, answerTokens: 2_000, wantsCopy: false };
  t.equal(ledger.place(createNeed('c3', large), 5_000)?.engineId, 'e1');
  t.equal(ledger.place(createNeed('c4', large), 5_001), undefined, 'no engine has room');
  ledger.release('c3', false, 6_000);
  t.equal(ledger.place(createNeed('c4', large), 30_000)?.engineId, 'e1', 'until one has');
});

void tap.default.test(
  'a generation that is entered where it runs already is never turned away',
  async (t) => {
    // A new owner learns what runs; an engine that is not listed any more still runs it.
    const ledger = createLedger(1);
    const placed = ledger.place(createNeed('c1', { fixedEngineId: 'gone', ranMs: 4_000 }), 0);
    t.equal(placed?.engineId, 'gone');
    t.equal(placed?.copyAt, 'e0');
  },
);

void tap.default.test('a copy is renewed only for what still runs on that engine', async (t) => {
  // An engine leaves, and a host asks who is to keep the copy of a run there. Meanwhile the run ends, or goes on at
  // the engine of its former copy. Entered again it would hold room for its whole time, up to 39 s.
  const ledger = createLedger(3);
  const placed = ledger.place(createNeed('c1'), 0)!;
  const renewed = ledger.reassignBackup('c1', placed.engineId, [], 1_000);
  t.ok(renewed !== undefined && renewed !== placed.engineId, 'another engine keeps it');
  t.equal(
    ledger.reassignBackup('c1', 'e9', [], 1_000),
    undefined,
    'not of a run that is elsewhere',
  );
  ledger.release('c1', false, 2_000);
  t.equal(
    ledger.reassignBackup('c1', placed.engineId, [], 2_000),
    undefined,
    'nor of one that has ended',
  );
  t.equal(ledger.getSummary(2_000).running, 0, 'and nothing is entered by asking');
});

void tap.default.test('every run of a leaving engine is taken over on a busy day', async (t) => {
  // The pool is so full that no copies are kept any more when an engine with three drafts leaves, at two seconds'
  // notice. Each finds another engine, and one that refused for want of room is not asked again.
  const ledger = createLedger(8);
  const runs = Array.from({ length: 52 }, (_, i) => {
    const placed = ledger.place(createNeed(`c${i}`, { leftMs: 8_000 }), i * 300);
    return { callId: `c${i}`, placed };
  });
  const now = runs.length * 300;
  const leaving = runs.filter(({ placed }) => placed?.engineId === 'e0').slice(-3);
  t.ok(ledger.getSummary(now).share > 0.62, 'no copies are kept at this load');
  const holders = leaving.map(({ callId }) => ledger.reassignBackup(callId, 'e0', [], now));
  t.notOk(holders.includes(undefined), 'none is given up');
  t.ok(new Set(holders).size >= 2, 'they do not all run to one engine');
  const second = ledger.reassignBackup(leaving[0]!.callId, 'e0', [holders[0]!], now);
  t.not(second, holders[0], 'another than the one without room');
});

void tap.default.test('what is taken over fills no engine to the brim', async (t) => {
  // Each draft that is squeezed into a full engine has another one preempted, whose prompt is read again.
  const ledger = createLedger(2);
  const large = { promptTokens: 29_000, answerTokens: 400 };
  ledger.place(createNeed('c1', { ...large, fixedEngineId: 'e0' }), 0);
  ledger.place(createNeed('c2', { ...large, fixedEngineId: 'e1' }), 0);
  t.equal(ledger.reassignBackup('c1', 'e0', [], 100), undefined);
});

void tap.default.test(
  'a caller and its stream are kept in one zone while load allows it',
  async (t) => {
    // A zone is cut off: streams that cross its border fall silent, and none of their copies can be reached either.
    // Kept inside the zone they are not touched, and only what the zone's engines cannot hold crosses the border.
    const ledger = createLedger(6, ['a', 'a', 'b', 'b', 'c', 'c']);
    const runs = new Map<string, number>();
    let crossing = 0;
    let awayCopies = 0;
    for (let i = 0; i < 24; i += 1) {
      const availabilityZone = ['a', 'b', 'c'][i % 3]!;
      const near = { a: ['e0', 'e1'], b: ['e2', 'e3'], c: ['e4', 'e5'] }[availabilityZone]!;
      const placed = ledger.place(createNeed(`c${i}`, { availabilityZone }), i * 300)!;
      runs.set(placed.engineId, (runs.get(placed.engineId) ?? 0) + 1);
      crossing += near.includes(placed.engineId) ? 0 : 1;
      awayCopies += placed.copyAt === undefined || near.includes(placed.copyAt) ? 0 : 1;
    }
    t.equal(crossing, 0, 'with even load none crosses');
    t.ok(Math.max(...runs.values()) <= 5, 'the two engines of a zone share its runs');
    t.ok(awayCopies <= 3, `${awayCopies} copies are kept in another zone`);
    const full = createLedger(4, ['a', 'b', 'b', 'b']);
    const placed = Array.from({ length: 12 }, (_, i) => full.place(createNeed(`d${i}`), i * 300));
    const away = placed.filter((item) => item?.engineId !== 'e0').length;
    t.ok(away >= 4, 'a zone with one engine sends what that one cannot hold elsewhere');
  },
);

void tap.default.test(
  'drafts that outlive their estimates are not taken to stop growing',
  async (t) => {
    // Estimates are right at the median and the tail is heavy: of eight drafts on an engine three are three times as long
    // as told. What they fill by now must count, or more is placed there than fits and waits for memory until its
    // caller leaves.
    const ledger = createLedger(1);
    for (let i = 0; i < 7; i += 1) {
      ledger.place(createNeed(`c${i}`, { answerTokens: 400, wantsCopy: false }), 0);
    }
    [0, 1, 2, 3].forEach((i) => ledger.release(`c${i}`, false, 6_000));
    const now = 24_000;
    const held = ledger.getSummary(now).share * MEMORY;
    t.ok(held > 3 * (3_000 + 24 * 80), `${Math.round(held)} tokens are held`);
  },
);

void tap.default.test('a draft beyond its estimate is given room to go on', async (t) => {
  // Most drafts that have outlived their estimate are not at their end; without room for what comes next the engine
  // is full when it comes.
  const ledger = createLedger(1);
  ledger.place(createNeed('c1', { answerTokens: 400, wantsCopy: false }), 0);
  const getHeld = (now: number) => ledger.getSummary(now).share * MEMORY;
  const madeTokens = 85 * 10;
  t.ok(
    getHeld(10_000) > 3_000 + madeTokens + 100,
    `${Math.round(getHeld(10_000))} tokens are held`,
  );
  t.ok(getHeld(20_000) > getHeld(10_000), 'and more the longer it runs');
});

void tap.default.test('runs of one leaving engine are taken over by several', async (t) => {
  // All of them come at the moment when their engine is gone. At one engine each waits until what the others made since
  // their copies is read, and their streams pause; another engine that is a little fuller goes on at once.
  const ledger = createLedger(4);
  const enter = (callId: string, engineId: string, promptTokens: number) =>
    ledger.place(
      createNeed(callId, { fixedEngineId: engineId, promptTokens, wantsCopy: false }),
      0,
    );
  enter('c1', 'e0', 3_000);
  enter('c2', 'e0', 3_000);
  enter('c3', 'e2', 3_200);
  enter('c4', 'e3', 3_200);
  const first = ledger.reassignBackup('c1', 'e0', [], 0);
  const second = ledger.reassignBackup('c2', 'e0', [], 0);
  t.equal(first, 'e1', 'the emptiest takes the first');
  t.not(second, 'e1', 'and another the second');
});

void tap.default.test('an engine that started again holds nothing of before', async (t) => {
  // It crashed and came back under its name. Its former runs and copies are gone; counted on, they would keep an empty
  // engine idle, and a run whose copy it had would be taken for safe when its own engine leaves.
  const ledger = new routing.EngineLedger();
  const list = (bornMs: number | undefined) => [
    { engineId: 'e0', bornMs, memoryTokens: MEMORY, slots: 24, availabilityZone: 'a' },
    { engineId: 'e1', bornMs: 1, memoryTokens: MEMORY, slots: 24, availabilityZone: 'a' },
  ];
  ledger.setEngines(list(1_000));
  ledger.place(createNeed('there', { fixedEngineId: 'e0', wantsCopy: false }), 0);
  ledger.place(createNeed('copied', { fixedEngineId: 'e1', wantsCopy: true }), 0);
  ledger.release('failed', true, 0);
  t.ok(ledger.hasBackup('copied'));
  ledger.setEngines(list(1_000));
  t.equal(ledger.getSummary(0).running, 2, 'the same start changes nothing');
  t.ok(ledger.hasBackup('copied'));
  ledger.setEngines(list(2_000));
  t.equal(ledger.getSummary(0).running, 1, 'its runs are gone');
  t.notOk(ledger.hasBackup('copied'), 'and the copies that it had');
  t.equal(ledger.place(createNeed('next', { wantsCopy: false }), 0)?.engineId, 'e0');
});

void tap.default.test('a short answer finds room where a draft does not', async (t) => {
  // Nine drafts run on each of two engines, and the growth that they have still to come fills them. A check is over in a
  // second, before they have grown. Sent to the one engine that is empty, it would queue with every other prompt there.
  const ledger = createLedger(2);
  let n = 0;
  while (ledger.place(createNeed(`c${n}`, { wantsCopy: false }), 0) !== undefined) {
    ledger.recordFirstEvent(`c${n}`, 0);
    n += 1;
  }
  const check = { promptTokens: 2_200, answerTokens: 13, wantsCopy: false };
  t.ok(ledger.place(createNeed('check', check), 0), 'the check is placed');
  t.equal(
    ledger.place(createNeed('draft', { promptTokens: 2_200, wantsCopy: false }), 0),
    undefined,
  );
});
