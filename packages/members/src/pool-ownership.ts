import * as schemas from '@bramleyridge/schemas';

/** The daemon that holds the queue and the account of room of a pool; nobody when none is live. */
export function findPoolOwner(
  availabilityZone: string,
  model: string,
  members: readonly schemas.Member[],
): schemas.Member | undefined {
  const live = members.filter((item) => item.state === 'live');
  const [owner] = schemas.rankByKey(
    `pool/${availabilityZone}/${model}`,
    live.map((item) => item.daemonId),
  );
  return live.find((item) => item.daemonId === owner);
}

/** The order in which a zone's daemons act as its relay. */
export function rankRelays(
  availabilityZone: string,
  members: readonly { readonly daemonId: string; readonly isLeaving: boolean }[],
): string[] {
  const staying = members.filter((item) => !item.isLeaving).map((item) => item.daemonId);
  return schemas.rankByKey(`relay/${availabilityZone}`, staying);
}
