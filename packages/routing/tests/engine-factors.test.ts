import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

const GAP_TARGET_MS = 180;

/** Prefill time of a prompt of 2,100 tokens on a usual engine, and the longest gap beside one. */
const PREFILL_MS = 300;
const USUAL_GAP_MS = 64;

/** A pool of engines whose factors the test sets, and calls on it one after the other. */
class TaughtPool {
  public readonly ledger = new routing.EngineLedger();
  public now = 0;
  private bornMs = 1;
  private calls = 0;

  public constructor(private readonly factors: Readonly<Record<string, number>>) {
    this.listEngines();
    this.stateSlowdowns(2.5);
  }

  /** Lists the engines; those that have restarted have a later start. */
  public listEngines(restarted: readonly string[] = []): void {
    this.bornMs += 1;
    this.ledger.setEngines(
      Object.keys(this.factors).map((engineId) => ({
        engineId,
        bornMs: restarted.includes(engineId) ? this.bornMs : 1,
        memoryTokens: 34_000,
        slots: 24,
        availabilityZone: 'a',
      })),
    );
  }

  /** States a slowdown for each engine, beside the usual one. */
  public stateSlowdowns(slowdown: number): void {
    [1, slowdown].forEach((stated) =>
      Object.keys(this.factors).forEach((engineId) =>
        this.ledger.applySlowdown(engineId, stated, this.now),
      ),
    );
  }

  /** Runs some generations on an engine, whose first events and reports tell its speed. */
  public teach(engineId: string, count: number): void {
    const others = Object.keys(this.factors).filter((other) => other !== engineId);
    const factor = this.factors[engineId]!;
    for (let n = 0; n < count; n += 1) {
      this.now += 500;
      const { callId } = this.place({ excluded: others }, false);
      this.now += PREFILL_MS * factor;
      this.ledger.recordFirstEvent(callId, this.now);
      this.now += 500;
      const stream = { msPerEvent: 30 * factor, events: 16, longestGapMs: USUAL_GAP_MS * factor };
      this.ledger.recordStream(callId, engineId, stream, this.now);
      this.ledger.release(callId, false, this.now);
    }
  }

  /** Places a long generation, if any engine takes one. */
  public place(more: Partial<routing.PlacementSpec>, mayWait: boolean) {
    this.calls += 1;
    const callId = `c${this.calls}`;
    const spec = {
      callId,
      availabilityZone: 'a',
      promptTokens: 2_100,
      answerTokens: 700,
      leftMs: 39_000,
      excluded: [],
      gapTargetMs: GAP_TARGET_MS,
      wantsCopy: false,
      ranMs: 0,
      ...more,
    };
    return { callId, engineId: this.ledger.place(spec, this.now, mayWait)?.engineId };
  }
}

function createTaught(factors: Readonly<Record<string, number>>): TaughtPool {
  const pool = new TaughtPool(factors);
  Object.keys(factors).forEach((engineId) => pool.teach(engineId, 12));
  pool.now += 1_000;
  // No engine is slowed now, but interference of 2.5 was seen in the pool within the last seconds.
  pool.stateSlowdowns(2.5);
  pool.stateSlowdowns(1);
  return pool;
}

void tap.default.test(
  'long generations go where no gap beyond the target is expected',
  async (t) => {
    const pool = createTaught({ slow: 1.3, usual: 1 });
    const placed = Array.from({ length: 4 }, () => pool.place({}, false).engineId);
    t.same(placed, Array(4).fill('usual'), 'beside four prompts on the other one');
    t.equal(
      pool.place({ gapTargetMs: 300 }, false).engineId,
      'slow',
      'with a wider target it is used',
    );
    t.equal(pool.place({ gapTargetMs: undefined }, false).engineId, 'slow', 'and without one');
    t.equal(pool.place({ answerTokens: 8 }, false).engineId, 'slow', 'and for short answers');
    t.equal(
      pool.place({ excluded: ['usual'] }, false).engineId,
      'slow',
      'and where nothing else is left',
    );
  },
);

void tap.default.test(
  'prompts avoid streams that would have a gap beyond their target',
  async (t) => {
    // Guards against a prompt that makes the running streams of a slowed engine late.
    const pool = createTaught({ slow: 1.3, usual: 1 });
    for (let n = 0; n < 4; n += 1) {
      const { callId } = pool.place({ excluded: ['usual'] }, false);
      pool.ledger.recordFirstEvent(callId, pool.now);
    }
    for (let n = 0; n < 5; n += 1) {
      const { callId } = pool.place({ excluded: ['slow'] }, false);
      pool.ledger.recordFirstEvent(callId, pool.now);
    }
    t.equal(pool.place({ answerTokens: 8 }, false).engineId, 'slow', 'while it is not slowed');
    pool.now += 2_000;
    pool.ledger.applySlowdown('slow', 2.5, pool.now);
    t.equal(pool.place({ answerTokens: 8 }, false).engineId, 'usual', 'it is slowed');
  },
);

void tap.default.test('an engine restarted under its id starts without a factor', async (t) => {
  // Guards against a factor that outlives the machine it was measured on.
  const pool = createTaught({ former: 1.3, usual: 1 });
  t.equal(pool.place({}, false).engineId, 'usual');
  pool.listEngines(['former']);
  pool.now += 100;
  t.equal(pool.place({}, false).engineId, 'former', 'it is empty and counts as the mean');
});

void tap.default.test(
  'an engine of unknown factor gets one long generation while factors differ',
  async (t) => {
    // Guards against a pool that fills a slow engine before its first prompt tells that it is slow.
    const pool = createTaught({ slow: 1.3, usual: 1, fresh: 1.3 });
    pool.listEngines(['fresh']);
    const others = { excluded: ['slow', 'usual'] };
    const first = pool.place(others, true);
    t.equal(first.engineId, 'fresh');
    pool.ledger.recordFirstEvent('another call', pool.now);
    t.equal(pool.place(others, true).engineId, undefined, 'a second one waits for another engine');
    t.equal(pool.place({ ...others, answerTokens: 8 }, false).engineId, 'fresh');
    t.equal(pool.place(others, false).engineId, 'fresh', 'unless its wait is over');
  },
);

void tap.default.test('without uneven factors an unknown engine is like the others', async (t) => {
  const pool = createTaught({ one: 1, two: 1, fresh: 1 });
  pool.listEngines(['fresh']);
  const others = { excluded: ['one', 'two'] };
  const placed = [1, 2].map(() => {
    const { callId, engineId } = pool.place(others, true);
    pool.now += 250;
    pool.ledger.recordFirstEvent(callId, pool.now - 200);
    return engineId;
  });
  t.same(placed, ['fresh', 'fresh']);
});

void tap.default.test('a new leader that knows no factor uses all engines', async (t) => {
  // Guards against a new leader that avoids engines before it has learned anything.
  const pool = new TaughtPool({ e0: 1.3, e1: 1, e2: 1 });
  const placed = [1, 2, 3, 4, 5, 6].map(() => pool.place({}, false).engineId);
  t.same([...placed].sort(), ['e0', 'e0', 'e1', 'e1', 'e2', 'e2']);
});

void tap.default.test('reports of unknown runs and of former engines change nothing', async (t) => {
  // Guards against late reports: a run that has ended, or that has moved to another engine meanwhile.
  const pool = createTaught({ slow: 1.3, usual: 1 });
  const { callId } = pool.place({ excluded: ['slow'] }, false);
  pool.ledger.recordFirstEvent(callId, pool.now);
  for (let n = 0; n < 50; n += 1) {
    const stream = { msPerEvent: 90, events: 100, longestGapMs: 900 };
    pool.ledger.recordStream('none', 'usual', stream, pool.now + 5_000);
    pool.ledger.recordStream(callId, 'slow', stream, pool.now + 5_000);
  }
  t.equal(pool.place({}, false).engineId, 'usual');
});
