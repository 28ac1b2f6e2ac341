import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** Counts the accesses to engines instead of measuring time. */
class CountingLedger extends routing.EngineLedger {
  public tries = 0;

  public override place(
    spec: routing.PlacementSpec,
    now: number,
    mayWait = false,
  ): routing.Placement | undefined {
    this.tries += 1;
    return super.place(spec, now, mayWait);
  }
}

function createSpec(
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
  ledger.place(createSpec('old', 15_000), 0);
  ledger.recordFirstEvent('old', 0);
  ledger.tries = 0;
  return ledger;
}

function queue(
  queued: routing.PlacementQueue,
  spec: routing.PlacementSpec,
  expiresAt: number,
  dueAt = 5_000,
): void {
  queued.add({ spec, dueAt, priority: 1, expiresAt });
}

void tap.default.test('hundreds of waiting generations cost no more than one', async (t) => {
  // An engine leaves under heavy load, and 500 long generations wait for capacity. Every dispatch
  // used to try each of them on each engine; at 50 dispatches per second and 600 engines the leader
  // had no time for anything else and answered nobody.
  const ledger = createFullLedger();
  const waiting = new routing.PlacementQueue(ledger);
  for (let i = 0; i < 500; i += 1) {
    queue(waiting, createSpec(`c${i}`, 4_000), 1_000);
  }
  t.same(waiting.dispatch(100), []);
  t.equal(ledger.tries, 1, 'engines are checked once for all of them');
  t.equal(waiting.size, 500, 'and all continue to wait');
});

void tap.default.test(
  'smaller generations and those with an expired wait are still tried',
  async (t) => {
    // The first finds no capacity. A smaller generation fits, a short one fits, one that already runs
    // is added, and one whose wait is over gets its answer.
    const ledger = createFullLedger();
    const waiting = new routing.PlacementQueue(ledger);
    queue(waiting, createSpec('large', 6_000), 1_000, 1_000);
    queue(waiting, createSpec('larger', 7_000), 90, 1_500);
    queue(waiting, createSpec('small', 1_200, 400), 1_000, 2_000);
    queue(waiting, createSpec('short', 800, 10), 1_000, 3_000);
    queue(waiting, { ...createSpec('runs', 6_500), fixedEngineId: 'e0' }, 1_000, 4_000);
    const settled = waiting.dispatch(100);
    const placed = new Map(settled.map(({ queued, placed: at }) => [queued.spec.callId, at]));
    t.ok(placed.get('small'), 'the smaller generation is placed');
    t.ok(placed.get('short'), 'so is the short one');
    t.ok(placed.get('runs'), 'the running one is added');
    t.ok(placed.has('larger') && placed.get('larger') === undefined, 'no wait is endless');
    t.notOk(placed.has('large'), 'the large one continues to wait');
  },
);

void tap.default.test('a generation with excluded engines says nothing about others', async (t) => {
  // It was refused by the only engine with capacity. Others of its size must still be placed there.
  const ledger = new CountingLedger();
  ledger.setEngines([{ engineId: 'e0', memoryTokens: 20_000, slots: 24, availabilityZone: 'a' }]);
  const waiting = new routing.PlacementQueue(ledger);
  queue(waiting, { ...createSpec('refused', 4_000), excluded: ['e0'] }, 1_000, 1_000);
  queue(waiting, createSpec('other', 4_000), 1_000, 2_000);
  const [settled] = waiting.dispatch(100);
  t.equal(settled?.queued.spec.callId, 'other');
});

void tap.default.test(
  'a long generation without capacity does not block a larger short one',
  async (t) => {
    // Ten long generations are still growing. Within three seconds there is no capacity for another
    // one, but a short answer with a longer prompt ends within one second. With a single size for
    // both it would wait for capacity that it does not need.
    const ledger = new CountingLedger();
    ledger.setEngines([{ engineId: 'e0', memoryTokens: 20_000, slots: 24, availabilityZone: 'a' }]);
    for (let i = 0; i < 10; i += 1) {
      ledger.place({ ...createSpec(`r${i}`, 1_200), fixedEngineId: 'e0' }, 0);
    }
    const waiting = new routing.PlacementQueue(ledger);
    queue(waiting, createSpec('long', 3_700), 1_000, 1_000);
    queue(waiting, createSpec('short', 4_000, 10), 1_000, 2_000);
    const settled = waiting.dispatch(1);
    t.same(
      settled.map(({ queued }) => queued.spec.callId),
      ['short'],
    );
  },
);
