import * as scheduling from '@bramleyridge/scheduling';
import * as z from 'zod';

/** Maximum plausible time of an answer, in milliseconds; far beyond the deadlines of calls. */
const MAX_TOOK_MS = 3_600_000;

/** How the send for which a slot was taken ended; `unused` if nothing was sent. */
export const slotResult = z.enum(['answered', 'failed', 'not-run', 'unused']);

/** Request for a slot at an upstream of a plain service, for one send of a call. */
export const slotReq = z.object({
  hostId: z.string(),
  /** Identifies the process of the host; a restarted host has another one, and none of the former calls. */
  incarnation: z.string(),
  service: z.string(),
  /** Unique for each send. */
  callId: z.string(),
  team: z.string().optional(),
  /** Priority; 0 is served first. */
  priority: z.int(),
  availabilityZone: z.string(),
  /** Time until the answer is due, in milliseconds; negative if it is overdue. */
  dueInMs: z.number(),
  /** Time until the deadline of the call, in milliseconds. */
  leftMs: z.number(),
  /** Upstreams that must not be used for it. */
  excluded: z.array(z.string()).readonly(),
});

/** Answer to the request for a slot: an upstream, a refusal, or neither if the call waits or the leader can't decide. */
export const slotRes = z.object({
  upstreamId: z.string().optional(),
  waitedMs: z.number(),
  /** Time that the call is expected to take there, in milliseconds, and the slowdown that the upstream stated. */
  expectedMs: z.number().optional(),
  slowdown: z.number().optional(),
  refused: z
    .object({ reason: z.enum(['no-time', 'no-upstream']), retryAfterMs: z.number() })
    .optional(),
  /** Set if the leader has not read the list of upstreams, or lacks the service. */
  isUnknown: z.boolean().optional(),
  /** Set while the call waits for a slot; its host repeats the request. */
  isQueued: z.boolean().optional(),
});

/** Return of a slot, or withdrawal of a request that still waits for one. */
export const slotRelease = z.object({
  service: z.string(),
  callId: z.string(),
  result: slotResult,
  /** Time from the send to the end of the answer, in milliseconds; NaN if invalid, since the slot is freed regardless. */
  tookMs: z.number().min(0).max(MAX_TOOK_MS).catch(NaN),
  /** Load that the upstream stated with the answer; invalid figures are dropped. */
  load: scheduling.statedLoad.optional().catch(undefined),
  /** Whether an answer began; not set if that shows nothing about the upstream, and by hosts of the previous version. */
  hasAnswered: z.boolean().optional().catch(undefined),
});

/** The calls of a host that hold slots, for a leader that does not know them. */
export const slotReport = z.object({
  hostId: z.string(),
  incarnation: z.string(),
  calls: z.array(
    z.object({
      service: z.string(),
      callId: z.string(),
      upstreamId: z.string(),
      leftMs: z.number(),
    }),
  ),
});

/** How the send for which a slot was taken ended. */
export type SlotResult = z.infer<typeof slotResult>;
/** Request for a slot. */
export type SlotReq = z.infer<typeof slotReq>;
/** Answer to the request for a slot. */
export type SlotRes = z.infer<typeof slotRes>;
/** Return of a slot. */
export type SlotRelease = z.infer<typeof slotRelease>;
/** The calls of a host that hold slots. */
export type SlotReport = z.infer<typeof slotReport>;
