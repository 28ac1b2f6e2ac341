import type * as placementSpecs from './placement-spec.js';

/**
 * Tokens that a running generation produces per millisecond: one per step of 8 to 16 ms, as stated
 * by the engines' data sheets.
 */
const TOKENS_PER_MS = 0.085;

/** Ratio between the mean length of answers and the caller's estimate, which is the median. */
const MEAN_OVER_MEDIAN = 1.15;

/** Mean share of the growth up to the horizon that a generation beyond its estimate still makes. */
const LATE_GROWTH_FACTOR = 0.5;

/**
 * The memory that a generation will hold at a horizon, as a line over time that is valid for a
 * limited period.
 */
export interface LinearForecast {
  /** Memory at the horizon counted from now, in tokens. */
  readonly tokens: number;
  /** Increase per millisecond that passes, in tokens. */
  readonly tokensPerMs: number;
  /** How long the rate is valid, in milliseconds. */
  readonly validMs: number;
}

/**
 * Forecasts the memory that a generation will hold at a horizon, given how long it has run, and its
 * growth rate. The time of its engine runs slower by the engine's factor: it produces fewer tokens
 * per millisecond and holds its memory longer, so the horizon is as many of its own steps away. A generation beyond its estimate is expected to keep growing: lengths are
 * heavy-tailed, so the longest generations are the ones that fill engines. When they were assumed
 * to stay at the estimate, three of them hid a third of an engine's memory use, and generations
 * placed there waited 7 s in vain.
 */
export function forecastLine(
  spec: placementSpecs.PlacementSpec,
  ranMs: number,
  horizonMs: number,
  factor = 1,
): LinearForecast {
  const { answerTokens, promptTokens } = spec;
  const tokensPerMs = TOKENS_PER_MS / factor;
  const expected = answerTokens * MEAN_OVER_MEDIAN;
  const produced = ranMs * tokensPerMs;
  const growth = horizonMs * TOKENS_PER_MS;
  if (produced >= expected) {
    const tokens = promptTokens + produced + growth * LATE_GROWTH_FACTOR;
    return { tokens, tokensPerMs, validMs: Infinity };
  }
  const endsBeforeHorizon = produced + growth >= expected;
  const remainingMs = (expected - produced) / tokensPerMs;
  return endsBeforeHorizon
    ? { tokens: promptTokens + expected, tokensPerMs: 0, validMs: remainingMs }
    : {
        tokens: promptTokens + produced + growth,
        tokensPerMs,
        validMs: remainingMs - horizonMs * factor,
      };
}

/**
 * Returns the memory that a generation will hold at a horizon, in tokens, given how long it has
 * run.
 */
export function forecastTokens(
  spec: placementSpecs.PlacementSpec,
  ranMs: number,
  horizonMs: number,
  factor = 1,
): number {
  return forecastLine(spec, ranMs, horizonMs, factor).tokens;
}

/**
 * Returns the expected remaining time of a generation, in milliseconds, given how long it has run
 * and its engine's factor.
 */
export function getRemainingMs(
  spec: placementSpecs.PlacementSpec,
  ranMs: number,
  factor = 1,
): number {
  const tokensPerMs = TOKENS_PER_MS / factor;
  const expected = spec.answerTokens * MEAN_OVER_MEDIAN;
  const produced = ranMs * tokensPerMs;
  const remaining = produced < expected ? expected - produced : expected * LATE_GROWTH_FACTOR;
  return remaining / tokensPerMs;
}
