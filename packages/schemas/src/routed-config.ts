import * as z from 'zod';

/** Whether calls of a route may run again: `idempotent` any number of times, `once` at most once. */
export const repeatability = z.enum(['idempotent', 'once']);

/** A service that receives a weighted share of a route's calls. */
export const routeTarget = z.object({ service: z.string(), weight: z.number().min(0) });

/** The services for calls with a host name and path prefix, and the rules for these calls. */
export const route = z.object({
  name: z.string(),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/'),
  repeatability,
  /** Whether answers are event streams, forwarded as the events arrive. */
  isStream: z.boolean(),
  /** Whether calls are generations on engines, with headers for their tokens and prefixes. */
  isGeneration: z.boolean(),
  /** Maximum time until a call is answered, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Latency target of an answer, or of a stream's first event, in milliseconds. */
  targetMs: z.number().min(0),
  /** Latency target between two events of a stream, in milliseconds. */
  gapTargetMs: z.number().min(0).optional(),
  /** Priority among routes; 0 is the highest. */
  urgency: z.int().min(0),
  /** Maximum number of upstreams on which one call may run. */
  maxRuns: z.int().min(1),
  /** Regions whose upstreams may run its calls; `undefined` for all. */
  regions: z.array(z.string()).min(1).optional(),
  /** Whether calls need no key. */
  isPublic: z.boolean(),
  targets: z.array(routeTarget).min(1),
});

/** Properties of the engines of a service. */
export const engineFacts = z.object({
  /** Number of generations in one batch. */
  slots: z.int().min(1),
  /** KV-cache memory for prompts and answers, in tokens. */
  memoryTokens: z.int().min(1),
  /** Number of tokens in one event of a stream. */
  tokensPerEvent: z.int().min(1),
  canMove: z.boolean(),
  canBackUp: z.boolean(),
  /** Time for which engines keep a copy made on order at least, in milliseconds; `undefined` if it is not known. */
  copyTtlMs: z.number().positive().optional(),
});

/** A service to which routes send calls. */
export const routedService = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Maximum number of connections to one of its upstreams, from all hosts together. */
  connectionLimit: z.int().min(1),
  /**
   * Maximum calls per second to one of its upstreams while it is cold, from all hosts together; `undefined` for no
   * limit.
   */
  coldCallsPerS: z.number().positive().optional(),
  engine: engineFacts.optional(),
});

/** Limits of the size and duration of callers' requests. */
export const callerLimits = z.object({
  headerBytes: z.int().min(1),
  bodyBytes: z.int().min(0),
  headerTimeoutMs: z.int().min(1),
  idleTimeoutMs: z.int().min(1),
});

/** A team and the keys that authenticate its calls. */
export const keyedTeam = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Overrides the route's priority if set; 0 is the highest. */
  urgency: z.int().min(0).optional(),
  /** Weight of its share of scarce capacity relative to other teams; 1 if not set. */
  weight: z.number().positive().optional(),
  /** Regions whose upstreams may run its calls; `undefined` for all. */
  regions: z.array(z.string()).min(1).optional(),
});

/** The operator's complete configuration of routed traffic; the operator chooses its version number. */
export const routedConfig = z.object({
  version: z.int().min(0),
  routes: z.array(route),
  services: z.array(routedService),
  limits: callerLimits,
  /** `undefined` if calls are not authenticated by keys. */
  teams: z.array(keyedTeam).optional(),
});

/** The services for calls with a host name and path prefix, and the rules for these calls. */
export type Route = z.infer<typeof route>;
/** A service to which routes send calls. */
export type RoutedService = z.infer<typeof routedService>;
/** Properties of the engines of a service. */
export type EngineFacts = z.infer<typeof engineFacts>;
/** Limits of the size and duration of callers' requests. */
export type CallerLimits = z.infer<typeof callerLimits>;
/** A team and its keys. */
export type KeyedTeam = z.infer<typeof keyedTeam>;
/** The operator's complete configuration of routed traffic. */
export type RoutedConfig = z.infer<typeof routedConfig>;
