import * as schemas from '@bramleyridge/schemas';

/** The states of a request in its daemon. */
export type RequestState =
  | 'received'
  | 'granted'
  | 'dispatched'
  | 'streaming'
  | 'complete'
  | 'incomplete'
  | 'not-run'
  | 'unknown';

/** The events that change the state of a request. */
export type RequestEvent =
  'grant' | 'dispatch' | 'stream' | 'retry' | 'complete' | 'break' | 'refuse' | 'doubt';

const TRANSITIONS: schemas.Transitions<RequestState, RequestEvent> = {
  received: { grant: 'granted', refuse: 'not-run' },
  granted: { dispatch: 'dispatched', refuse: 'not-run', retry: 'received' },
  // Returns to an earlier state only if the call did not run, or if it may be repeated and its run is gone; nothing was
  // delivered.
  dispatched: { stream: 'streaming', retry: 'received', refuse: 'not-run', doubt: 'unknown' },
  // A token may have been delivered, so no second generation may be started.
  streaming: { complete: 'complete', break: 'incomplete' },
  complete: {},
  incomplete: {},
  'not-run': {},
  unknown: {},
};

/** Creates the state machine of one request. */
export function createRequestLifecycle(): schemas.Lifecycle<RequestState, RequestEvent> {
  return new schemas.Lifecycle(TRANSITIONS, 'received');
}
