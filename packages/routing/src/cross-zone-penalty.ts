import type * as placeNeeds from './placement-spec.js';

/**
 * How much an engine or a copy in another availability zone than the caller's entry host weighs, as a share of
 * memory. A zone that is cut off takes with it every stream that crosses its border: 13 of 36 drafts under way, when
 * they were placed by load alone over three zones. Engines of one zone are left for others when they are this
 * much fuller, so a zone whose engines are few does not starve its callers.
 */
const FAR_WEIGHT = 0.5;

/** How much fuller an engine counts for its distance from a generation's caller, as a share of memory. */
export function getCrossZonePenalty(
  engine: placeNeeds.LedgerEngine,
  need: placeNeeds.PlacementSpec,
): number {
  return engine.availabilityZone === need.availabilityZone ? 0 : FAR_WEIGHT;
}
