import * as z from 'zod';

/** The classes of work, the most urgent first. */
export const workClass = z.enum(['interactive', 'batch']);

/** A class of work. */
export type WorkClass = z.infer<typeof workClass>;

/** A request for capacity for a generation. */
export const grantRequest = z.object({
  generation: z.string(),
  daemonId: z.string(),
  team: z.string(),
  intent: z.string(),
  workClass,
  promptTokens: z.int(),
  maxTokens: z.int(),
  prefix: z.string(),
  /** How long the request has already waited at a former owner, in milliseconds. */
  waitedMs: z.number(),
  /** How long it may still wait, in milliseconds. */
  patienceMs: z.number(),
  /** Upstreams that refused it or failed during it. */
  excluded: z.array(z.string()),
});

/** A request for capacity for a generation. */
export type GrantRequest = z.infer<typeof grantRequest>;

/** A running generation, as reported to a new owner by the daemon that relays it. */
export const runningGeneration = z.object({
  generation: z.string(),
  daemonId: z.string(),
  upstreamId: z.string(),
  team: z.string(),
  intent: z.string(),
  workClass,
  promptTokens: z.int(),
  maxTokens: z.int(),
  tokens: z.int(),
});

/** A running generation. */
export type RunningGeneration = z.infer<typeof runningGeneration>;

/** Token counts of some generations of one daemon. */
export const progressBatch = z.object({
  daemonId: z.string(),
  tokens: z.array(z.tuple([z.string(), z.int()])),
});

/** Token counts of some generations of one daemon. */
export type ProgressBatch = z.infer<typeof progressBatch>;

/** The reason for the choice of an upstream or for a refusal. */
export type GrantReason =
  | 'room'
  | 'prefix'
  | 'idle'
  | 'urgent'
  | 'two-choices'
  | 'queue-full'
  | 'too-many'
  | 'patience'
  | 'excluded'
  | 'no-upstream';

/** The decision on a request for capacity. */
export interface GrantDecision {
  readonly upstreamId: string | undefined;
  readonly reason: GrantReason;
  readonly queuedMs: number;
  /** The forecast share of the upstream's memory that led to the decision, 0 to 1 and above. */
  readonly pressure: number;
  readonly retryAfterS: number;
}

/** A team's share of a pool. */
export interface TeamShare {
  readonly weight: number;
  readonly maxConcurrent: number;
  readonly maxQueued: number;
}
