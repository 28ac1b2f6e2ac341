import * as schemas from '@bramleyridge/schemas';

/** A version of a model on an upstream. */
export interface ModelReplica {
  readonly upstreamId: string;
  readonly model: string;
  readonly version: string;
}

/** What an engine was last seen to hold. */
export interface ObservedUpstream {
  readonly upstream: schemas.Upstream;
  readonly isLeaving: boolean;
  readonly models: readonly { readonly model: string; readonly version: string }[];
}

/** A step towards what is desired. */
export interface ReconcileStep {
  readonly action: schemas.Order['action'];
  readonly slot: ModelReplica;
  readonly reason: string;
}

/** Where each intent's model version should be; upstreams that hold it already come first. */
export function getDesiredReplicas(
  declaration: schemas.Declaration,
  observed: readonly ObservedUpstream[],
): ModelReplica[] {
  const usable = observed.filter((item) => item.upstream.kind === 'engine' && !item.isLeaving);
  const slots = declaration.intents.flatMap((intent) =>
    intent.availabilityZones.flatMap((zone) => {
      const inZone = usable.filter((item) => item.upstream.availabilityZone === zone);
      return chooseUpstreams(intent, inZone).map((upstreamId) => ({
        upstreamId,
        model: intent.model,
        version: intent.version,
      }));
    }),
  );
  const byKey = new Map(slots.map((slot) => [getReplicaKey(slot), slot]));
  return [...byKey.values()];
}

/**
 * The steps from what is seen to what is desired. They follow from the last state alone, so a leader that
 * comes back to hundreds of changes never sends the orders that led there. A version that is not wanted
 * stays until the wanted one of the same model is seen in the zone, so that there is always one to serve.
 */
export function planReconcileSteps(
  desired: readonly ModelReplica[],
  observed: readonly ObservedUpstream[],
): ReconcileStep[] {
  const wanted = new Set(desired.map(getReplicaKey));
  const seen = observed.flatMap((item) =>
    item.models.map((held) => ({ upstreamId: item.upstream.upstreamId, ...held })),
  );
  const held = new Set(seen.map(getReplicaKey));
  const zones = new Map(
    observed.map((item) => [item.upstream.upstreamId, item.upstream.availabilityZone]),
  );
  const loads = desired
    .filter((slot) => !held.has(getReplicaKey(slot)))
    .map((slot) => ({ action: 'load' as const, slot, reason: 'wanted and not seen' }));
  // An upstream that leaves ends by itself; an order would only disturb what it still runs.
  const leaving = new Set(
    observed.filter((item) => item.isLeaving).map((item) => item.upstream.upstreamId),
  );
  const unloads = seen
    .filter((slot) => !leaving.has(slot.upstreamId))
    .filter((slot) => !wanted.has(getReplicaKey(slot)))
    .filter((slot) => isReplaced(slot, desired, held, zones))
    .map((slot) => ({ action: 'unload' as const, slot, reason: 'not wanted and replaced' }));
  return [...loads, ...unloads];
}

/** One slot as a text. */
export function getReplicaKey(slot: ModelReplica): string {
  return `${slot.upstreamId}/${slot.model}:${slot.version}`;
}

function chooseUpstreams(intent: schemas.Intent, inZone: readonly ObservedUpstream[]): string[] {
  const ranked = schemas.rankByKey(
    `placement/${intent.model}`,
    inZone.map((item) => item.upstream.upstreamId),
  );
  const holders = new Set(
    inZone
      .filter((item) => item.models.some((held) => held.model === intent.model))
      .map((item) => item.upstream.upstreamId),
  );
  const first = ranked.filter((id) => holders.has(id));
  const rest = ranked.filter((id) => !holders.has(id));
  return [...first, ...rest].slice(0, intent.upstreamsPerZone);
}

function isReplaced(
  slot: ModelReplica,
  desired: readonly ModelReplica[],
  held: ReadonlySet<string>,
  zones: ReadonlyMap<string, string>,
): boolean {
  const zone = zones.get(slot.upstreamId);
  const successors = desired.filter(
    (other) => other.model === slot.model && zones.get(other.upstreamId) === zone,
  );
  return successors.every((other) => held.has(getReplicaKey(other)));
}
