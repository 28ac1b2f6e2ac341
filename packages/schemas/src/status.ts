import * as z from 'zod';

import * as control from './control.js';

const voterStatus = z.object({
  daemonId: z.string(),
  match: z.int(),
  /** Time since the voter's last answer, in milliseconds. */
  silentMs: z.number(),
});

const hostStatus = z.object({
  daemonId: z.string(),
  revision: z.int(),
  url: z.string(),
  isLeaving: z.boolean(),
});

const zoneStatus = z.object({
  availabilityZone: z.string(),
  /** Time since the last heartbeat of the zone's relay, in milliseconds; -1 if there was none. */
  silentMs: z.number(),
  isInForce: z.boolean(),
  hosts: z.array(hostStatus),
});

/** The leader's status report for operators. */
export const statusReport = z.object({
  leader: z.string(),
  term: z.int(),
  revision: z.int(),
  claimSeats: z.array(control.claimAcceptorSlot),
  voters: z.array(voterStatus),
  zones: z.array(zoneStatus),
  plans: z.array(control.plan),
  upstreams: z.array(
    z.object({
      upstreamId: z.string(),
      availabilityZone: z.string(),
      models: z.array(z.string()),
    }),
  ),
});

/** The leader's status report for operators. */
export type StatusReport = z.infer<typeof statusReport>;
