import * as schemas from '@bramleyridge/schemas';

/** A version of a model on an upstream. */
export interface ModelReplica {
  readonly upstreamId: string;
  readonly model: string;
  readonly version: string;
}

/** The models that an engine reported last. */
export interface ObservedUpstream {
  readonly upstream: schemas.Upstream;
  readonly isLeaving: boolean;
  readonly models: readonly { readonly model: string; readonly version: string }[];
}

/** A step from the observed state to the desired state. */
export interface ReconcileStep {
  readonly action: schemas.Order['action'];
  readonly slot: ModelReplica;
  readonly reason: string;
}

/**
 * Returns where each intent's model version should be loaded, preferring upstreams that have a version of the model
 * loaded.
 */
export function getDesiredReplicas(
  declaration: schemas.Declaration,
  observed: readonly ObservedUpstream[],
): ModelReplica[] {
  const usable = observed.filter((item) => item.upstream.kind === 'engine' && !item.isLeaving);
  const replicas = declaration.intents.flatMap((intent) =>
    intent.availabilityZones.flatMap((zone) => {
      const inZone = usable.filter((item) => item.upstream.availabilityZone === zone);
      return chooseUpstreams(intent, inZone).map((upstreamId) => ({
        upstreamId,
        model: intent.model,
        version: intent.version,
      }));
    }),
  );
  const byKey = new Map(replicas.map((replica) => [getReplicaKey(replica), replica]));
  return [...byKey.values()];
}

/**
 * Returns the steps from the observed to the desired state. They depend on the latest state only, so a leader that
 * missed hundreds of changes does not send the orders of the states in between. An unwanted version stays loaded
 * until the wanted one of the same model is observed everywhere in the zone, so that there is always one to serve.
 */
export function planReconcileSteps(
  desired: readonly ModelReplica[],
  observed: readonly ObservedUpstream[],
): ReconcileStep[] {
  const wanted = new Set(desired.map(getReplicaKey));
  const observedReplicas = observed.flatMap((item) =>
    item.models.map((model) => ({ upstreamId: item.upstream.upstreamId, ...model })),
  );
  const loaded = new Set(observedReplicas.map(getReplicaKey));
  const zones = new Map(
    observed.map((item) => [item.upstream.upstreamId, item.upstream.availabilityZone]),
  );
  const loads = desired
    .filter((replica) => !loaded.has(getReplicaKey(replica)))
    .map((replica) => ({ action: 'load' as const, slot: replica, reason: 'wanted and not seen' }));
  // A leaving upstream exits by itself; an order would only disturb its running generations.
  const leaving = new Set(
    observed.filter((item) => item.isLeaving).map((item) => item.upstream.upstreamId),
  );
  const unloads = observedReplicas
    .filter((replica) => !leaving.has(replica.upstreamId))
    .filter((replica) => !wanted.has(getReplicaKey(replica)))
    .filter((replica) => isReplaced(replica, desired, loaded, zones))
    .map((replica) => ({
      action: 'unload' as const,
      slot: replica,
      reason: 'not wanted and replaced',
    }));
  return [...loads, ...unloads];
}

/** Returns a text that identifies a replica. */
export function getReplicaKey(replica: ModelReplica): string {
  return `${replica.upstreamId}/${replica.model}:${replica.version}`;
}

function chooseUpstreams(intent: schemas.Intent, inZone: readonly ObservedUpstream[]): string[] {
  const ranked = schemas.rankByKey(
    `placement/${intent.model}`,
    inZone.map((item) => item.upstream.upstreamId),
  );
  const loadedOn = new Set(
    inZone
      .filter((item) => item.models.some((loaded) => loaded.model === intent.model))
      .map((item) => item.upstream.upstreamId),
  );
  const first = ranked.filter((id) => loadedOn.has(id));
  const rest = ranked.filter((id) => !loadedOn.has(id));
  return [...first, ...rest].slice(0, intent.upstreamsPerZone);
}

function isReplaced(
  replica: ModelReplica,
  desired: readonly ModelReplica[],
  loaded: ReadonlySet<string>,
  zones: ReadonlyMap<string, string>,
): boolean {
  const zone = zones.get(replica.upstreamId);
  const successors = desired.filter(
    (other) => other.model === replica.model && zones.get(other.upstreamId) === zone,
  );
  return successors.every((other) => loaded.has(getReplicaKey(other)));
}
