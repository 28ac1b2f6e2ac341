import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

import * as models from './support/engine-step-model.js';
import * as presentScores from './support/present-score.js';

const ZONES = ['a', 'b', 'c'];
const ENGINES = 12;

/** A pool with a drawn load whose decisions are compared with those of the former score. */
class DrawnPool {
  public readonly states: routing.EngineState[];
  public readonly gaps = new routing.EventGapModel();
  public readonly choice: routing.EngineChoice;
  public now = 0;
  public compared = 0;
  public readonly differences: string[] = [];
  private readonly runs = new routing.RunRegistry();
  private readonly live: { callId: string; state: routing.EngineState; endsAt: number }[] = [];

  public constructor(private readonly random: () => number) {
    const rates = {
      prefillRate: new routing.PrefillRate(),
      usualEventTime: new routing.UsualEventTime(),
    };
    this.states = Array.from({ length: ENGINES }, (_, i) => {
      const engine = {
        engineId: `e${i}`,
        memoryTokens: 34_000,
        slots: i === 0 ? 3 : 24,
        availabilityZone: ZONES[i % ZONES.length]!,
        sendsPerS: i === 1 ? { most: 2, cold: 1 } : undefined,
        isClosed: i === 2,
      };
      const occupancy = this.runs.getOccupancy(engine.engineId);
      return new routing.EngineState(engine, occupancy, rates, undefined);
    });
    const factors = new routing.PoolFactors(() => this.states);
    this.choice = new routing.EngineChoice(
      (spec, now) => new routing.GapPenalties(spec, this.gaps, factors, now),
      () => this.states,
    );
  }

  /** Places generations of drawn sizes until a time; compares each decision with the former score. */
  public play(until: number): void {
    for (; this.now < until; this.now += 1 + this.random() * 60) {
      const isLong = this.random() < 0.5;
      const spec = this.drawSpec(isLong);
      const mayWait = this.random() < 0.7;
      const chosen = this.choice.choose(spec, this.now, mayWait);
      const expected = presentScores.chooseByPresentScore(this.states, spec, this.now, mayWait);
      this.compared += 1;
      if (chosen !== expected) {
        const ids = [chosen, expected].map((state) => state?.engine.engineId ?? 'none');
        this.differences.push(`${this.now} ${ids.join(' ')}`);
      }
      if (chosen !== undefined) {
        this.start(chosen, spec, isLong);
      }
      this.endRuns();
    }
  }

  private start(state: routing.EngineState, spec: routing.PlacementSpec, isLong: boolean): void {
    const { engineId } = state.engine;
    const { callId } = spec;
    const run = { spec, startedAt: this.now, expiresAt: Infinity, engineId };
    this.runs.set({ ...run, backupEngineId: undefined, zone: undefined });
    state.recordSend(this.now);
    state.backlog.add(callId, spec.promptTokens, this.now);
    const endsAt = this.now + (isLong ? 8_000 : 500);
    this.live.push({ callId, state, endsAt });
  }

  private endRuns(): void {
    this.live
      .filter(({ endsAt }) => this.random() < 0.5 && endsAt - 200 <= this.now)
      .forEach(({ callId, state }) =>
        state.recordFirstEvent(callId, this.now, this.gaps.isStating(this.now)),
      );
    const ended = this.live.filter(({ endsAt }) => endsAt <= this.now);
    ended.forEach((item) => {
      this.live.splice(this.live.indexOf(item), 1);
      this.runs.remove(item.callId);
      item.state.backlog.remove(item.callId, this.now);
      if (this.random() < 0.05) {
        item.state.recordFailure(this.now);
      }
    });
  }

  private drawSpec(isLong: boolean): routing.PlacementSpec {
    return {
      callId: `c${this.compared}`,
      availabilityZone: ZONES[Math.floor(this.random() * ZONES.length)]!,
      promptTokens: 500 + this.random() * 3_000,
      answerTokens: isLong ? 200 + this.random() * 800 : 8,
      leftMs: 39_000,
      excluded: this.random() < 0.1 ? ['e4', 'e5'] : [],
      gapTargetMs: 180,
      wantsCopy: false,
      ranMs: 0,
    };
  }
}

void tap.default.test(
  'without stated slowdowns every decision is that of the former score',
  async (t) => {
    // Guards deployments whose engines state nothing against other placements than before.
    const pool = new DrawnPool(models.createRandom(7));
    pool.play(120_000);
    t.ok(pool.compared > 3_500, `${pool.compared} decisions`);
    t.same(pool.differences, []);
  },
);

void tap.default.test(
  'a minute after the last stated slowdown decisions are those of the former score',
  async (t) => {
    // Guards against factors and memory forecasts that stay in force after engines stop stating.
    const pool = new DrawnPool(models.createRandom(8));
    pool.states.forEach(({ pace }, i) => {
      pace.applySlowdown(1, 0);
      Array.from({ length: 3 }, () => pace.recordPrefill(400, 400 * (1 + (i % 3) * 0.3), 0));
    });
    for (let i = 0; i < 20; i += 1) {
      pool.gaps.recordGap(70, 1, 1);
    }
    pool.gaps.recordSlowdown(2.5, 0);
    pool.play(60_000);
    t.ok(pool.differences.length > 100, `${pool.differences.length} others while they are stated`);
    pool.now += 1;
    const before = pool.compared;
    pool.differences.length = 0;
    pool.play(120_000);
    t.ok(pool.compared - before > 1_500, `${pool.compared - before} decisions`);
    t.same(pool.differences, []);
  },
);
