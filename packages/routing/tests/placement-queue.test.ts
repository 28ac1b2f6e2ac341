import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** The memory of an engine, in tokens, and how many prompt tokens it reads in a millisecond beside its running work. */
const MEMORY = 34_000;
const READS_PER_MS = 7;

/** Within which the first event of a draft is due, in milliseconds. */
const AIM_MS = 1_800;

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

/** Engines that read prompts in the order in which they get them; knows when each first event comes. */
class ReadingEngines {
  public readonly firstAt = new Map<string, number>();
  private readonly freeAt = new Map<string, number>();

  public send({ engineId }: routing.Placement, need: routing.PlacementSpec, now: number): void {
    const from = Math.max(now, this.freeAt.get(engineId) ?? 0);
    const at = from + need.promptTokens / READS_PER_MS;
    this.freeAt.set(engineId, at);
    this.firstAt.set(need.callId, at);
  }
}

void tap.default.test(
  'a herd of prompts does not bury the engine that has just joined',
  async (t) => {
    // Two engines are nearly full when an empty one joins. In the next second eight drafts come. Bound to an engine as
    // they come, all eight run to the empty one, and the last first event is 1.6 s behind its due time. They wait
    // at the leader instead, and those for which runs end elsewhere go there.
    const ledger = new routing.EngineLedger();
    ledger.setEngines(listEngines('full-1', 'full-2'));
    const running: string[] = [];
    for (let n = 0; n < 20; n += 1) {
      const need = createNeed(`r${n}`);
      if (ledger.place(need, 0) !== undefined) {
        ledger.recordFirstEvent(need.callId, 0);
        running.push(need.callId);
      }
    }
    t.equal(ledger.place(createNeed('more'), 0), undefined, 'both are full');
    ledger.setEngines(listEngines('full-1', 'full-2', 'new'));
    const queue = new routing.PlacementQueue(ledger);
    const engines = new ReadingEngines();
    const dueAt = new Map<string, number>();
    const at = new Map<string, string>();
    for (let now = 5; now < 4_000; now += 5) {
      if (now % 125 === 0 || now === 5) {
        const need = createNeed(`c${dueAt.size}`);
        if (dueAt.size < 8) {
          dueAt.set(need.callId, now + AIM_MS);
          queue.add({
            spec: need,
            dueAt: now + AIM_MS,
            priority: 0,
            expiresAt: now + 0.4 * AIM_MS,
          });
        }
      }
      // After a while runs end, three a second.
      if (now >= 600 && now % 300 === 0) {
        ledger.release(running.shift()!, false, now);
      }
      queue.dispatch(now).forEach(({ placed, queued }) => {
        t.ok(placed, 'nobody is refused');
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
    t.ok(new Set(at.values()).size > 1, 'and not all of them at the new engine');
  },
);

void tap.default.test('who is due first is placed first', async (t) => {
  const ledger = new routing.EngineLedger();
  const queue = new routing.PlacementQueue(ledger);
  const add = (
    callId: string,
    dueAt: number,
    more: Partial<routing.PlacementSpec> = {},
    rank = 1,
  ) => queue.add({ spec: createNeed(callId, more), dueAt, priority: rank, expiresAt: 5_000 });
  add('late', 300);
  add('late, high rank', 350, {}, 0);
  add('later', 2_500);
  add('long', 2_000, { promptTokens: 6_000 });
  add('short', 2_000, { promptTokens: 1_000 });
  t.equal(queue.dispatch(900).length, 0, 'no engine is there');
  ledger.setEngines(listEngines('e1', 'e2', 'e3', 'e4', 'e5'));
  const order = queue.dispatch(1_000).map(({ queued }) => queued.spec.callId);
  t.same(
    order,
    ['long', 'short', 'later', 'late, high rank', 'late'],
    'one that is late anyway delays nobody',
  );
});

void tap.default.test('who cannot be placed is told when its wait is over', async (t) => {
  const queue = new routing.PlacementQueue(new routing.EngineLedger());
  queue.add({ spec: createNeed('c1'), dueAt: 1_800, priority: 0, expiresAt: 700 });
  t.equal(queue.dispatch(699).length, 0);
  t.same(
    queue.dispatch(700).map(({ placed }) => placed),
    [undefined],
  );
  t.equal(queue.size, 0);
});

void tap.default.test('rather late than refused', async (t) => {
  // Prompts queue at the only engine beyond what is waited for. It has memory, so the call is served late; refused it
  // would come back later still.
  const ledger = new routing.EngineLedger();
  ledger.setEngines(listEngines('e1'));
  const queue = new routing.PlacementQueue(ledger);
  ['c1', 'c2', 'c3'].forEach((callId) => {
    queue.add({ spec: createNeed(callId), dueAt: 1_800, priority: 0, expiresAt: 200 });
  });
  t.equal(queue.dispatch(0).length, 1, 'the others wait');
  const settled = queue.dispatch(200);
  t.same(
    settled.map(({ placed }) => placed?.engineId),
    ['e1', 'e1'],
  );
});
