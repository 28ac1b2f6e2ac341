import type * as schemas from '@bramleyridge/schemas';

/** How many seats the claim group has, where there are enough daemons. */
const MAX_ACCEPTORS = 5;

/** The fewest seats that outlive the loss of one. */
const MIN_ACCEPTORS = 3;

/**
 * Who is to hold the seats, as `daemonId@incarnation`; nothing when all is well. Seats are spread over the
 * zones, so that a lost or cut-off zone takes as few as possible. One seat changes at a time: its new
 * holder copies from the others, and they must still be there.
 */
export function chooseClaimAcceptors(
  acceptors: readonly schemas.ClaimSeat[],
  live: readonly schemas.Beat[],
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

/** What is known when the seats of the claim group are looked over. */
export interface ClaimAcceptorInput {
  readonly acceptors: readonly schemas.ClaimSeat[];
  readonly live: readonly schemas.Beat[];
  /** The daemons that may hold seats; all when it is empty. */
  readonly allowed: readonly string[];
  /** Asks a daemon whether it holds what its seat has promised; fails where it does not answer. */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
}

/**
 * Who is to hold the seats next; nothing while a new holder is still copying. The memory of a holder that is silent for a
 * moment is gone with its seat, and it may be just what the other needs to be complete: then neither ever is, and calls
 * with a key are refused until the group is founded anew.
 */
export async function chooseNextClaimAcceptors(
  facts: ClaimAcceptorInput,
): Promise<string[] | undefined> {
  const { holdsClaims, live, acceptors, allowed } = facts;
  const chosen = chooseClaimAcceptors(acceptors, live, allowed);
  if (chosen === undefined) {
    return undefined;
  }
  const present = acceptors.filter((acceptor) =>
    live.some((host) => host.daemonId === acceptor.daemonId),
  );
  const answers = await Promise.all(
    // One that does not answer can't be copying now, and is taken for lost as soon as its heartbeats stay away.
    present.map((acceptor) => holdsClaims(acceptor.daemonId).catch(() => true)),
  );
  return answers.includes(false) ? undefined : chosen;
}

/** The daemons in an order that takes one of each zone in turn. */
function interleaveZones(
  live: readonly schemas.Beat[],
  allowed: readonly string[],
): schemas.Beat[] {
  const eligible = live.filter((host) => allowed.length === 0 || allowed.includes(host.daemonId));
  const byZone = new Map<string, schemas.Beat[]>();
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
