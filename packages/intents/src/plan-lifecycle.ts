import * as schemas from '@bramleyridge/schemas';

/** What happens to a plan. */
export type PlanEvent = 'confirm' | 'supersede' | 'expire';

const MOVES: schemas.Moves<schemas.PlanStatus, PlanEvent> = {
  planned: { confirm: 'confirmed', supersede: 'superseded', expire: 'expired' },
  confirmed: {},
  superseded: {},
  expired: {},
};

/** The life of a plan, from a stored status on. */
export function createPlanLifecycle(
  status: schemas.PlanStatus,
): schemas.Lifecycle<schemas.PlanStatus, PlanEvent> {
  return new schemas.Lifecycle(MOVES, status);
}
