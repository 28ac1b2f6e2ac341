import * as loadChoices from './load-choice.js';

/**
 * The share of an engine's memory up to which it takes copies of generations that run elsewhere. Engines are
 * reclaimed at two seconds' notice every few seconds, and each takes three to eight drafts of ten seconds with it;
 * a copy lets them go on elsewhere within some 30 ms. Above this share a copy would push running work out, which
 * costs every caller there the reading of its prompt anew, about 250 ms.
 */
const COPY_SHARE_LIMIT = 0.7;

/**
 * The shortest answer of which a copy is kept, in tokens. Shorter ones take under half a second; few are hit,
 * and copies arrive several times a second.
 */
const MIN_ANSWER_TOKENS = 60;

/** How much fuller an engine in another zone counts: copies take twice as long to get there. */
const FAR_PENALTY = 0.05;

/** A generation of which a copy might be kept. */
export interface CopyNeed {
  /** Tokens that its answer is expected to have. */
  readonly answerTokens: number;
  /** Memory that it will fill, in tokens. */
  readonly totalTokens: number;
}

/** Chooses the engine that keeps a copy of a generation, or none when a copy would do more harm than good. */
export function chooseCopyHolder<C extends loadChoices.EngineCandidate>(
  candidates: readonly C[],
  runnerId: string,
  need: CopyNeed,
  now: number,
): C | undefined {
  if (need.answerTokens < MIN_ANSWER_TOKENS) {
    return undefined;
  }
  const getShare = (item: C) =>
    loadChoices.getMemoryShare(item, now) +
    need.totalTokens / item.memoryTokens +
    (item.isNear ? 0 : FAR_PENALTY);
  return candidates
    .filter((item) => item.upstreamId !== runnerId)
    .map((item) => ({ item, share: getShare(item) }))
    .filter(({ share }) => share <= COPY_SHARE_LIMIT)
    .sort((a, b) => a.share - b.share)[0]?.item;
}
