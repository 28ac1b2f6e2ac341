import type * as schemas from '@bramleyridge/schemas';

/** Creates an engine as a list contains it, with some fields replaced. */
export function createListedUpstream(
  upstreamId: string,
  overrides: Partial<schemas.ListedUpstream> = {},
): schemas.ListedUpstream {
  return {
    upstreamId,
    service: 'engines',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    isLeaving: false,
    slots: 4,
    coldMs: 0,
    ...overrides,
  };
}
