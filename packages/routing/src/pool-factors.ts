import type * as engineStates from './engine-state.js';

/**
 * Ratio between the largest and the smallest factor in a pool from which an engine of unknown
 * factor may be a slow one. Observations of equal engines differ by up to a tenth from their mean.
 */
const UNEVEN_RATIO = 1.15;

/** Validity of the summary, in milliseconds; factors change with single observations. */
const SUMMARY_TTL_MS = 50;

/** Summarizes the factors of the engines of one pool. */
export class PoolFactors {
  private summarizedAt = -Infinity;
  private mean = 1;
  private areUneven = false;

  public constructor(private readonly listEngines: () => Iterable<engineStates.EngineState>) {}

  /** Returns the mean of the known factors; 1 if none is known. */
  public getMean(now: number): number {
    this.summarize(now);
    return this.mean;
  }

  /** Whether the known factors differ so much that an engine of unknown factor may be a slow one. */
  public isUneven(now: number): boolean {
    this.summarize(now);
    return this.areUneven;
  }

  private summarize(now: number): void {
    if (now - this.summarizedAt < SUMMARY_TTL_MS) {
      return;
    }
    this.summarizedAt = now;
    let smallest = Infinity;
    let largest = 0;
    let sum = 0;
    let count = 0;
    for (const { pace } of this.listEngines()) {
      const factor = pace.getFactor();
      if (factor !== undefined) {
        smallest = Math.min(smallest, factor);
        largest = Math.max(largest, factor);
        sum += factor;
        count += 1;
      }
    }
    this.mean = count === 0 ? 1 : sum / count;
    this.areUneven = count > 0 && largest > smallest * UNEVEN_RATIO;
  }
}
