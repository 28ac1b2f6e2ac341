import * as schemas from '@bramleyridge/schemas';

import * as upstreamLinks from './upstream-links.js';

/** Creates links over this host's own paths only, for programs without other hosts. */
export function createOwnLinks(
  options: Pick<upstreamLinks.UpstreamLinksOptions, 'connectMs' | 'connections' | 'dialer'>,
): upstreamLinks.UpstreamLinks {
  return new upstreamLinks.UpstreamLinks({
    ...options,
    availabilityZone: '',
    relays: { listHosts: () => [], listReserves: () => [] },
    findProbe: () => undefined,
    clock: new schemas.SystemClock(),
    log: new schemas.SilentLog(),
    random: Math.random,
  });
}
