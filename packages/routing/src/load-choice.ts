import * as scheduling from '@bramleyridge/scheduling';

import type * as loads from './upstream-load.js';

/** Load added to an upstream for each recent failure, as a share of its slots or memory. */
const FAILURE_PENALTY = 0.5;

/**
 * Share of busy slots from which an upstream in the same zone is passed over for one in another
 * zone. Below it, the latency between zones (1 to 3 ms on a call of 20 ms) outweighs the gain of a
 * shorter queue.
 */
const SAME_ZONE_CALL_LIMIT = 0.7;

/**
 * Share of memory from which an engine in the same zone is passed over in fallback placement. The
 * usual reason for fallback placement is that the zone is cut off, and then engines in other zones
 * are unreachable: with one engine in six in the zone, two random candidates are both in other
 * zones in seven of ten cases; each such attempt costs 150 ms, and after four of them the call is
 * refused.
 */
const SAME_ZONE_MEMORY_LIMIT = 1;

/** Load added to an upstream that has just started, as a share of its slots or memory. */
const COLD_PENALTY = 0.5;

/** An upstream that could take a call. */
export interface LoadCandidate {
  readonly upstreamId: string;
  readonly isSameZone: boolean;
  readonly isCold: boolean;
  /** Number of calls that it processes concurrently. */
  readonly slots: number;
  readonly load: loads.UpstreamLoad;
}

/** An engine that could take a generation. */
export interface EngineCandidate extends LoadCandidate {
  /** Memory of the engine, in tokens. */
  readonly memoryTokens: number;
  /** Mean memory that a generation is expected to use, in tokens. */
  readonly meanTokens: number;
}

/**
 * Chooses the less loaded of two random upstreams of a plain service, from the same zone while
 * those have free slots.
 */
export function chooseByCalls<C extends LoadCandidate>(
  candidates: readonly C[],
  now: number,
  random: () => number,
): C | undefined {
  const getShare = (item: C) => getCallShare(item, now);
  const sameZone = candidates.filter(
    (item) => item.isSameZone && getShare(item) < SAME_ZONE_CALL_LIMIT,
  );
  return chooseOfTwo(sameZone.length > 0 ? sameZone : candidates, getShare, random);
}

/**
 * Chooses the upstream of a plain service where a call is expected to end sooner, of two random ones in the same zone and
 * two in other zones. Without a stated slowdown it chooses by calls.
 */
export function chooseByExpectedTime<C extends LoadCandidate>(
  candidates: readonly C[],
  now: number,
  random: () => number,
): C | undefined {
  if (!candidates.some(({ load }) => load.serviceTime.hasStatedSlowdown(now))) {
    return chooseByCalls(candidates, now, random);
  }
  const serviceTimes = candidates.map(({ load }) => load.serviceTime);
  const medianMs = scheduling.getMedianUsualMs(serviceTimes, now);
  const getMs = (item: C) => getExpectedMs(item, medianMs, now);
  const [near, far] = [true, false].map((isSameZone) => {
    const ofZone = candidates.filter((item) => item.isSameZone === isSameZone);
    return chooseOfTwo(ofZone, getMs, random);
  });
  if (near === undefined || far === undefined) {
    return near ?? far;
  }
  return getMs(near) - getMs(far) > scheduling.CROSS_ZONE_SAVING_MS ? far : near;
}

/**
 * Chooses the less loaded of two random engines by estimated memory use, from the same zone while
 * those have capacity.
 */
export function chooseByMemory<C extends EngineCandidate>(
  candidates: readonly C[],
  now: number,
  random: () => number,
): C | undefined {
  const getShare = (item: C) => getMemoryShare(item, now);
  const sameZone = candidates.filter(
    (item) => item.isSameZone && getShare(item) < SAME_ZONE_MEMORY_LIMIT,
  );
  return chooseOfTwo(sameZone.length > 0 ? sameZone : candidates, getShare, random);
}

/** Returns the estimated share of an engine's memory in use. */
export function getMemoryShare(item: EngineCandidate, now: number): number {
  const otherCalls = item.load.getActiveCalls(now) - item.load.calls;
  const usedTokens = item.load.tokens + otherCalls * item.meanTokens;
  return usedTokens / item.memoryTokens + getPenalty(item, now);
}

function getCallShare(item: LoadCandidate, now: number): number {
  return item.load.getActiveCalls(now) / item.slots + getPenalty(item, now);
}

function getExpectedMs(item: LoadCandidate, medianMs: number | undefined, now: number): number {
  const { isCold, load, slots } = item;
  const { serviceTime } = load;
  const inFlight = load.getActiveCalls(now);
  const failures = load.getFailures(now);
  return scheduling.getExpectedMs(
    { serviceTime, inFlight, slots, isCold, failures, medianMs },
    now,
  );
}

function getPenalty(item: LoadCandidate, now: number): number {
  return item.load.getFailures(now) * FAILURE_PENALTY + (item.isCold ? COLD_PENALTY : 0);
}

/**
 * Compares two random candidates: if every host chose the best of all, they would all choose the
 * same one.
 */
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
