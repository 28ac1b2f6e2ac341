import type * as callSpecs from './call-spec.js';
import type * as shareRequests from './share-request.js';

/** A call that waits for a slot, or is about to. */
export interface WaitingCall extends shareRequests.ShareRequest {
  readonly spec: callSpecs.CallSpec;
  readonly submittedAt: number;
}
