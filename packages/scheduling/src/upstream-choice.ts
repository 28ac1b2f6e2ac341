import * as serviceTimes from './service-time.js';
import type * as upstreamSlots from './upstream-slots.js';

/**
 * Share of the expected time that is added for a limit in full use. Spreads calls over upstreams that are otherwise
 * equal; times learned from answers differ by about a tenth without a reason.
 */
const FULL_SHARE = 0.1;

/**
 * Number of recent failures as which an upstream counts at which all calls fail. Only failures beyond the share of the
 * best upstream count: some calls fail everywhere, and counted over all hosts they would keep calls waiting for one
 * upstream while the others have free slots.
 */
const FAILURES_AT_OUTAGE = 10;

/** What the choice of an upstream depends on besides the upstreams. */
export interface ChoiceContext {
  /** Availability zone of the call's host. */
  readonly availabilityZone: string;
  /** Service time of an upstream whose own is not known, in milliseconds. */
  readonly typicalMs: number;
  /** Whether the calls that upstreams state occupy slots as well. */
  readonly countsOthers: boolean;
  /** Whether other schedulers use the same upstreams. */
  readonly isShared: boolean;
  /** Number of calls that wait for a better slot before this one. */
  readonly ahead: number;
  readonly random: () => number;
  readonly now: number;
}

interface ScoringContext extends ChoiceContext {
  /** Lowest share of calls that failed recently at one of the candidates. */
  readonly leastFailureShare: number;
}

/**
 * Chooses the upstream with a free slot where a call is expected to finish first. Returns `undefined` if none is free,
 * or if waiting for a slot of another one is expected to end sooner.
 */
export function chooseUpstream(
  candidates: readonly upstreamSlots.UpstreamSlots[],
  choice: ChoiceContext,
): upstreamSlots.UpstreamSlots | undefined {
  const { ahead, countsOthers, isShared, now, random, typicalMs } = choice;
  const shares = candidates.map((item) => item.getFailureShare(now));
  const context = { ...choice, leastFailureShare: Math.min(...shares) };
  const free = candidates.filter((item) => item.hasRoom(now, countsOthers));
  if (isShared) {
    return findLeast(drawTwo(free, random), (item) => getExpectedMs(item, context));
  }
  const best = findLeast(free, (item) => getExpectedMs(item, context));
  if (best === undefined) {
    return undefined;
  }
  const bestMs = getExpectedMs(best, context);
  const isWaitShorter = candidates
    .filter((item) => !free.includes(item) && !item.isOnTrial(now) && item.getOpenAt(now) <= now)
    .some((item) => {
      const waitMs = (ahead + 1) / item.getCallsPerMs(typicalMs, now);
      return waitMs + getExpectedMs(item, context) < bestMs;
    });
  return isWaitShorter ? undefined : best;
}

function getExpectedMs(
  item: upstreamSlots.UpstreamSlots,
  { availabilityZone, leastFailureShare, now, typicalMs }: ScoringContext,
): number {
  const { facts, running, serviceTime } = item;
  const isFull = running >= item.getLimit();
  const expectedMs = serviceTimes.getExpectedMs(
    {
      serviceTime,
      medianMs: typicalMs,
      // A call that waits for a slot takes the place of one that has ended.
      inFlight: isFull ? running - 1 : running,
      slots: facts.slots,
      isCold: item.isCold(now),
      failures: (item.getFailureShare(now) - leastFailureShare) * FAILURES_AT_OUTAGE,
    },
    now,
  );
  const crossZoneMs =
    facts.availabilityZone === availabilityZone ? 0 : serviceTimes.CROSS_ZONE_SAVING_MS;
  return expectedMs * (1 + (FULL_SHARE * running) / item.getLimit()) + crossZoneMs;
}

/** Draws two of the upstreams: if all hosts took the best one of their own, it would get the calls of all. */
function drawTwo<T>(items: readonly T[], random: () => number): T[] {
  const first = items[Math.floor(random() * items.length)];
  const rest = items.filter((item) => item !== first);
  const second = rest[Math.floor(random() * rest.length)];
  return [first, second].filter((item) => item !== undefined);
}

function findLeast<T>(items: readonly T[], getValue: (item: T) => number): T | undefined {
  let least: T | undefined;
  let leastValue = Infinity;
  items.forEach((item) => {
    const value = getValue(item);
    if (value < leastValue) {
      least = item;
      leastValue = value;
    }
  });
  return least;
}
