import type * as liveGenerations from './live-generation.js';

/**
 * The moments looked at, in tokens from now. They lie close together, since a peak between two of them
 * would not be seen.
 */
export const HORIZON = [
  0, 16, 32, 64, 96, 144, 216, 324, 486, 729, 1_094, 1_640, 2_460, 3_690, 5_536, 8_304, 12_456,
  18_684,
] as const;

/** Memory that a generation holds beyond its tokens, since engines give it out in blocks. */
const BLOCK_TOKENS = 16;

/** Below which chance of still running a joining generation does not count at a moment. */
const NEGLIGIBLE = 0.02;

/** Mean and variance of the memory in use at each moment of the horizon, in tokens. */
export class MemoryForecast {
  private readonly mean = new Float64Array(HORIZON.length);
  private readonly variance = new Float64Array(HORIZON.length);

  /** Starts anew. */
  public clear(): void {
    this.mean.fill(0);
    this.variance.fill(0);
  }

  /** Adds what one generation of so many tokens is expected to hold. */
  public add(generation: liveGenerations.LiveGeneration, tokens: number): void {
    const held = generation.facts.promptTokens + tokens + BLOCK_TOKENS;
    for (let i = 0; i < HORIZON.length; i += 1) {
      const size = held + HORIZON[i]!;
      const chance = generation.getChance(tokens, HORIZON[i]!);
      this.mean[i]! += size * chance;
      this.variance[i]! += size * size * chance * (1 - chance);
      if (chance === 0) {
        return;
      }
    }
  }

  /**
   * The highest share of the memory that is reached with the chance that `quantile` stands for, over the
   * horizon, if one more generation joins. The sum of worst cases would leave most of the memory idle;
   * the sum of means would overflow every other time. Only moments at which the joining one probably still
   * runs are looked at: a short check must not wait for a peak that it will not live to see.
   */
  public getPressure(
    capacity: number,
    quantile: number,
    joining?: liveGenerations.LiveGeneration,
  ): number {
    let worst = 0;
    for (let i = 0; i < HORIZON.length; i += 1) {
      let mean = this.mean[i]!;
      let variance = this.variance[i]!;
      if (joining !== undefined) {
        const size = joining.facts.promptTokens + joining.tokens + BLOCK_TOKENS + HORIZON[i]!;
        const chance = joining.getChance(joining.tokens, HORIZON[i]!);
        if (chance < NEGLIGIBLE && i > 0) {
          break;
        }
        mean += size * chance;
        variance += size * size * chance * (1 - chance);
      }
      worst = Math.max(worst, (mean + quantile * Math.sqrt(variance)) / capacity);
    }
    return worst;
  }

  /** The mean memory in use now, in tokens. */
  public getHeld(): number {
    return this.mean[0]!;
  }
}
