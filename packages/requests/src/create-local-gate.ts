import type * as schemas from '@bramleyridge/schemas';

import * as leaderlessRateShares from './leaderless-rate-share.js';
import * as upstreamGates from './upstream-gate.js';

/** Creates the gate of a process that is the only one to send calls to its upstreams. */
export function createLocalGate(
  clock: schemas.Clock,
  log: schemas.Log,
): upstreamGates.UpstreamGate {
  return new upstreamGates.UpstreamGate({
    grantor: { requestGrant: () => Promise.resolve(undefined), reportLimit: () => {} },
    share: new leaderlessRateShares.LeaderlessRateShare('local', () => 1),
    clock,
    log,
    random: Math.random,
    count: () => {},
  });
}
