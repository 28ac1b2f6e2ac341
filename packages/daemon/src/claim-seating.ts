import type * as schemas from '@bramleyridge/schemas';

/** How many seats the claim group has, where there are enough daemons. */
const SEATS = 5;

/** The fewest seats that outlive the loss of one. */
const MIN_SEATS = 3;

/**
 * Who is to hold the seats, as `daemonId@incarnation`; nothing when all is well. Seats are spread over the
 * zones, so that a lost or cut-off zone takes as few as possible. One seat changes at a time: its new
 * holder copies from the others, and they must still be there.
 */
export function chooseHolders(
  seats: readonly schemas.ClaimSeat[],
  live: readonly schemas.Beat[],
  wanted: readonly string[],
): string[] | undefined {
  const usable = live.filter((host) => !host.isLeaving);
  const byId = new Map(usable.map((host) => [host.daemonId, host]));
  const show = (id: string) => `${id}@${byId.get(id)?.incarnation ?? 0}`;
  if (seats.length === 0) {
    const first = spread(usable, wanted).slice(0, usable.length >= SEATS ? SEATS : MIN_SEATS);
    const isEnough = wanted.length > 0 ? first.length >= wanted.length : first.length >= MIN_SEATS;
    return isEnough ? first.map((host) => show(host.daemonId)) : undefined;
  }
  const lost = seats.find((seat) => !live.some((host) => host.daemonId === seat.daemonId));
  const held = new Set(seats.map((seat) => seat.daemonId));
  const zonesHeld = new Set([...held].map((id) => byId.get(id)?.availabilityZone));
  const spare = spread(usable, wanted).filter((host) => !held.has(host.daemonId));
  const next = spare.find((host) => !zonesHeld.has(host.availabilityZone)) ?? spare[0];
  if (lost === undefined || next === undefined) {
    return undefined;
  }
  return seats.map((seat) => show(seat === lost ? next.daemonId : seat.daemonId));
}

/** What is known when the seats of the claim group are looked over. */
export interface ClaimSeatingFacts {
  readonly seats: readonly schemas.ClaimSeat[];
  readonly live: readonly schemas.Beat[];
  /** The daemons that may hold seats; all when it is empty. */
  readonly wanted: readonly string[];
  /** Asks a daemon whether it holds what its seat has promised; fails where it does not answer. */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
}

/**
 * Who is to hold the seats next; nothing while a new holder is still copying. The memory of a holder that is silent for a
 * moment is gone with its seat, and it may be just what the other needs to be complete: then neither ever is, and calls
 * with a key are refused until the group is founded anew.
 */
export async function chooseNextHolders(facts: ClaimSeatingFacts): Promise<string[] | undefined> {
  const { holdsClaims, live, seats, wanted } = facts;
  const holders = chooseHolders(seats, live, wanted);
  if (holders === undefined) {
    return undefined;
  }
  const present = seats.filter((seat) => live.some((host) => host.daemonId === seat.daemonId));
  const answers = await Promise.all(
    // One that does not answer can't be copying now, and is taken for lost as soon as its heartbeats stay away.
    present.map((seat) => holdsClaims(seat.daemonId).catch(() => true)),
  );
  return answers.includes(false) ? undefined : holders;
}

/** The daemons in an order that takes one of each zone in turn. */
function spread(live: readonly schemas.Beat[], wanted: readonly string[]): schemas.Beat[] {
  const allowed = live.filter((host) => wanted.length === 0 || wanted.includes(host.daemonId));
  const byZone = new Map<string, schemas.Beat[]>();
  [...allowed]
    .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1))
    .forEach((host) => {
      const zone = byZone.get(host.availabilityZone) ?? [];
      byZone.set(host.availabilityZone, [...zone, host]);
    });
  const zones = [...byZone.keys()].sort().map((zone) => byZone.get(zone) ?? []);
  const longest = Math.max(0, ...zones.map((zone) => zone.length));
  return Array.from({ length: longest }, (_, i) => zones.flatMap((zone) => zone[i] ?? [])).flat();
}
