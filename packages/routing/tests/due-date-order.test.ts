import * as routing from '@bramleyridge/routing';
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const RUN_MS = 12_000;
const DISPATCH_MS = 20;

/** The queue as it was before the order could be replaced. */
class FormerQueue {
  private waiting: routing.QueuedPlacement[] = [];

  public constructor(private readonly ledger: routing.EngineLedger) {}

  public add(queued: routing.QueuedPlacement): void {
    this.waiting.push(queued);
  }

  public dispatch(now: number): routing.SettledPlacement<routing.QueuedPlacement>[] {
    const settled: routing.SettledPlacement<routing.QueuedPlacement>[] = [];
    const remaining: routing.QueuedPlacement[] = [];
    const smallest = new Map<boolean, number>();
    [...this.sort(now)].forEach((queued) => {
      const { spec } = queued;
      const kind = routing.hasShortAnswer(spec);
      const size = this.ledger.getTokensNeeded(spec);
      const isOver = now >= queued.expiresAt;
      const hasFailed =
        spec.fixedEngineId === undefined && size >= (smallest.get(kind) ?? Infinity);
      const placed = !isOver && hasFailed ? undefined : this.ledger.place(spec, now, !isOver);
      if (placed !== undefined || isOver) {
        settled.push({ queued, placed });
        return;
      }
      remaining.push(queued);
      if (spec.excluded.length === 0) {
        smallest.set(kind, Math.min(smallest.get(kind) ?? Infinity, size));
      }
    });
    this.waiting = remaining;
    return settled;
  }

  private sort(now: number): routing.QueuedPlacement[] {
    const getLatestStart = (queued: routing.QueuedPlacement) =>
      queued.dueAt - this.ledger.getPrefillMs(queued.spec.promptTokens);
    const isLate = (queued: routing.QueuedPlacement) => Number(getLatestStart(queued) < now);
    const getLatePriority = (queued: routing.QueuedPlacement) => isLate(queued) * queued.priority;
    return this.waiting.sort(
      (a, b) =>
        isLate(a) - isLate(b) ||
        getLatePriority(a) - getLatePriority(b) ||
        getLatestStart(a) - getLatestStart(b),
    );
  }
}

function createLedger(): routing.EngineLedger {
  const ledger = new routing.EngineLedger();
  ledger.setEngines(
    ['e1', 'e2', 'e3'].map((engineId) => ({
      engineId,
      memoryTokens: 34_000,
      slots: 24,
      availabilityZone: 'a',
    })),
  );
  return ledger;
}

/** Returns what happened to each generation of a random load beyond the capacity of three engines. */
function simulate(
  seed: number,
  createQueue: (ledger: routing.EngineLedger) => FormerQueue | routing.PlacementQueue,
): string[] {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const random = () => float64.uniformFloat64(generator);
  const pick = (...values: number[]) => values[Math.floor(random() * values.length)]!;
  const ledger = createLedger();
  const queue = createQueue(ledger);
  const ends: { readonly callId: string; readonly firstAt: number; readonly endsAt: number }[] = [];
  const history: string[] = [];
  let asked = 0;
  const step = (now: number) => {
    ends.forEach(({ callId, endsAt, firstAt }) => {
      if (firstAt <= now && firstAt > now - DISPATCH_MS) {
        ledger.recordFirstEvent(callId, firstAt);
      }
      if (endsAt <= now && endsAt > now - DISPATCH_MS) {
        ledger.release(callId, random() < 0.05, endsAt);
      }
    });
    for (let i = 0; i < 3 * random(); i += 1) {
      asked += 1;
      const targetMs = pick(300, 1_800, 1_800, 4_000);
      queue.add({
        spec: {
          callId: `c${asked}`,
          availabilityZone: 'a',
          promptTokens: pick(100, 800, 800, 3_000, 9_000),
          answerTokens: pick(20, 60, 400, 900),
          leftMs: pick(9_000, 39_000),
          excluded: random() < 0.1 ? ['e2'] : [],
          fixedEngineId: random() < 0.05 ? 'e3' : undefined,
          wantsCopy: random() < 0.3,
          ranMs: 0,
        },
        team: `t${pick(1, 2, 3)}`,
        dueAt: now + targetMs,
        priority: pick(0, 1, 7),
        expiresAt: now + 0.4 * targetMs,
      });
    }
    queue.dispatch(now).forEach(({ placed, queued }) => {
      const { callId, promptTokens } = queued.spec;
      history.push(`${now} ${callId} ${placed?.engineId} ${placed?.copyAt} ${placed?.share}`);
      if (placed !== undefined) {
        const firstAt = now + promptTokens / 7 + 1;
        ends.push({ callId, firstAt, endsAt: firstAt + 4_000 * random() });
      }
    });
  };
  for (let now = 0; now < RUN_MS; now += DISPATCH_MS) {
    step(now);
  }
  return history;
}

// Guards against a change for deployments that do not share capacity among teams.
void tap.default.test('without team shares the order is exactly the former one', async (t) => {
  SEEDS.forEach((seed) => {
    const former = simulate(seed, (ledger) => new FormerQueue(ledger));
    const current = simulate(seed, (ledger) => new routing.PlacementQueue(ledger));
    const refused = former.filter((line) => line.includes('undefined undefined')).length;
    t.ok(refused > 50 && former.length - refused > 50, `seed ${seed}: ${refused} refused`);
    t.same(current, former, `seed ${seed}: ${former.length} generations`);
  });
});
