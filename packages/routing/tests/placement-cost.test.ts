import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** Counts how often engines are looked at, in place of measuring time. */
class CountingLedger extends routing.EngineLedger {
  public tries = 0;

  public override place(
    need: routing.PlacementSpec,
    now: number,
    mayWait = false,
  ): routing.Placement | undefined {
    this.tries += 1;
    return super.place(need, now, mayWait);
  }
}

function createNeed(
  callId: string,
  promptTokens: number,
  answerTokens = 900,
): routing.PlacementSpec {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens,
    answerTokens,
    leftMs: 39_000,
    excluded: [],
    wantsCopy: false,
    ranMs: 0,
  };
}

function createFullLedger(): CountingLedger {
  const ledger = new CountingLedger();
  ledger.setEngines([{ engineId: 'e0', memoryTokens: 20_000, slots: 24, availabilityZone: 'a' }]);
  ledger.place(createNeed('old', 15_000), 0);
  ledger.recordFirstEvent('old', 0);
  ledger.tries = 0;
  return ledger;
}

function queue(
  queued: routing.PlacementQueue,
  need: routing.PlacementSpec,
  endsAt: number,
  dueAt = 5_000,
): void {
  queued.add({ spec: need, dueAt, priority: 1, expiresAt: endsAt });
}

void tap.default.test('hundreds that wait cost no more than one', async (t) => {
  // An engine leaves at a busy moment, and 500 drafts wait for room. Each look at the queue used to try each of them at
  // each engine; at 50 looks a second and 600 engines the leader would do nothing else and answer nobody.
  const ledger = createFullLedger();
  const waiting = new routing.PlacementQueue(ledger);
  for (let i = 0; i < 500; i += 1) {
    queue(waiting, createNeed(`c${i}`, 4_000), 1_000);
  }
  t.same(waiting.dispatch(100), []);
  t.equal(ledger.tries, 1, 'one look at the engines says it for all of them');
  t.equal(waiting.size, 500, 'and all go on waiting');
});

void tap.default.test('smaller ones and those that are over are tried all the same', async (t) => {
  // The first finds no room. A smaller draft fits, a check fits, one that runs already is entered, and one whose wait is
  // over gets its answer.
  const ledger = createFullLedger();
  const waiting = new routing.PlacementQueue(ledger);
  queue(waiting, createNeed('large', 6_000), 1_000, 1_000);
  queue(waiting, createNeed('larger', 7_000), 90, 1_500);
  queue(waiting, createNeed('small', 1_200, 400), 1_000, 2_000);
  queue(waiting, createNeed('check', 800, 10), 1_000, 3_000);
  queue(waiting, { ...createNeed('runs', 6_500), fixedEngineId: 'e0' }, 1_000, 4_000);
  const settled = waiting.dispatch(100);
  const placed = new Map(settled.map(({ queued, placed: at }) => [queued.spec.callId, at]));
  t.ok(placed.get('small'), 'the smaller draft is placed');
  t.ok(placed.get('check'), 'so is the check');
  t.ok(placed.get('runs'), 'what runs is entered');
  t.ok(placed.has('larger') && placed.get('larger') === undefined, 'no wait goes on for ever');
  t.notOk(placed.has('large'), 'the large one waits on');
});

void tap.default.test('one that excludes engines says nothing of the others', async (t) => {
  // It was refused by the only engine with room. Others of its size must still go there.
  const ledger = new CountingLedger();
  ledger.setEngines([{ engineId: 'e0', memoryTokens: 20_000, slots: 24, availabilityZone: 'a' }]);
  const waiting = new routing.PlacementQueue(ledger);
  queue(waiting, { ...createNeed('refused', 4_000), excluded: ['e0'] }, 1_000, 1_000);
  queue(waiting, createNeed('other', 4_000), 1_000, 2_000);
  const [settled] = waiting.dispatch(100);
  t.equal(settled?.queued.spec.callId, 'other');
});

void tap.default.test('a draft without room does not keep a larger check from it', async (t) => {
  // Ten drafts have still to grow. In three seconds there is no room for another one, but a check with a longer prompt is
  // over in one. Measured by one size it would wait for room that it does not need.
  const ledger = new CountingLedger();
  ledger.setEngines([{ engineId: 'e0', memoryTokens: 20_000, slots: 24, availabilityZone: 'a' }]);
  for (let i = 0; i < 10; i += 1) {
    ledger.place({ ...createNeed(`r${i}`, 1_200), fixedEngineId: 'e0' }, 0);
  }
  const waiting = new routing.PlacementQueue(ledger);
  queue(waiting, createNeed('draft', 3_700), 1_000, 1_000);
  queue(waiting, createNeed('check', 4_000, 10), 1_000, 2_000);
  const settled = waiting.dispatch(1);
  t.same(
    settled.map(({ queued }) => queued.spec.callId),
    ['check'],
  );
});
