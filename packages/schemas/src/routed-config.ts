import * as z from 'zod';

/** Whether the calls of a route may be run again: any number of times, or once at most. */
export const repeatability = z.enum(['idempotent', 'once']);

/** A share of a route's calls that goes to one service. */
export const routeTarget = z.object({ service: z.string(), weight: z.number().min(0) });

/** Where the calls of one host and path prefix go, and how they are treated. */
export const route = z.object({
  name: z.string(),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/'),
  repeatability,
  /** Whether answers are streams of events that are passed on as they arrive. */
  isStream: z.boolean(),
  /** Whether calls are generations on engines, and tell their tokens and prefixes. */
  isGeneration: z.boolean(),
  /** The longest time a caller is kept waiting, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Within which an answer, or a stream's first event, is on time, in milliseconds. */
  targetMs: z.number().min(0),
  /** The longest pause between two events that is on time, in milliseconds. */
  gapTargetMs: z.number().min(0).optional(),
  /** The rank among routes; 0 goes first. */
  urgency: z.int().min(0),
  /** On how many upstreams one call may run. */
  maxRuns: z.int().min(1),
  /** The regions whose upstreams may run its calls; nothing where all may. */
  regions: z.array(z.string()).min(1).optional(),
  /** Whether calls need no key. */
  isPublic: z.boolean(),
  targets: z.array(routeTarget).min(1),
});

/** What is known of the engines of a service. */
export const engineFacts = z.object({
  /** Generations in one batch. */
  slots: z.int().min(1),
  /** Memory for prompts and answers, in tokens. */
  memoryTokens: z.int().min(1),
  /** Tokens in one event of a stream. */
  tokensPerEvent: z.int().min(1),
  canMove: z.boolean(),
  canBackUp: z.boolean(),
});

/** A service that routes send to. */
export const routedService = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one of its upstreams takes from all hosts together. */
  connectionLimit: z.int().min(1),
  /** The calls a second that one of its upstreams bears while it is cold, from all hosts together; nothing for no limit. */
  coldCallsPerS: z.number().positive().optional(),
  engine: engineFacts.optional(),
});

/** What a caller may send, and how long it may take. */
export const callerLimits = z.object({
  headerBytes: z.int().min(1),
  bodyBytes: z.int().min(0),
  headerTimeoutMs: z.int().min(1),
  idleTimeoutMs: z.int().min(1),
});

/** A team and the keys that its calls carry. */
export const keyedTeam = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes the place of the route's rank where it is given; 0 goes first. */
  urgency: z.int().min(0).optional(),
  /** The regions whose upstreams may run its calls; nothing where all may. */
  regions: z.array(z.string()).min(1).optional(),
});

/** Everything that an operator declares about routed traffic, under a version of the operator's choice. */
export const routedConfig = z.object({
  version: z.int().min(0),
  routes: z.array(route),
  services: z.array(routedService),
  limits: callerLimits,
  /** Nothing when calls carry no keys at all. */
  teams: z.array(keyedTeam).optional(),
});

/** Where the calls of one host and path prefix go. */
export type Route = z.infer<typeof route>;
/** A service that routes send to. */
export type RoutedService = z.infer<typeof routedService>;
/** What is known of the engines of a service. */
export type EngineFacts = z.infer<typeof engineFacts>;
/** What a caller may send, and how long it may take. */
export type CallerLimits = z.infer<typeof callerLimits>;
/** A team and its keys. */
export type KeyedTeam = z.infer<typeof keyedTeam>;
/** Everything that an operator declares about routed traffic. */
export type RoutedConfig = z.infer<typeof routedConfig>;
