import type * as liveGenerations from './live-generation.js';

/** The moments looked at, in tokens from now; between them memory changes little relative to its size. */
export const HORIZON = [0, 16, 64, 192, 512, 1_280, 3_072, 7_168, 16_384] as const;

/** Mean and variance of the memory in use at each moment of the horizon, in tokens. */
export class MemoryForecast {
  private readonly mean = new Float64Array(HORIZON.length);
  private readonly variance = new Float64Array(HORIZON.length);

  /** Starts anew. */
  public clear(): void {
    this.mean.fill(0);
    this.variance.fill(0);
  }

  /** Adds (or with -1 takes away) what one generation is expected to hold. */
  public add(generation: liveGenerations.LiveGeneration, sign: 1 | -1 = 1): void {
    const held = generation.facts.promptTokens + generation.tokens;
    for (let i = 0; i < HORIZON.length; i += 1) {
      const size = held + HORIZON[i]!;
      const chance = generation.getChance(HORIZON[i]!);
      this.mean[i]! += sign * size * chance;
      this.variance[i]! += sign * size * size * chance * (1 - chance);
    }
  }

  /**
   * The highest share of the memory that is reached with the chance that `quantile` stands for, over the
   * horizon, if one more generation joins. The sum of worst cases would leave most of the memory idle;
   * the sum of means would overflow every other time.
   */
  public getPressure(
    capacity: number,
    quantile: number,
    joining?: liveGenerations.LiveGeneration,
  ): number {
    let worst = 0;
    for (let i = 0; i < HORIZON.length; i += 1) {
      let mean = this.mean[i]!;
      let variance = Math.max(this.variance[i]!, 0);
      if (joining !== undefined) {
        const size = joining.facts.promptTokens + joining.tokens + HORIZON[i]!;
        const chance = joining.getChance(HORIZON[i]!);
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
