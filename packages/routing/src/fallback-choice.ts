/** What a daemon that decides alone knows of an upstream. */
export interface FallbackCandidate {
  readonly upstreamId: string;
  /** What this daemon itself runs there now. */
  readonly outstanding: number;
  /** The last share of memory that it heard of, 0 to 1. */
  readonly reportedShare: number;
}

/** Above which reported share of memory a daemon alone sends nothing more to an upstream. */
const LONE_SHARE_LIMIT = 0.9;

/** The better of two candidates at random; when every daemon takes the best one, all run to the same. */
export function chooseFallbackUpstream(
  candidates: readonly FallbackCandidate[],
  random: () => number,
): FallbackCandidate | undefined {
  const usable = candidates.filter((item) => item.reportedShare < LONE_SHARE_LIMIT);
  if (usable.length === 0) {
    return undefined;
  }
  const first = usable[Math.floor(random() * usable.length)]!;
  const second = usable[Math.floor(random() * usable.length)]!;
  return getLoad(second) < getLoad(first) ? second : first;
}

function getLoad(candidate: FallbackCandidate): number {
  return candidate.outstanding * 0.1 + candidate.reportedShare;
}
