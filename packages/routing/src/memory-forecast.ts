import type * as liveGenerations from './live-generation.js';

/**
 * The moments looked at, in tokens from now. They lie close together, since a peak between two of them
 * would not be seen.
 */
export const FORECAST_OFFSETS = [
  0, 16, 32, 64, 96, 144, 216, 324, 486, 729, 1_094, 1_640, 2_460, 3_690, 5_536, 8_304, 12_456,
  18_684,
] as const;

/** Memory that a generation holds beyond its tokens, since engines give it out in blocks. */
const BLOCK_TOKENS = 16;

/** Below which chance of still running a joining generation does not count at a moment. */
const NEGLIGIBLE = 0.02;

const chances = new Float64Array(FORECAST_OFFSETS.length);

/** What one generation is expected to hold at each moment, in tokens. */
export class ExpectedMemory {
  public readonly mean = new Float64Array(FORECAST_OFFSETS.length);
  public readonly variance = new Float64Array(FORECAST_OFFSETS.length);
  /** How many moments it will probably live to see. */
  public relevantOffsets = 0;

  public constructor(private readonly generation: liveGenerations.LiveGeneration) {
    this.update(generation.tokens);
  }

  /** Works it out anew; in place, since owners do this for hundreds of generations several times a second. */
  public update(tokens: number): void {
    const held = this.generation.facts.promptTokens + tokens + BLOCK_TOKENS;
    this.generation.fillSurvival(tokens, FORECAST_OFFSETS, chances);
    this.relevantOffsets = 0;
    for (let i = 0; i < FORECAST_OFFSETS.length; i += 1) {
      const size = held + FORECAST_OFFSETS[i]!;
      const chance = chances[i]!;
      this.mean[i] = size * chance;
      this.variance[i] = size * size * chance * (1 - chance);
      this.relevantOffsets += chance >= NEGLIGIBLE && this.relevantOffsets === i ? 1 : 0;
    }
  }
}

/** Mean and variance of the memory in use at each moment of the horizon, in tokens. */
export class MemoryForecast {
  private readonly mean = new Float64Array(FORECAST_OFFSETS.length);
  private readonly variance = new Float64Array(FORECAST_OFFSETS.length);
  private readonly parts = new Map<string, ExpectedMemory>();

  /** Works everything out anew, which also drops what rounding has left behind. */
  public rebuild(getTokens: (generation: string) => number): void {
    this.mean.fill(0);
    this.variance.fill(0);
    this.parts.forEach((part, generation) => {
      part.update(getTokens(generation));
      this.sum(part, 1);
    });
  }

  /** Adds one generation. */
  public add(generation: string, part: ExpectedMemory): void {
    this.parts.set(generation, part);
    this.sum(part, 1);
  }

  /** Takes one generation away. */
  public remove(generation: string): void {
    const part = this.parts.get(generation);
    if (part !== undefined) {
      this.parts.delete(generation);
      this.sum(part, -1);
    }
  }

  /**
   * The highest share of the memory that is reached with the chance that `quantile` stands for, over the
   * horizon, if one more generation joins. The sum of worst cases would leave most of the memory idle;
   * the sum of means would overflow every other time. Only moments at which the joining one probably still
   * runs are looked at: a short check must not wait for a peak that it will not live to see.
   */
  public getPressure(capacity: number, quantile: number, joining?: ExpectedMemory): number {
    const moments = joining?.relevantOffsets ?? FORECAST_OFFSETS.length;
    let worst = 0;
    for (let i = 0; i < moments; i += 1) {
      const mean = this.mean[i]! + (joining?.mean[i] ?? 0);
      const variance = Math.max(0, this.variance[i]! + (joining?.variance[i] ?? 0));
      worst = Math.max(worst, (mean + quantile * Math.sqrt(variance)) / capacity);
    }
    return worst;
  }

  /** The mean memory in use now, in tokens. */
  public getMeanTokens(): number {
    return this.mean[0]!;
  }

  private sum(part: ExpectedMemory, sign: 1 | -1): void {
    for (let i = 0; i < FORECAST_OFFSETS.length; i += 1) {
      this.mean[i]! += sign * part.mean[i]!;
      this.variance[i]! += sign * part.variance[i]!;
    }
  }
}
