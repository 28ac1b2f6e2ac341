import type * as placementSpecs from './placement-spec.js';

/**
 * Weight of an engine or a backup in another availability zone than the caller's entry host, as a
 * share of memory. When a zone is cut off, every stream that crosses its border is lost: 13 of 36
 * running long generations when they were placed over three zones by load alone. Engines of the
 * caller's zone are passed over when they are fuller by this much, so a zone with few engines does
 * not starve its callers.
 */
const CROSS_ZONE_WEIGHT = 0.5;

/**
 * Returns the penalty for the distance between an engine and a generation's caller, as a share of
 * memory.
 */
export function getCrossZonePenalty(
  engine: placementSpecs.LedgerEngine,
  spec: placementSpecs.PlacementSpec,
): number {
  return engine.availabilityZone === spec.availabilityZone ? 0 : CROSS_ZONE_WEIGHT;
}
