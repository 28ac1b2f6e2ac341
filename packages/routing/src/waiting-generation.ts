import type * as scheduling from '@bramleyridge/scheduling';

import type * as placementOrders from './placement-order.js';

/** A waiting generation as a request for a share of the engines' memory. */
export interface WaitingGeneration<Q extends placementOrders.QueuedPlacement>
  extends scheduling.ShareRequest {
  readonly queued: Q;
  readonly addedAt: number;
  /** Time at which one behind it was placed first; `undefined` if none was. */
  overtakenAt: number | undefined;
}
