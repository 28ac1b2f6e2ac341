import * as lengths from './length-distribution.js';
import type * as types from './types.js';

/** A generation that was granted room, as the owner accounts for it. */
export class LiveGeneration {
  public tokens: number;
  private counted: number;

  public constructor(
    public readonly facts: types.RunningGeneration,
    public readonly distribution: lengths.LengthDistribution,
    public readonly grantedAt: number,
  ) {
    this.tokens = facts.tokens;
    this.counted = lengths.getBucket(facts.tokens);
  }

  /** Moves on to a number of tokens; a late message with fewer changes nothing. */
  public advance(tokens: number): void {
    this.tokens = Math.max(this.tokens, tokens);
    const bucket = lengths.getBucket(this.tokens);
    this.distribution.pass(this.counted, bucket);
    this.counted = Math.max(this.counted, bucket);
  }

  /** Counts the end; a generation that was cut off says nothing about lengths. */
  public end(tokens: number, isNatural: boolean): void {
    this.advance(tokens);
    if (isNatural) {
      this.distribution.end(this.counted);
    }
  }

  /** The chance that it still holds memory after `steps` more tokens. */
  public getChance(steps: number): number {
    if (this.tokens + steps >= this.facts.maxTokens) {
      return steps === 0 ? 1 : 0;
    }
    return this.distribution.getChance(this.tokens, this.tokens + steps);
  }
}
