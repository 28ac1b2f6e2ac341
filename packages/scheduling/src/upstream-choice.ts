import * as serviceTimes from './service-time.js';
import type * as upstreamSlots from './upstream-slots.js';

/**
 * Share of the expected time that is added for a limit in full use. Spreads calls over upstreams that are otherwise
 * equal; times learned from answers differ by about a tenth without a reason.
 */
const FULL_SHARE = 0.1;

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

/**
 * Chooses the upstream with a free slot where a call is expected to finish first. Returns `undefined` if none is free,
 * or if waiting for a slot of another one is expected to end sooner.
 */
export function chooseUpstream(
  candidates: readonly upstreamSlots.UpstreamSlots[],
  context: ChoiceContext,
): upstreamSlots.UpstreamSlots | undefined {
  const { ahead, countsOthers, isShared, now, random, typicalMs } = context;
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
    .filter((item) => !free.includes(item) && item.getOpenAt(now) <= now)
    .some((item) => {
      const waitMs = (ahead + 1) / item.getCallsPerMs(typicalMs, now);
      return waitMs + getExpectedMs(item, context) < bestMs;
    });
  return isWaitShorter ? undefined : best;
}

function getExpectedMs(
  item: upstreamSlots.UpstreamSlots,
  { availabilityZone, now, typicalMs }: ChoiceContext,
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
      failures: item.getFailures(now),
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
