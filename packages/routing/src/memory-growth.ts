import type * as placeNeeds from './place-need.js';

/** Tokens that a running generation makes in a second: one a step of 8 to 16 ms, as the engines' sheets state. */
const TOKENS_PER_S = 85;

/** How much an answer turns out longer than its caller's estimate on average; the estimate is the median. */
const MEAN_OVER_HINT = 1.15;

/** The part of the growth up to the horizon that a generation which has outlived its estimate has on average. */
const GROWS_ON = 0.5;

/**
 * What a generation will hold at a horizon, in tokens, when it has run for so long. One that has outlived its
 * estimate goes on growing: lengths are heavy-tailed, so the longest are the ones that fill engines. Taken to stay
 * at the estimate, three of them hid the third part of an engine, and what was placed there waited 7 s in vain.
 */
export function getSizeAhead(need: placeNeeds.PlaceNeed, ranMs: number, horizonMs: number): number {
  const expected = need.answerTokens * MEAN_OVER_HINT;
  const made = (ranMs / 1_000) * TOKENS_PER_S;
  const growth = (horizonMs / 1_000) * TOKENS_PER_S;
  const answer = made < expected ? Math.min(expected, made + growth) : made + growth * GROWS_ON;
  return need.promptTokens + answer;
}

/** How long a generation that has run for so long is expected to go on, in milliseconds. */
export function getRemainingMs(need: placeNeeds.PlaceNeed, ranMs: number): number {
  const expected = need.answerTokens * MEAN_OVER_HINT;
  const made = (ranMs / 1_000) * TOKENS_PER_S;
  const left = made < expected ? expected - made : expected * GROWS_ON;
  return (left / TOKENS_PER_S) * 1_000;
}
