/** Length of the periods in which slots rotate among hosts when there are fewer slots than hosts, in milliseconds. */
const PERIOD_MS = 4_000;

/** Part of a period in which its owner may use a slot; calls end in the rest, and the clocks of hosts differ. */
const USED_PART = 0.75;

/** The place of a host among all hosts, as the leader has told it. */
export interface HostPlace {
  /** From 0 to `hosts` - 1; differs between any two hosts. */
  readonly index: number;
  readonly hosts: number;
}

/** An upstream with slots. */
export interface SlottedUpstream {
  readonly upstreamId: string;
  readonly slots: number;
}

/**
 * Divides the slots of a service's upstreams among hosts that can't reach a leader, so that no two of them use the same
 * slot. Each host computes its own part, by its place. With fewer slots than hosts, the owners change from period to
 * period of the time of day.
 */
export function getOwnedSlots(
  upstreams: readonly SlottedUpstream[],
  { hosts, index }: HostPlace,
  timeOfDayMs: number,
): ReadonlyMap<string, number> {
  const sorted = [...upstreams].sort((left, right) =>
    left.upstreamId < right.upstreamId ? -1 : 1,
  );
  const ranges = listRanges(sorted);
  const total = ranges.at(-1)?.end ?? 0;
  if (total >= hosts) {
    const place = index % hosts;
    return new Map(
      ranges
        .map(({ end, start, upstreamId }) => {
          const count = countUntil(end, place, hosts) - countUntil(start, place, hosts);
          return [upstreamId, count] as const;
        })
        .filter(([, count]) => count > 0),
    );
  }
  const period = Math.floor(timeOfDayMs / PERIOD_MS);
  const isUsed = timeOfDayMs % PERIOD_MS < PERIOD_MS * USED_PART;
  const slot = (index + period * total) % hosts;
  const owner = ranges.find(({ end }) => slot < end);
  return new Map(isUsed && owner !== undefined ? [[owner.upstreamId, 1]] : []);
}

/** Numbers the slots of all upstreams consecutively. A list may name any number of slots, so they are not enumerated. */
function listRanges(upstreams: readonly SlottedUpstream[]) {
  let end = 0;
  return upstreams.map(({ slots, upstreamId }) => {
    const start = end;
    end += Math.max(1, Math.floor(slots));
    return { upstreamId, start, end };
  });
}

/** Returns how many of the slots below `end` belong to the host at a place. */
function countUntil(end: number, place: number, hosts: number): number {
  return Math.max(0, Math.ceil((end - place) / hosts));
}
