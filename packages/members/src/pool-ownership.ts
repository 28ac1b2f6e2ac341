import * as schemas from '@bramleyridge/schemas';

/** The host that owns the queue and the capacity accounting of a pool; `undefined` if no member is live. */
export function findPoolOwner(
  availabilityZone: string,
  model: string,
  members: readonly schemas.Member[],
): schemas.Member | undefined {
  return findOwner(`pool/${availabilityZone}/${model}`, members);
}

/** The host that grants the sends to a limited upstream process; `undefined` if no member is live. */
export function findRateGrantor(
  availabilityZone: string,
  processId: string,
  members: readonly schemas.Member[],
): schemas.Member | undefined {
  return findOwner(`rate/${availabilityZone}/${processId}`, members);
}

/** The host that counts the sends of a quarantined call or part; `undefined` if no member is live. */
export function findSuspectOwner(
  availabilityZone: string,
  digest: string,
  members: readonly schemas.Member[],
): schemas.Member | undefined {
  return findOwner(`suspect/${availabilityZone}/${digest}`, members);
}

/** The preference order of a zone's hosts for the relay role. */
export function rankRelays(
  availabilityZone: string,
  members: readonly { readonly daemonId: string; readonly isLeaving: boolean }[],
): string[] {
  const staying = members.filter((item) => !item.isLeaving).map((item) => item.daemonId);
  return schemas.rankByKey(`relay/${availabilityZone}`, staying);
}

function findOwner(key: string, members: readonly schemas.Member[]): schemas.Member | undefined {
  const live = members.filter((item) => item.state === 'live');
  const [owner] = schemas.rankByKey(
    key,
    live.map((item) => item.daemonId),
  );
  return live.find((item) => item.daemonId === owner);
}
