import type * as types from './types.js';

/** A host that could hold a seat, as the leader hears of it. */
export interface SeatCandidate extends types.VoterSeat {
  /** How long ago it was last heard, in milliseconds. */
  readonly silentMs: number;
}

/** What is known when the seats are looked over. */
export interface SeatFacts {
  readonly seats: readonly types.VoterSeat[];
  /** Every host with a disk that was ever heard, the leader's own included. */
  readonly candidates: readonly SeatCandidate[];
  /** How many seats there should be: twice the losses to be borne, and one. */
  readonly wanted: number;
  /** How long a holder may be silent before another takes its seat, in milliseconds. */
  readonly patienceMs: number;
  /** Within which a host counts as live, in milliseconds. */
  readonly liveMs: number;
}

/** One change of the seats: who is seated, and whose seat is taken away after that. */
export interface SeatRepair {
  readonly add: types.VoterSeat;
  readonly remove: string | undefined;
}

/**
 * The next change that the seats need, one at a time. A host that lost its disk comes back as a stranger under
 * its old name: until it is seated anew its seat counts as a loss, and one more loss stops the log. A host that
 * stays away is replaced by a live one without a seat for the same reason.
 */
export function planSeatRepair(facts: SeatFacts): SeatRepair | undefined {
  const live = facts.candidates.filter((host) => host.silentMs <= facts.liveMs);
  const isSeated = (host: types.VoterSeat) =>
    facts.seats.some((seat) => seat.voterId === host.voterId);
  const remade = live.find(
    (host) => !isSeated(host) && facts.seats.some((seat) => seat.daemonId === host.daemonId),
  );
  if (remade !== undefined) {
    return { add: toSeat(remade), remove: undefined };
  }
  const spare = live.find((host) => !isSeated(host));
  if (spare === undefined) {
    return undefined;
  }
  if (facts.seats.length < facts.wanted) {
    return { add: toSeat(spare), remove: undefined };
  }
  const absent = facts.seats.find((seat) => isAbsent(facts, seat));
  return absent === undefined ? undefined : { add: toSeat(spare), remove: absent.daemonId };
}

function isAbsent({ candidates, patienceMs }: SeatFacts, seat: types.VoterSeat): boolean {
  const heard = candidates.find((host) => host.voterId === seat.voterId);
  return heard === undefined || heard.silentMs > patienceMs;
}

function toSeat({ daemonId, voterId }: SeatCandidate): types.VoterSeat {
  return { daemonId, voterId };
}
