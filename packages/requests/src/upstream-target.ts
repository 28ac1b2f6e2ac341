import type * as schemas from '@bramleyridge/schemas';

import type * as upstreamGates from './upstream-gate.js';

const DEFAULT_PORTS: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' };

/** The upstream to which a call is sent. */
export interface UpstreamTarget extends upstreamGates.GatedUpstream {
  /** Host and port. */
  readonly address: string;
  /** Scheme, host and port. */
  readonly origin: string;
}

/** Returns where an upstream that is listed by its URL receives calls. */
export function createTarget({
  service,
  upstreamId,
  url,
}: Pick<schemas.Upstream, 'service' | 'upstreamId' | 'url'>): UpstreamTarget {
  const { hostname, origin, port, protocol } = new URL(url);
  const address = `${hostname}:${port === '' ? DEFAULT_PORTS[protocol] : port}`;
  return { upstreamId, service, address, origin };
}
