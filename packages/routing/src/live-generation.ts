import * as lengths from './length-distribution.js';
import type * as types from './types.js';

/** The longest time for which progress that was not told is assumed, in milliseconds. */
const MAX_AHEAD_MS = 5_000;

/** A generation that was granted room, as the owner accounts for it. */
export class LiveGeneration {
  public tokens: number;
  private counted: number;
  private toldAt: number;

  public constructor(
    public readonly facts: types.RunningGeneration,
    public readonly distribution: lengths.LengthDistribution,
    public readonly grantedAt: number,
  ) {
    this.tokens = facts.tokens;
    this.toldAt = grantedAt;
    this.counted = lengths.getBucket(facts.tokens);
  }

  /** Moves on to a number of tokens; a late message with fewer changes nothing. */
  public advance(tokens: number, now: number): void {
    this.toldAt = now;
    this.tokens = Math.max(this.tokens, tokens);
    const bucket = lengths.getBucket(this.tokens);
    this.distribution.recordProgress(this.counted, bucket);
    this.counted = Math.max(this.counted, bucket);
  }

  /** Counts the end; a generation that was cut off says nothing about lengths. */
  public end(tokens: number, isNatural: boolean, now: number): void {
    this.advance(tokens, now);
    if (isNatural) {
      this.distribution.recordEnd(this.counted);
    }
  }

  /** How many tokens it probably has by now, at a speed in tokens per second. */
  public estimateTokens(now: number, speed: number): number {
    const aheadMs = Math.min(Math.max(now - this.toldAt, 0), MAX_AHEAD_MS);
    return Math.min(this.tokens + (speed * aheadMs) / 1_000, this.facts.maxTokens - 1);
  }

  /** The chances that it still holds memory so many tokens on from `tokens`; none beyond its limit. */
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
