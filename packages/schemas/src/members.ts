import * as z from 'zod';

import * as control from './control.js';
import * as upstreams from './upstream.js';

/** The states of a daemon in the eyes of its zone. */
export const memberState = z.enum(['live', 'suspect', 'leaving', 'gone']);

/** The states of a daemon in the eyes of its zone. */
export type MemberState = z.infer<typeof memberState>;

/** What a daemon says of itself with each heartbeat; a restarted process is a new incarnation. */
export const beat = z.object({
  daemonId: z.string(),
  incarnation: z.number(),
  availabilityZone: z.string(),
  host: z.string(),
  peerPort: z.int(),
  callerPort: z.int(),
  isLeaving: z.boolean(),
  revision: z.int(),
});

/** What a daemon says of itself with each heartbeat. */
export type Beat = z.infer<typeof beat>;

/** A daemon in a zone's list. */
export const member = beat.extend({ state: memberState });

/** A daemon in a zone's list. */
export type Member = z.infer<typeof member>;

/** The daemons and upstreams of one zone, as its relay sees them; `stamp` changes with the content. */
export const directory = z.object({
  stamp: z.string(),
  availabilityZone: z.string(),
  members: z.array(member),
  upstreams: z.array(upstreams.upstream),
  /** Whether the relay has read the platform's list; daemons of the version before tell a directory only with one. */
  hasList: z.boolean().default(true),
});

/** The daemons and upstreams of one zone. */
export type Directory = z.infer<typeof directory>;

/** Where callers find each zone, for redirects. */
export const zoneEntries = z.object({
  stamp: z.string(),
  urls: z.record(z.string(), z.array(z.string())),
});

/** Where callers find each zone, for redirects. */
export type ZoneEntries = z.infer<typeof zoneEntries>;

/** A heartbeat that is answered at once when there is news, or after `waitMs` when there is none. */
export const syncReq = z.object({
  from: z.string(),
  incarnation: z.number(),
  availabilityZone: z.string(),
  /** Beats that changed since the receiver last answered; all of them after it asked. */
  beats: z.array(beat),
  isWhole: z.boolean(),
  /** Daemons that the sender reported before and no longer hears. */
  dropped: z.array(z.string()),
  revision: z.int(),
  directoryStamp: z.string(),
  entriesStamp: z.string(),
  waitMs: z.int(),
  /** Sent when the receiver said that it is behind. */
  configuration: control.configuration.optional(),
});

/** A heartbeat. */
export type SyncReq = z.infer<typeof syncReq>;

/** The answer to a heartbeat: only what the sender lacks. */
export const syncRes = z.object({
  revision: z.int(),
  deltas: z.array(control.delta).optional(),
  configuration: control.configuration.optional(),
  directory: directory.optional(),
  entries: zoneEntries.optional(),
  /** How long ago a leader vouched that `revision` is the newest, in milliseconds. */
  ageMs: z.number(),
  leader: z.string().optional(),
  needsBeats: z.boolean(),
  needsConfiguration: z.boolean(),
});

/** The answer to a heartbeat. */
export type SyncRes = z.infer<typeof syncRes>;
