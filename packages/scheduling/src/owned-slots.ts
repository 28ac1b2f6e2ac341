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
  const slots = sorted.flatMap(({ slots: count, upstreamId }) =>
    Array.from({ length: Math.max(1, Math.floor(count)) }, () => upstreamId),
  );
  const owned = new Map<string, number>();
  const add = (upstreamId: string | undefined) => {
    if (upstreamId !== undefined) {
      owned.set(upstreamId, (owned.get(upstreamId) ?? 0) + 1);
    }
  };
  if (slots.length >= hosts) {
    slots.filter((_, slot) => slot % hosts === index % hosts).forEach(add);
    return owned;
  }
  const period = Math.floor(timeOfDayMs / PERIOD_MS);
  const isUsed = timeOfDayMs % PERIOD_MS < PERIOD_MS * USED_PART;
  add(isUsed ? slots[(index + period * slots.length) % hosts] : undefined);
  return owned;
}
