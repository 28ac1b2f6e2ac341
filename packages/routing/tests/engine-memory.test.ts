import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

import * as placementLimits from '../src/placement-limits.js';
import * as models from './support/engine-step-model.js';

const MEMORY_TOKENS = 34_000;
const SLOTS = 24;
const SLOW_FACTOR = 1.3;
const INTERFERENCE = 2.5;
const DURATION_MS = 120_000;
const PROBE_INTERVAL_MS = 200;

const SEEDS = [1, 2, 3, 4];

/** Tolerance for sums of floating-point numbers in a different order. */
const ROUNDING = 1e-9;

/** More long and short generations per second than the engine can run. */
const DRAFTS_PER_S = 4;
const SHORTS_PER_S = 3;

/** One slow engine with interference whose load the ledger places, and the memory that its runs hold. */
class FilledEngine implements models.EngineListener {
  /** Largest share of the memory, forecast at each placement for the horizon of that placement. */
  public largestPlaced = 0;
  /** Largest share for the long horizon after any placement, also one of a short answer. */
  public largestPlacedLong = 0;
  /** Largest share that is forecast for the long horizon at any time, and largest share held. */
  public largestForecast = 0;
  public largestHeld = 0;
  public placed = 0;
  public refused = 0;
  private readonly ledger = new routing.EngineLedger();
  private readonly random: () => number;
  private readonly engine: models.ModelEngine;
  private readonly specs = new Map<string, routing.PlacementSpec>();
  private created = 0;

  public constructor(
    seed: number,
    private readonly isStated: boolean,
  ) {
    this.random = models.createRandom(seed);
    this.engine = new models.ModelEngine('e1', SLOW_FACTOR, INTERFERENCE, this.random, 0);
    this.ledger.setEngines([
      { engineId: 'e1', memoryTokens: MEMORY_TOKENS, slots: SLOTS, availabilityZone: 'a' },
    ]);
  }

  public play(): this {
    for (let now = 0; now < DURATION_MS; now += 1) {
      this.engine.advance(now, this);
      if (this.isStated && now % PROBE_INTERVAL_MS === 0) {
        const slowdown = this.engine.getSlowdown(now) * SLOW_FACTOR;
        this.ledger.applySlowdown('e1', slowdown, now);
      }
      if (this.random() < DRAFTS_PER_S / 1_000) {
        this.place(2_100, 700 * this.drawLengthRatio(), 700, now);
      }
      if (this.random() < SHORTS_PER_S / 1_000) {
        this.place(2_200, 8, 8, now);
      }
      this.largestHeld = Math.max(this.largestHeld, this.getHeldShare());
      const forecast = this.getForecastShare(now, placementLimits.HORIZON_MS);
      this.largestForecast = Math.max(this.largestForecast, forecast);
    }
    return this;
  }

  public onEvent(_engine: models.ModelEngine, run: models.ModelRun, now: number): void {
    if (run.events === 1) {
      this.ledger.recordFirstEvent(run.callId, now);
    }
  }

  public onEnd(_engine: models.ModelEngine, run: models.ModelRun, now: number): void {
    const stream = {
      msPerEvent: run.getMsPerEvent(),
      events: run.eventsHere,
      longestGapMs: run.gapMs,
    };
    this.ledger.recordStream(run.callId, 'e1', stream, now);
    this.ledger.release(run.callId, false, now);
    this.specs.delete(run.callId);
  }

  /** Draws an answer's length relative to its estimate, the median: half as long to three times. */
  private drawLengthRatio(): number {
    return Math.min(3, Math.max(0.3, Math.exp((this.random() + this.random() - 1) * 1.3)));
  }

  private place(promptTokens: number, length: number, answerTokens: number, now: number): void {
    this.created += 1;
    const callId = `c${this.created}`;
    const spec = {
      callId,
      availabilityZone: 'a',
      promptTokens,
      answerTokens,
      leftMs: 60_000,
      excluded: [],
      wantsCopy: false,
      ranMs: 0,
    };
    if (this.ledger.place(spec, now) === undefined) {
      this.refused += 1;
      return;
    }
    this.placed += 1;
    this.specs.set(callId, spec);
    const share = this.getForecastShare(now, routing.getHorizonMs(spec));
    this.largestPlaced = Math.max(this.largestPlaced, share);
    const longShare = this.getForecastShare(now, placementLimits.HORIZON_MS);
    this.largestPlacedLong = Math.max(this.largestPlacedLong, longShare);
    this.engine.prompts.push(new models.ModelRun(callId, promptTokens, length, now));
  }

  private getHeldShare(): number {
    const runs = this.engine.runs.reduce((sum, run) => sum + run.promptTokens + run.tokens, 0);
    const prompts = this.engine.prompts.reduce((sum, prompt) => sum + prompt.readTokens, 0);
    return (runs + prompts) / MEMORY_TOKENS;
  }

  /** Sums the forecasts of all runs, each with the progress that the ledger assumes for it. */
  private getForecastShare(now: number, horizonMs: number): number {
    let tokens = 0;
    for (const spec of this.specs.values()) {
      const produced = this.ledger.getTokens(spec.callId, now) - spec.promptTokens;
      const tokensPerMs = routing.forecastTokens(spec, 1, 0) - spec.promptTokens;
      tokens += routing.forecastTokens(spec, produced / tokensPerMs, horizonMs);
    }
    return tokens / MEMORY_TOKENS;
  }
}

for (const isStated of [false, true]) {
  const name = isStated ? 'and states it' : 'and states nothing';
  const results = SEEDS.map((seed) => new FilledEngine(seed, isStated).play());
  void tap.default.test(`a slow neighbour comes and goes, ${name}: placements`, async (t) => {
    // Guards against runs that are placed beyond an engine's memory, since it is slower than the forecast assumes.
    for (const { largestHeld, largestPlaced, placed, refused } of results) {
      t.comment(
        `forecast ${largestPlaced.toFixed(3)} at placements, held ${largestHeld.toFixed(3)}, ` +
          `${placed} placed, ${refused} refused`,
      );
      t.ok(refused > 0, 'the load fills the engine');
      t.ok(
        largestPlaced <= placementLimits.PLACEMENT_LIMIT + ROUNDING,
        'no placement exceeds the limit at its own horizon',
      );
      t.ok(largestHeld < 1, 'what is held stays under the memory');
    }
  });
  void tap.default.test(`a slow neighbour comes and goes, ${name}: forecast`, async (t) => {
    // Guards against a forecast beyond the memory between placements, as runs last longer than estimated.
    for (const { largestForecast, largestPlacedLong } of results) {
      t.comment(
        `forecast for 3 s: ${largestPlacedLong.toFixed(3)} after a placement, ` +
          `${largestForecast.toFixed(3)} at any time`,
      );
      t.ok(largestForecast <= 1, 'the forecast stays within the memory');
    }
  });
}
