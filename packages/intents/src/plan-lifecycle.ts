import * as schemas from '@bramleyridge/schemas';

/** Events of a plan. */
export type PlanEvent = 'confirm' | 'supersede' | 'expire';

const TRANSITIONS: schemas.Transitions<schemas.PlanStatus, PlanEvent> = {
  planned: { confirm: 'confirmed', supersede: 'superseded', expire: 'expired' },
  confirmed: {},
  superseded: {},
  expired: {},
};

/** The lifecycle of a plan, starting from a stored status. */
export function createPlanLifecycle(
  status: schemas.PlanStatus,
): schemas.Lifecycle<schemas.PlanStatus, PlanEvent> {
  return new schemas.Lifecycle(TRANSITIONS, status);
}
