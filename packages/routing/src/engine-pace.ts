import * as statistics from 'simple-statistics';

import * as statedSlowdowns from './stated-slowdowns.js';
import * as usualSlowdowns from './usual-slowdown.js';

/**
 * Number of the latest observations whose median is the factor of an engine. A spell of
 * interference that begins between two probes distorts single observations.
 */
const MAX_OBSERVATIONS = 9;

/** Range of plausible factors; outside of it the report was late or the prompt was cached. */
const MIN_FACTOR = 0.3;
const MAX_FACTOR = 5;

/**
 * Minimum number of events for the pace of a stream; the host reports after as many for the first
 * time.
 */
export const MIN_PACE_EVENTS = 16;

/**
 * Maximum time between two events of a stream that is learned from, in milliseconds. Callers give up
 * after 7 s of silence, and a larger figure would distort the usual time of the pool for long.
 */
const MAX_MS_PER_EVENT = 7_000;

/** Weight of one stream in the moving average of the usual time between two events. */
const LEARNING_RATE = 0.05;

/** The usual time between two events of a stream in one pool, without interference. */
export class UsualEventTime {
  private ms: number | undefined;

  /** Returns the time in milliseconds; `undefined` until observed. */
  public get(): number | undefined {
    return this.ms;
  }

  /** Records the time between two events of a stream, corrected for its engine's factor. */
  public observe(ms: number): void {
    this.ms = this.ms === undefined ? ms : this.ms + (ms - this.ms) * LEARNING_RATE;
  }
}

/**
 * The speed of one engine: its own, learned from its prefills and streams, and the slowdown by
 * co-located work, which it states.
 */
export class EnginePace {
  private readonly slowdowns = new statedSlowdowns.StatedSlowdowns();
  private readonly usualSlowdown = new usualSlowdowns.UsualSlowdown();
  private readonly observations: number[] = [];
  private factor: number | undefined;
  private statedFactor: number | undefined;

  public constructor(private readonly usualEventTime: UsualEventTime) {}

  /** Records the slowdown by co-located work; `undefined` if none is stated. */
  public applySlowdown(slowdown: number | undefined, now: number): void {
    if (slowdown !== undefined) {
      this.slowdowns.record(slowdown, now);
    }
  }

  /**
   * Records the pace of a stream over so many events, as the mean time between two of them without
   * the time that prefills of other prompts added.
   */
  public recordStream(msPerEvent: number, events: number, now: number): void {
    const isPlausible = msPerEvent > 0 && msPerEvent <= MAX_MS_PER_EVENT;
    if (events < MIN_PACE_EVENTS || !isPlausible) {
      return;
    }
    const ms = msPerEvent / this.getMeanSlowdown(now - msPerEvent * events, now);
    const usualMs = this.usualEventTime.get();
    if (usualMs !== undefined) {
      this.observe(ms / usualMs);
    }
    this.usualEventTime.observe(ms / (this.factor ?? 1));
  }

  /** Records how long the prefill of a prompt took that was alone on the engine. */
  public recordPrefill(expectedMs: number, tookMs: number, now: number): void {
    this.observe(tookMs / expectedMs / this.getMeanSlowdown(now - tookMs, now));
  }

  /** Returns the stated slowdown; 1 without a valid statement. */
  public getSlowdown(now: number): number {
    return this.slowdowns.get(now);
  }

  /** Returns the mean slowdown over a period. */
  public getMeanSlowdown(since: number, now: number): number {
    return this.slowdowns.getMean(since, now);
  }

  /** Returns the largest slowdown stated over a period. */
  public getLargestSlowdown(since: number, now: number): number {
    return this.slowdowns.getLargest(since, now);
  }

  /**
   * Separates what an engine states into the factor of its machine and interference, and records
   * both; returns the interference.
   */
  public applyStatement(slowdown: number, now: number): number {
    const usual = this.usualSlowdown.record(slowdown, now);
    // An engine that states 1 at all times may nevertheless be slow by itself.
    this.statedFactor = usual === 1 ? undefined : usual;
    const interference = slowdown / usual;
    this.applySlowdown(interference, now);
    return interference;
  }

  /**
   * Returns the usual time of a step relative to the pool, as observed or, before that, as stated;
   * `undefined` if neither is known.
   */
  public getFactor(): number | undefined {
    return this.factor ?? this.statedFactor;
  }

  private observe(factor: number): void {
    // The negation also excludes NaN.
    if (!(factor >= MIN_FACTOR && factor <= MAX_FACTOR)) {
      return;
    }
    this.observations.push(factor);
    if (this.observations.length > MAX_OBSERVATIONS) {
      this.observations.shift();
    }
    this.factor = statistics.median(this.observations);
  }
}
