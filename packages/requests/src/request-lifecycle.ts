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

/** What happens to a request. */
export type RequestEvent =
  'grant' | 'dispatch' | 'stream' | 'retry' | 'complete' | 'break' | 'refuse' | 'doubt';

const MOVES: schemas.Moves<RequestState, RequestEvent> = {
  received: { grant: 'granted', refuse: 'not-run' },
  granted: { dispatch: 'dispatched', refuse: 'not-run', retry: 'received' },
  // Only an upstream's own word, or a failure to connect, leads back from here.
  dispatched: { stream: 'streaming', retry: 'received', refuse: 'not-run', doubt: 'unknown' },
  // Once a token may have been delivered there is no way to a second generation.
  streaming: { complete: 'complete', break: 'incomplete' },
  complete: {},
  incomplete: {},
  'not-run': {},
  unknown: {},
};

/** The life of one request. */
export function createRequestLifecycle(): schemas.Lifecycle<RequestState, RequestEvent> {
  return new schemas.Lifecycle(MOVES, 'received');
}
