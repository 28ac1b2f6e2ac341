import type * as schemas from '@bramleyridge/schemas';

/** An engine as a list gives it, with some fields changed. */
export function createListedUpstream(
  upstreamId: string,
  change: Partial<schemas.ListedUpstream> = {},
): schemas.ListedUpstream {
  return {
    upstreamId,
    service: 'engines',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    isLeaving: false,
    slots: 4,
    coldMs: 0,
    ...change,
  };
}
