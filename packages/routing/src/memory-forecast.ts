import type * as liveGenerations from './live-generation.js';

/**
 * Points of the forecast, in tokens from now. They are close together, since a peak between two of
 * them would be missed.
 */
export const FORECAST_OFFSETS = [
  0, 16, 32, 64, 96, 144, 216, 324, 486, 729, 1_094, 1_640, 2_460, 3_690, 5_536, 8_304, 12_456,
  18_684,
] as const;

/** Memory held by a generation beyond its tokens, because engines allocate in blocks. */
const BLOCK_TOKENS = 16;

/** Probability of still running below which an offset is ignored for a joining generation. */
const NEGLIGIBLE_PROBABILITY = 0.02;

const survival = new Float64Array(FORECAST_OFFSETS.length);

/** The memory that one generation is expected to hold at each offset, in tokens. */
export class ExpectedMemory {
  public readonly mean = new Float64Array(FORECAST_OFFSETS.length);
  public readonly variance = new Float64Array(FORECAST_OFFSETS.length);
  /** Number of offsets at which the generation probably still runs. */
  public relevantOffsets = 0;

  public constructor(private readonly generation: liveGenerations.LiveGeneration) {
    this.update(generation.tokens);
  }

  /**
   * Recomputes the values in place, since owners do this for hundreds of generations several times
   * a second.
   */
  public update(tokens: number): void {
    const heldTokens = this.generation.facts.promptTokens + tokens + BLOCK_TOKENS;
    this.generation.fillSurvival(tokens, FORECAST_OFFSETS, survival);
    this.relevantOffsets = 0;
    for (let i = 0; i < FORECAST_OFFSETS.length; i += 1) {
      const size = heldTokens + FORECAST_OFFSETS[i]!;
      const probability = survival[i]!;
      this.mean[i] = size * probability;
      this.variance[i] = size * size * probability * (1 - probability);
      this.relevantOffsets +=
        probability >= NEGLIGIBLE_PROBABILITY && this.relevantOffsets === i ? 1 : 0;
    }
  }
}

/** Mean and variance of the memory in use at each offset, in tokens. */
export class MemoryForecast {
  private readonly mean = new Float64Array(FORECAST_OFFSETS.length);
  private readonly variance = new Float64Array(FORECAST_OFFSETS.length);
  private readonly generations = new Map<string, ExpectedMemory>();

  /** Recomputes all values, which also removes accumulated rounding errors. */
  public rebuild(getTokens: (generation: string) => number): void {
    this.mean.fill(0);
    this.variance.fill(0);
    this.generations.forEach((expected, generation) => {
      expected.update(getTokens(generation));
      this.accumulate(expected, 1);
    });
  }

  /** Adds a generation. */
  public add(generation: string, expected: ExpectedMemory): void {
    this.generations.set(generation, expected);
    this.accumulate(expected, 1);
  }

  /** Removes a generation. */
  public remove(generation: string): void {
    const expected = this.generations.get(generation);
    if (expected !== undefined) {
      this.generations.delete(generation);
      this.accumulate(expected, -1);
    }
  }

  /**
   * Returns the highest share of memory over the horizon, at the confidence given by `quantile` (in
   * standard deviations), if one more generation joins. The sum of worst cases would leave most of
   * the memory idle; the sum of means would overflow half of the time. Only offsets at which the
   * joining generation probably still runs are considered, so that a short request does not wait
   * because of a peak after its end.
   */
  public getPressure(capacity: number, quantile: number, joining?: ExpectedMemory): number {
    const offsets = joining?.relevantOffsets ?? FORECAST_OFFSETS.length;
    let worst = 0;
    for (let i = 0; i < offsets; i += 1) {
      const mean = this.mean[i]! + (joining?.mean[i] ?? 0);
      const variance = Math.max(0, this.variance[i]! + (joining?.variance[i] ?? 0));
      worst = Math.max(worst, (mean + quantile * Math.sqrt(variance)) / capacity);
    }
    return worst;
  }

  /** Returns the mean memory in use now, in tokens. */
  public getMeanTokens(): number {
    return this.mean[0]!;
  }

  private accumulate(expected: ExpectedMemory, sign: 1 | -1): void {
    for (let i = 0; i < FORECAST_OFFSETS.length; i += 1) {
      this.mean[i]! += sign * expected.mean[i]!;
      this.variance[i]! += sign * expected.variance[i]!;
    }
  }
}
