import type * as schemas from '@bramleyridge/schemas';

/** Number of claim acceptors when enough daemons are usable. */
const MAX_ACCEPTORS = 5;

/** Minimum number of claim acceptors; with fewer, no majority remains after the loss of one. */
const MIN_ACCEPTORS = 3;

/**
 * Chooses the daemons that run the claim acceptors, as `daemonId@incarnation`; returns undefined
 * when no change is needed or possible. Acceptors are spread over the zones, so that a lost or
 * cut-off zone contains as few of them as possible. Only one acceptor is replaced at a time: the
 * new one copies its state from the others, which must still be present.
 */
export function chooseClaimAcceptors(
  acceptors: readonly schemas.ClaimAcceptorSlot[],
  live: readonly schemas.Heartbeat[],
  allowed: readonly string[],
): string[] | undefined {
  const usable = live.filter((host) => !host.isLeaving);
  const byId = new Map(usable.map((host) => [host.daemonId, host]));
  const format = (id: string) => `${id}@${byId.get(id)?.incarnation ?? 0}`;
  if (acceptors.length === 0) {
    const initial = interleaveZones(usable, allowed).slice(
      0,
      usable.length >= MAX_ACCEPTORS ? MAX_ACCEPTORS : MIN_ACCEPTORS,
    );
    const isSufficient =
      allowed.length > 0 ? initial.length >= allowed.length : initial.length >= MIN_ACCEPTORS;
    return isSufficient ? initial.map((host) => format(host.daemonId)) : undefined;
  }
  const lost = acceptors.find(
    (acceptor) => !live.some((host) => host.daemonId === acceptor.daemonId),
  );
  const current = new Set(acceptors.map((acceptor) => acceptor.daemonId));
  const currentZones = new Set([...current].map((id) => byId.get(id)?.availabilityZone));
  const candidates = interleaveZones(usable, allowed).filter((host) => !current.has(host.daemonId));
  const replacement =
    candidates.find((host) => !currentZones.has(host.availabilityZone)) ?? candidates[0];
  if (lost === undefined || replacement === undefined) {
    return undefined;
  }
  return acceptors.map((acceptor) =>
    format(acceptor === lost ? replacement.daemonId : acceptor.daemonId),
  );
}

/** The input for choosing the next claim acceptors. */
export interface ClaimAcceptorInput {
  readonly acceptors: readonly schemas.ClaimAcceptorSlot[];
  readonly live: readonly schemas.Heartbeat[];
  /** Daemons that may run an acceptor; any daemon when empty. */
  readonly allowed: readonly string[];
  /**
   * Asks a daemon whether its acceptor has recovered its complete state; rejects when it does not
   * answer.
   */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
}

/**
 * Chooses the next claim acceptors; returns undefined while a new acceptor is still copying its
 * state. Replacing an acceptor that is only silent for a moment discards its state, which may be
 * the state that the copying acceptor needs to become complete. Neither would become complete then,
 * and calls with a key would be refused until an operator founds a new group.
 */
export async function chooseNextClaimAcceptors(
  input: ClaimAcceptorInput,
): Promise<string[] | undefined> {
  const { holdsClaims, live, acceptors, allowed } = input;
  const chosen = chooseClaimAcceptors(acceptors, live, allowed);
  if (chosen === undefined) {
    return undefined;
  }
  const present = acceptors.filter((acceptor) =>
    live.some((host) => host.daemonId === acceptor.daemonId),
  );
  const answers = await Promise.all(
    // A daemon that does not answer cannot be copying, and counts as lost once its heartbeats stop.
    present.map((acceptor) => holdsClaims(acceptor.daemonId).catch(() => true)),
  );
  return answers.includes(false) ? undefined : chosen;
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
