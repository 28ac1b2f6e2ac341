import * as z from 'zod';

/** The classes of work, the most urgent first. */
export const workClass = z.enum(['interactive', 'batch']);

/** The classes of work. */
export type WorkClass = z.infer<typeof workClass>;

/** What is known of a generation when it asks for room. */
export const grantRequest = z.object({
  generation: z.string(),
  daemonId: z.string(),
  team: z.string(),
  intent: z.string(),
  workClass,
  promptTokens: z.int(),
  maxTokens: z.int(),
  prefix: z.string(),
  /** How long the request has waited already, with a former owner. */
  waitedMs: z.number(),
  /** How long it may still wait. */
  patienceMs: z.number(),
  /** Upstreams that refused it or were lost to it. */
  excluded: z.array(z.string()),
});

/** What is known of a generation when it asks for room. */
export type GrantRequest = z.infer<typeof grantRequest>;

/** A running generation, as a new owner learns it from the daemon that relays it. */
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

/** Tokens so far of some generations of one daemon. */
export const progressBatch = z.object({
  daemonId: z.string(),
  tokens: z.array(z.tuple([z.string(), z.int()])),
});

/** Tokens so far of some generations of one daemon. */
export type ProgressBatch = z.infer<typeof progressBatch>;

/** Why an upstream was chosen or a request refused. */
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

/** The decision on a request for room. */
export interface GrantDecision {
  readonly upstreamId: string | undefined;
  readonly reason: GrantReason;
  readonly queuedMs: number;
  /** The forecast share of the upstream's memory that decided, 0 to 1 and above. */
  readonly pressure: number;
  readonly retryAfterS: number;
}

/** How a team shares a pool. */
export interface TeamShare {
  readonly weight: number;
  readonly maxConcurrent: number;
  readonly maxQueued: number;
}
