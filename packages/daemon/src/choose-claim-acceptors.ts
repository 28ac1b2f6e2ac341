import type * as schemas from '@bramleyridge/schemas';

import * as claimZones from './claim-zones.js';

/** Number of claim acceptors when enough daemons are usable. */
const MAX_ACCEPTORS = 5;

/** Minimum number of claim acceptors; with fewer, no majority remains after the loss of one. */
const MIN_ACCEPTORS = 3;

/** The daemons among which claim acceptors are chosen. */
export interface ClaimCandidates {
  /** Daemons that the settings name, heard or not; they determine over how many zones to spread. */
  readonly configured: readonly claimZones.ConfiguredDaemon[];
  readonly live: readonly schemas.Heartbeat[];
  /** Daemons that may run an acceptor; any daemon when empty. */
  readonly allowed: readonly string[];
}

/** The input for choosing the next claim acceptors. */
export interface ClaimAcceptorInput extends ClaimCandidates {
  readonly acceptors: readonly schemas.ClaimAcceptorSlot[];
  /**
   * Asks a daemon whether its acceptor has recovered its complete state; rejects when it does not
   * answer.
   */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
}

/** A slot whose holder changes, and the new holder. */
interface Replacement {
  readonly slot: schemas.ClaimAcceptorSlot;
  readonly daemonId: string;
}

/**
 * Chooses the first claim acceptors, as `daemonId@incarnation`; returns undefined until daemons of
 * enough zones are heard. Where the settings name three or more zones, no zone gets a majority: it
 * would complete calls with a key while it is cut off, and the other zones would refuse theirs.
 */
export function chooseFirstAcceptors(candidates: ClaimCandidates): string[] | undefined {
  const { allowed, live } = candidates;
  const usable = live.filter((host) => !host.isLeaving);
  const eligible = interleaveZones(usable, allowed);
  const needed = allowed.length > 0 ? allowed.length : MIN_ACCEPTORS;
  if (eligible.length < needed) {
    return undefined;
  }
  const largest = usable.length >= MAX_ACCEPTORS ? MAX_ACCEPTORS : MIN_ACCEPTORS;
  const zones = new claimZones.ClaimZones(candidates.configured, allowed);
  return [Math.min(largest, eligible.length), MIN_ACCEPTORS]
    .map((size) => takeWithinLimit(eligible, size, zones))
    .find((chosen) => chosen !== undefined)
    ?.map((host) => `${host.daemonId}@${host.incarnation}`);
}

/**
 * Chooses the next claim acceptors, as `daemonId@incarnation`; returns undefined when no change is
 * needed or possible. Only one acceptor is replaced at a time: the new one copies its state from
 * the others, which must still be present. A lost acceptor is not replaced by one that gives its
 * zone a majority. While a zone has a majority and a daemon of another zone is heard, one of its
 * acceptors moves there.
 */
export async function chooseNextClaimAcceptors(
  input: ClaimAcceptorInput,
): Promise<string[] | undefined> {
  if (input.acceptors.length === 0) {
    return chooseFirstAcceptors(input);
  }
  const lost = findLostReplacement(input);
  if (lost !== undefined) {
    return (await isCopying(input)) ? undefined : replace(input, lost);
  }
  const move = findMove(input);
  return move !== undefined && (await canMove(input, move)) ? replace(input, move) : undefined;
}

/**
 * Returns whether a live acceptor is still copying its state. Replacing an acceptor that is only
 * silent for a moment discards its state, which may be the state that the copying acceptor needs to
 * become complete. Neither would become complete then, and calls with a key would be refused until
 * an operator founds a new group.
 */
async function isCopying({ acceptors, holdsClaims, live }: ClaimAcceptorInput): Promise<boolean> {
  const present = acceptors.filter((slot) => isLive(slot, live));
  const answers = await Promise.all(
    // A daemon that does not answer cannot be copying, and counts as lost once its heartbeats stop.
    present.map((slot) => holdsClaims(slot.daemonId).catch(() => true)),
  );
  return answers.includes(false);
}

/**
 * Returns whether every acceptor says that it is complete and the new holder answers. A move can
 * wait, so that an acceptor that does not answer counts as one that is not complete.
 */
async function canMove(input: ClaimAcceptorInput, move: Replacement): Promise<boolean> {
  const { acceptors, holdsClaims } = input;
  try {
    const [answers] = await Promise.all([
      Promise.all(acceptors.map((slot) => holdsClaims(slot.daemonId))),
      holdsClaims(move.daemonId),
    ]);
    return !answers.includes(false);
  } catch {
    return false;
  }
}

/** Finds a lost acceptor and a daemon that may replace it. */
function findLostReplacement(input: ClaimAcceptorInput): Replacement | undefined {
  const { acceptors, allowed, configured, live } = input;
  const zones = new claimZones.ClaimZones(configured, allowed);
  const ids = acceptors.map((slot) => slot.daemonId);
  // A group in which a zone has a majority already still replaces what it has lost.
  const limit = Math.max(zones.getLimit(ids.length), zones.getLargest(ids));
  return acceptors
    .filter((slot) => !isLive(slot, live))
    .map((slot) => findReplacement(input, slot, limit))
    .find((found) => found !== undefined);
}

/** Finds an acceptor of a zone with a majority and a daemon of another zone that can replace it. */
function findMove(input: ClaimAcceptorInput): Replacement | undefined {
  const { acceptors, allowed, configured } = input;
  const zones = new claimZones.ClaimZones(configured, allowed);
  const ids = acceptors.map((slot) => slot.daemonId);
  const limit = zones.getLimit(ids.length);
  const crowded = acceptors.findLast((slot) => zones.count(ids, slot.daemonId) > limit);
  return crowded && findReplacement(input, crowded, limit);
}

/** Finds the daemon that may have a slot, of the zone with the fewest of the other acceptors. */
function findReplacement(
  input: ClaimAcceptorInput,
  slot: schemas.ClaimAcceptorSlot,
  limit: number,
): Replacement | undefined {
  const { acceptors, allowed, configured, live } = input;
  const zones = new claimZones.ClaimZones(configured, allowed);
  const ids = acceptors.map((item) => item.daemonId);
  const others = ids.filter((id) => id !== slot.daemonId);
  const usable = live.filter((host) => !host.isLeaving);
  const best = interleaveZones(usable, allowed)
    .filter((host) => !ids.includes(host.daemonId))
    .map(({ daemonId }) => ({ daemonId, count: zones.count(others, daemonId) }))
    .filter((item) => item.count < limit)
    .sort((a, b) => a.count - b.count)[0];
  return best && { slot, daemonId: best.daemonId };
}

function replace(
  { acceptors, live }: ClaimAcceptorInput,
  { slot, daemonId }: Replacement,
): string[] {
  const incarnations = new Map(live.map((host) => [host.daemonId, host.incarnation]));
  return acceptors
    .map((item) => (item === slot ? daemonId : item.daemonId))
    .map((id) => `${id}@${incarnations.get(id) ?? 0}`);
}

function isLive(slot: schemas.ClaimAcceptorSlot, live: readonly schemas.Heartbeat[]): boolean {
  return live.some((host) => host.daemonId === slot.daemonId);
}

/** Takes a number of daemons in order, of each zone as many as the limit allows. */
function takeWithinLimit(
  eligible: readonly schemas.Heartbeat[],
  size: number,
  zones: claimZones.ClaimZones,
): schemas.Heartbeat[] | undefined {
  const limit = zones.getLimit(size);
  const taken: schemas.Heartbeat[] = [];
  eligible.forEach((host) => {
    const ids = taken.map((item) => item.daemonId);
    if (taken.length < size && zones.count(ids, host.daemonId) < limit) {
      taken.push(host);
    }
  });
  return taken.length === size ? taken : undefined;
}

/** Orders the daemons by taking one daemon of each zone in turn. */
function interleaveZones(
  live: readonly schemas.Heartbeat[],
  allowed: readonly string[],
): schemas.Heartbeat[] {
  const eligible = live.filter((host) => allowed.length === 0 || allowed.includes(host.daemonId));
  const byZone = new Map<string, schemas.Heartbeat[]>();
  [...eligible]
    .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1))
    .forEach((host) => {
      const zone = byZone.get(host.availabilityZone) ?? [];
      byZone.set(host.availabilityZone, [...zone, host]);
    });
  const zones = [...byZone.keys()].sort().map((zone) => byZone.get(zone) ?? []);
  const longest = Math.max(0, ...zones.map((zone) => zone.length));
  return Array.from({ length: longest }, (_, i) => zones.flatMap((zone) => zone[i] ?? [])).flat();
}
