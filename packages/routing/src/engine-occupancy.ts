import * as memoryGrowth from './memory-growth.js';
import type * as placedRuns from './placed-run.js';
import * as placementSpecs from './placement-spec.js';

/**
 * Change of the factor below which forecasts stay as they are. Each observation changes the factor
 * of an engine a little, and would have all of its runs summed up again.
 */
const FACTOR_TOLERANCE = 0.02;

/**
 * The total memory that everything on one engine is forecast to use at a horizon: a line over time,
 * valid until the growth rate of the first generation changes.
 */
interface OccupancyForecast {
  readonly since: number;
  readonly until: number;
  readonly tokens: number;
  readonly tokensPerMs: number;
}

/**
 * The generations and KV-cache backups on one engine, and the memory that they are forecast to use.
 * Every placement queries each engine, and generations grow at a steady rate for seconds, so the
 * sum is cached as a line and recomputed only when an item is added or removed or its rate changes.
 * Summing over all runs for every engine would take 2 ms per placement with 41 engines and 180
 * runs, instead of 0.03 ms, measured on one core. Hosts that get no answer from the leader in time
 * use fallback placement, which overfills engines.
 */
export class EngineOccupancy {
  private readonly runs = new Map<string, placedRuns.PlacedRun>();
  private readonly backups = new Map<string, placedRuns.PlacedRun>();
  /** Keyed by horizon in milliseconds. */
  private readonly forecasts = new Map<number, OccupancyForecast>();
  /** Number of streams on the engine by the targets for their gaps, of which routes have few. */
  private readonly streamsByGapTarget = new Map<number, number>();
  private factor = 1;

  /** Number of generations that run on the engine. */
  public get running(): number {
    return this.runs.size;
  }

  /** Whether the engine has neither runs nor backups. */
  public get isEmpty(): boolean {
    return this.runs.size === 0 && this.backups.size === 0;
  }

  /** The usual time of a step on the engine relative to its pool. */
  public getFactor(): number {
    return this.factor;
  }

  /** Sets the usual time of a step on the engine relative to its pool. */
  public setFactor(factor: number): void {
    const isExact = factor === 1 && this.factor !== 1;
    if (isExact || Math.abs(factor - this.factor) > FACTOR_TOLERANCE) {
      this.factor = factor;
      this.forecasts.clear();
    }
  }

  /** Whether a generation with a long answer runs on the engine. */
  public hasLongRun(): boolean {
    return [...this.runs.values()].some(({ spec }) => !placementSpecs.hasShortAnswer(spec));
  }

  /** Returns the number of streams on the engine for which a gap would be too long. */
  public countLateAt(gapMs: number): number {
    let late = 0;
    for (const [targetMs, streams] of this.streamsByGapTarget) {
      late += gapMs > targetMs ? streams : 0;
    }
    return late;
  }

  /** Returns the generations that run on the engine. */
  public listRuns(): placedRuns.PlacedRun[] {
    return [...this.runs.values()];
  }

  /** Returns the generations whose backup is kept on the engine. */
  public listBackedUp(): placedRuns.PlacedRun[] {
    return [...this.backups.values()];
  }

  /** Adds a generation that runs on the engine. */
  public addRun(run: placedRuns.PlacedRun): void {
    this.removeRun(run.spec.callId);
    this.runs.set(run.spec.callId, run);
    this.countStream(run, 1);
    this.forecasts.clear();
  }

  /** Removes a generation that ran on the engine. */
  public removeRun(callId: string): void {
    const run = this.runs.get(callId);
    if (run !== undefined) {
      this.runs.delete(callId);
      this.countStream(run, -1);
    }
    this.forecasts.clear();
  }

  /** Adds a backup. */
  public addBackup(run: placedRuns.PlacedRun): void {
    this.backups.set(run.spec.callId, run);
    this.forecasts.clear();
  }

  /** Removes a backup. */
  public removeBackup(callId: string): void {
    this.backups.delete(callId);
    this.forecasts.clear();
  }

  /** Returns the memory that all runs and backups are forecast to use at a horizon, in tokens. */
  public getForecastTokens(now: number, horizonMs: number): number {
    const cached = this.forecasts.get(horizonMs);
    const isValid = cached !== undefined && now >= cached.since && now < cached.until;
    const forecast = isValid ? cached : this.sum(now, horizonMs);
    return forecast.tokens + forecast.tokensPerMs * (now - forecast.since);
  }

  private countStream({ spec }: placedRuns.PlacedRun, change: 1 | -1): void {
    const { gapTargetMs } = spec;
    if (gapTargetMs !== undefined) {
      const streams = (this.streamsByGapTarget.get(gapTargetMs) ?? 0) + change;
      if (streams > 0) {
        this.streamsByGapTarget.set(gapTargetMs, streams);
      } else {
        this.streamsByGapTarget.delete(gapTargetMs);
      }
    }
  }

  private sum(now: number, horizonMs: number): OccupancyForecast {
    let tokens = 0;
    let tokensPerMs = 0;
    let validMs = Infinity;
    const add = (run: placedRuns.PlacedRun) => {
      const forecast = memoryGrowth.forecastLine(
        run.spec,
        now - run.startedAt,
        horizonMs,
        this.factor,
      );
      tokens += forecast.tokens;
      tokensPerMs += forecast.tokensPerMs;
      validMs = Math.min(validMs, forecast.validMs);
    };
    this.runs.forEach(add);
    this.backups.forEach((run, callId) => {
      if (!this.runs.has(callId)) {
        add(run);
      }
    });
    const forecast = { since: now, until: now + validMs, tokens, tokensPerMs };
    this.forecasts.set(horizonMs, forecast);
    return forecast;
  }
}
