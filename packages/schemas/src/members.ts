import * as z from 'zod';

import * as httpUrls from './http-url.js';
import * as names from './names.js';
import * as upstreams from './upstream.js';

/** States of a daemon as determined by its zone's relay. */
export const memberState = z.enum(['live', 'suspect', 'leaving', 'gone']);

/** States of a daemon as determined by its zone's relay. */
export type MemberState = z.infer<typeof memberState>;

/** A daemon's report about itself, sent with each heartbeat; a restarted process has a new incarnation. */
export const heartbeat = z.object({
  daemonId: z.string(),
  incarnation: z.number(),
  availabilityZone: z.string(),
  host: httpUrls.host,
  peerPort: names.port,
  callerPort: names.port,
  isLeaving: z.boolean(),
  revision: z.int(),
});

/** A daemon's report about itself, sent with each heartbeat. */
export type Heartbeat = z.infer<typeof heartbeat>;

/** A daemon in the directory of a zone. */
export const member = heartbeat.extend({ state: memberState });

/** A daemon in the directory of a zone. */
export type Member = z.infer<typeof member>;

/** The daemons and upstreams of one zone, as compiled by its relay; `stamp` changes with the content. */
export const directory = z.object({
  stamp: z.string(),
  availabilityZone: z.string(),
  members: z.array(member),
  upstreams: z.array(upstreams.upstream),
  /**
   * Whether the relay has read the platform's list. Daemons of the previous version send a directory only after that.
   */
  hasList: z.boolean().default(true),
});

/** The daemons and upstreams of one zone. */
export type Directory = z.infer<typeof directory>;

/** URLs at which callers reach each zone, for redirects. */
export const zoneEntries = z.object({
  stamp: z.string(),
  urls: z.record(z.string(), z.array(z.string())),
});

/** URLs at which callers reach each zone, for redirects. */
export type ZoneEntries = z.infer<typeof zoneEntries>;
