import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/**
 * Memory of an engine in tokens, and its prefill rate in tokens per millisecond while other
 * generations run.
 */
const MEMORY = 34_000;
const PREFILL_TOKENS_PER_MS = 7;

/** Time within which the first event of a long generation is due, in milliseconds. */
const FIRST_EVENT_TARGET_MS = 1_800;

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
    wantsCopy: false,
    ranMs: 0,
    ...more,
  };
}

function listEngines(...engineIds: string[]): routing.LedgerEngine[] {
  return engineIds.map((engineId) => ({
    engineId,
    memoryTokens: MEMORY,
    slots: 24,
    availabilityZone: 'a',
  }));
}

/** Engines that run prefills in order of arrival, and record the time of each first event. */
class PrefillEngines {
  public readonly firstAt = new Map<string, number>();
  private readonly freeAt = new Map<string, number>();

  public send({ engineId }: routing.Placement, spec: routing.PlacementSpec, now: number): void {
    const from = Math.max(now, this.freeAt.get(engineId) ?? 0);
    const at = from + spec.promptTokens / PREFILL_TOKENS_PER_MS;
    this.freeAt.set(engineId, at);
    this.firstAt.set(spec.callId, at);
  }
}

void tap.default.test('a thundering herd of prompts does not overload a new engine', async (t) => {
  // Two engines are nearly full when an empty one joins. Within the next second eight long
  // generations arrive. If they were bound to an engine on arrival, all eight would go to the
  // empty one, and the last first event would be 1.6 s late. They wait at the leader instead, and
  // those for which capacity becomes free elsewhere go there.
  const ledger = new routing.EngineLedger();
  ledger.setEngines(listEngines('full-1', 'full-2'));
  const running: string[] = [];
  for (let n = 0; n < 20; n += 1) {
    const spec = createSpec(`r${n}`);
    if (ledger.place(spec, 0) !== undefined) {
      ledger.recordFirstEvent(spec.callId, 0);
      running.push(spec.callId);
    }
  }
  t.equal(ledger.place(createSpec('more'), 0), undefined, 'both are full');
  ledger.setEngines(listEngines('full-1', 'full-2', 'new'));
  const queue = new routing.PlacementQueue(ledger);
  const engines = new PrefillEngines();
  const dueAt = new Map<string, number>();
  const at = new Map<string, string>();
  for (let now = 5; now < 4_000; now += 5) {
    if (now % 125 === 0 || now === 5) {
      const spec = createSpec(`c${dueAt.size}`);
      if (dueAt.size < 8) {
        dueAt.set(spec.callId, now + FIRST_EVENT_TARGET_MS);
        queue.add({
          spec,
          dueAt: now + FIRST_EVENT_TARGET_MS,
          priority: 0,
          expiresAt: now + 0.4 * FIRST_EVENT_TARGET_MS,
        });
      }
    }
    // After a while three runs end per second.
    if (now >= 600 && now % 300 === 0) {
      ledger.release(running.shift()!, false, now);
    }
    queue.dispatch(now).forEach(({ placed, queued }) => {
      t.ok(placed, 'none is refused');
      engines.send(placed!, queued.spec, now);
      at.set(queued.spec.callId, placed!.engineId);
    });
    engines.firstAt.forEach((firstAt, callId) => {
      if (firstAt <= now && at.has(callId)) {
        ledger.recordFirstEvent(callId, firstAt);
      }
    });
  }
  t.equal(engines.firstAt.size, 8);
  const late = [...engines.firstAt].filter(([callId, firstAt]) => firstAt > dueAt.get(callId)!);
  t.equal(late.length, 0, 'every first event is on time');
  t.ok(new Set(at.values()).size > 1, 'and not all of them on the new engine');
});

void tap.default.test('the generation that is due first is placed first', async (t) => {
  const ledger = new routing.EngineLedger();
  const queue = new routing.PlacementQueue(ledger);
  const add = (
    callId: string,
    dueAt: number,
    more: Partial<routing.PlacementSpec> = {},
    priority = 1,
  ) => queue.add({ spec: createSpec(callId, more), dueAt, priority, expiresAt: 5_000 });
  add('late', 300);
  add('late, high priority', 350, {}, 0);
  add('later', 2_500);
  add('long', 2_000, { promptTokens: 6_000 });
  add('short', 2_000, { promptTokens: 1_000 });
  t.equal(queue.dispatch(900).length, 0, 'there is no engine');
  ledger.setEngines(listEngines('e1', 'e2', 'e3', 'e4', 'e5'));
  const order = queue.dispatch(1_000).map(({ queued }) => queued.spec.callId);
  t.same(
    order,
    ['long', 'short', 'later', 'late, high priority', 'late'],
    'one that is already late delays nobody',
  );
});

void tap.default.test(
  'a generation that cannot be placed is settled when its wait is over',
  async (t) => {
    const queue = new routing.PlacementQueue(new routing.EngineLedger());
    queue.add({ spec: createSpec('c1'), dueAt: 1_800, priority: 0, expiresAt: 700 });
    t.equal(queue.dispatch(699).length, 0);
    t.same(
      queue.dispatch(700).map(({ placed }) => placed),
      [undefined],
    );
    t.equal(queue.size, 0);
  },
);

void tap.default.test('a late placement is preferred to a refusal', async (t) => {
  // The prefill backlog of the only engine is above its limit. The engine has memory, so the call
  // is served late; if refused, it would come back even later.
  const ledger = new routing.EngineLedger();
  ledger.setEngines(listEngines('e1'));
  const queue = new routing.PlacementQueue(ledger);
  ['c1', 'c2', 'c3'].forEach((callId) => {
    queue.add({ spec: createSpec(callId), dueAt: 1_800, priority: 0, expiresAt: 200 });
  });
  t.equal(queue.dispatch(0).length, 1, 'the others wait');
  const settled = queue.dispatch(200);
  t.same(
    settled.map(({ placed }) => placed?.engineId),
    ['e1', 'e1'],
  );
});
