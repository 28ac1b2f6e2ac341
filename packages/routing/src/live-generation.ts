import * as lengths from './length-distribution.js';
import type * as types from './types.js';

/** Longest time for which progress is extrapolated without a report, in milliseconds. */
const MAX_EXTRAPOLATION_MS = 5_000;

/** A generation that was granted capacity, as tracked by the pool owner. */
export class LiveGeneration {
  public tokens: number;
  private countedBucket: number;
  private reportedAt: number;

  public constructor(
    public readonly facts: types.RunningGeneration,
    public readonly distribution: lengths.LengthDistribution,
    public readonly grantedAt: number,
  ) {
    this.tokens = facts.tokens;
    this.reportedAt = grantedAt;
    this.countedBucket = lengths.getBucket(facts.tokens);
  }

  /** Sets the number of tokens; a late message with fewer tokens does not lower it. */
  public advance(tokens: number, now: number): void {
    this.reportedAt = now;
    this.tokens = Math.max(this.tokens, tokens);
    const bucket = lengths.getBucket(this.tokens);
    this.distribution.recordProgress(this.countedBucket, bucket);
    this.countedBucket = Math.max(this.countedBucket, bucket);
  }

  /** Counts the end. A generation that was aborted is no evidence of lengths. */
  public end(tokens: number, isNatural: boolean, now: number): void {
    this.advance(tokens, now);
    if (isNatural) {
      this.distribution.recordEnd(this.countedBucket);
    }
  }

  /** Estimates the current number of tokens, at a speed in tokens per second. */
  public estimateTokens(now: number, tokensPerS: number): number {
    const elapsedMs = Math.min(Math.max(now - this.reportedAt, 0), MAX_EXTRAPOLATION_MS);
    return Math.min(this.tokens + (tokensPerS * elapsedMs) / 1_000, this.facts.maxTokens - 1);
  }

  /**
   * Computes the probabilities that the generation still holds memory after so many more tokens
   * than `tokens`; 0 beyond its limit.
   */
  public fillSurvival(tokens: number, steps: readonly number[], out: Float64Array): void {
    this.distribution.fillSurvival(tokens, steps, out);
    for (let i = 0; i < steps.length; i += 1) {
      if (steps[i] === 0) {
        out[i] = 1;
      } else if (tokens + steps[i]! >= this.facts.maxTokens) {
        out[i] = 0;
      }
    }
  }
}
