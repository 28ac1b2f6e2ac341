import type * as loads from './upstream-load.js';

/** How much busier an upstream counts for each of its late failures, as a share of its places. */
const FAILURE_PENALTY = 0.5;

/**
 * Above which share of busy places a near upstream is passed over for one in another zone. Below it the way
 * between zones, 1 to 3 ms of a call of 20 ms, outweighs what a shorter queue saves.
 */
const NEAR_SHARE_LIMIT = 0.7;

/**
 * Above which share of memory a near engine is passed over by a host that chooses alone. It does so mostly because its
 * zone is cut off, and then the others cannot be reached at all: with one engine in six near, two drawn at random are
 * both far in seven of ten cases, each costs 150 ms, and after four of them the caller is refused.
 */
const NEAR_ENGINE_LIMIT = 1;

/** How much fuller an upstream that has just started counts. */
const COLD_PENALTY = 0.5;

/** An upstream that could take a call. */
export interface LoadCandidate {
  readonly upstreamId: string;
  readonly isNear: boolean;
  readonly isCold: boolean;
  /** Calls that it works on at once. */
  readonly slots: number;
  readonly load: loads.UpstreamLoad;
}

/** An engine that could take a generation. */
export interface EngineCandidate extends LoadCandidate {
  /** Its memory, in tokens. */
  readonly memoryTokens: number;
  /** What a generation is expected to fill on average, in tokens. */
  readonly meanTokens: number;
}

/** The better of two upstreams of a plain service at random, near ones first while they have places. */
export function chooseByCalls<C extends LoadCandidate>(
  candidates: readonly C[],
  now: number,
  random: () => number,
): C | undefined {
  const getShare = (item: C) => getCallShare(item, now);
  const near = candidates.filter((item) => item.isNear && getShare(item) < NEAR_SHARE_LIMIT);
  return chooseOfTwo(near.length > 0 ? near : candidates, getShare, random);
}

/** The better of two engines at random, by the memory that is probably taken; near ones while they have room. */
export function chooseByMemory<C extends EngineCandidate>(
  candidates: readonly C[],
  now: number,
  random: () => number,
): C | undefined {
  const getShare = (item: C) => getMemoryShare(item, now);
  const near = candidates.filter((item) => item.isNear && getShare(item) < NEAR_ENGINE_LIMIT);
  return chooseOfTwo(near.length > 0 ? near : candidates, getShare, random);
}

/** The share of an engine's memory that is probably taken. */
export function getMemoryShare(item: EngineCandidate, now: number): number {
  const others = item.load.getActiveCalls(now) - item.load.calls;
  const taken = item.load.tokens + others * item.meanTokens;
  return taken / item.memoryTokens + getPenalty(item, now);
}

function getCallShare(item: LoadCandidate, now: number): number {
  return item.load.getActiveCalls(now) / item.slots + getPenalty(item, now);
}

function getPenalty(item: LoadCandidate, now: number): number {
  return item.load.getFailures(now) * FAILURE_PENALTY + (item.isCold ? COLD_PENALTY : 0);
}

/** Two drawn at random: when every host takes the best of all, all of them run to the same one. */
function chooseOfTwo<C>(
  candidates: readonly C[],
  getShare: (item: C) => number,
  random: () => number,
): C | undefined {
  const first = candidates[Math.floor(random() * candidates.length)];
  const rest = candidates.filter((item) => item !== first);
  const second = rest[Math.floor(random() * rest.length)];
  if (first === undefined || second === undefined) {
    return first;
  }
  return getShare(second) < getShare(first) ? second : first;
}
