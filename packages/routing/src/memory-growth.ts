import type * as placeNeeds from './placement-spec.js';

/** Tokens that a running generation makes in a millisecond: one a step of 8 to 16 ms, as the engines' sheets state. */
const TOKENS_PER_MS = 0.085;

/** How much an answer turns out longer than its caller's estimate on average; the estimate is the median. */
const MEAN_OVER_HINT = 1.15;

/** The part of the growth up to the horizon that a generation which has outlived its estimate has on average. */
const GROWS_ON = 0.5;

/** What a generation will hold at a horizon, as a line over time that is true for a while. */
export interface LinearForecast {
  /** What it will hold at the horizon of now, in tokens. */
  readonly tokens: number;
  /** How much more that is with each millisecond that passes. */
  readonly tokensPerMs: number;
  /** For how long that pace stays, in milliseconds. */
  readonly validMs: number;
}

/**
 * What a generation will hold at a horizon when it has run for so long, and how that changes. One that has outlived its
 * estimate goes on growing: lengths are heavy-tailed, so the longest are the ones that fill engines. Taken to stay
 * at the estimate, three of them hid the third part of an engine, and what was placed there waited 7 s in vain.
 */
export function forecastLine(
  need: placeNeeds.PlacementSpec,
  ranMs: number,
  horizonMs: number,
): LinearForecast {
  const { answerTokens, promptTokens } = need;
  const expected = answerTokens * MEAN_OVER_HINT;
  const made = ranMs * TOKENS_PER_MS;
  const growth = horizonMs * TOKENS_PER_MS;
  if (made >= expected) {
    const tokens = promptTokens + made + growth * GROWS_ON;
    return { tokens, tokensPerMs: TOKENS_PER_MS, validMs: Infinity };
  }
  const isDoneByThen = made + growth >= expected;
  const untilMs = (expected - made) / TOKENS_PER_MS;
  return isDoneByThen
    ? { tokens: promptTokens + expected, tokensPerMs: 0, validMs: untilMs }
    : {
        tokens: promptTokens + made + growth,
        tokensPerMs: TOKENS_PER_MS,
        validMs: untilMs - horizonMs,
      };
}

/** What a generation will hold at a horizon, in tokens, when it has run for so long. */
export function forecastTokens(
  need: placeNeeds.PlacementSpec,
  ranMs: number,
  horizonMs: number,
): number {
  return forecastLine(need, ranMs, horizonMs).tokens;
}

/** How long a generation that has run for so long is expected to go on, in milliseconds. */
export function getRemainingMs(need: placeNeeds.PlacementSpec, ranMs: number): number {
  const expected = need.answerTokens * MEAN_OVER_HINT;
  const made = ranMs * TOKENS_PER_MS;
  const left = made < expected ? expected - made : expected * GROWS_ON;
  return left / TOKENS_PER_MS;
}
