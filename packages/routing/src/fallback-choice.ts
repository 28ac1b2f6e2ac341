/** What a daemon without a pool owner knows of an upstream. */
export interface FallbackCandidate {
  readonly upstreamId: string;
  /** Number of generations that this daemon runs there now. */
  readonly outstanding: number;
  /** Estimated share of the upstream's memory in use, 0 to 1. */
  readonly estimatedShare: number;
}

/**
 * Estimated share of memory from which a daemon without a pool owner sends nothing more to an
 * upstream.
 */
const MAX_MEMORY_SHARE = 0.9;

/**
 * Chooses the less loaded of two random candidates; if every daemon chose the best one, they would
 * all choose the same.
 */
export function chooseFallbackUpstream(
  candidates: readonly FallbackCandidate[],
  random: () => number,
): FallbackCandidate | undefined {
  const usable = candidates.filter((item) => item.estimatedShare < MAX_MEMORY_SHARE);
  if (usable.length === 0) {
    return undefined;
  }
  const first = usable[Math.floor(random() * usable.length)]!;
  const second = usable[Math.floor(random() * usable.length)]!;
  return getLoad(second) < getLoad(first) ? second : first;
}

function getLoad(candidate: FallbackCandidate): number {
  return candidate.outstanding * 0.1 + candidate.estimatedShare;
}
