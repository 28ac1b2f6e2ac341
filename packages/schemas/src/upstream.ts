import * as z from 'zod';

import * as names from './names.js';

/** A back end as the platform lists it; the list lags. */
export const upstream = z.object({
  upstreamId: names.name,
  kind: z.enum(['engine', 'service']),
  service: names.name.optional(),
  availabilityZone: names.name,
  url: z.url(),
  state: z.enum(['live', 'leaving']),
  checksFencing: z.boolean().default(false),
});

/** A back end as the platform lists it. */
export type Upstream = z.infer<typeof upstream>;

/** The platform's answer to GET /v1/hosts. */
export const platformList = z.object({ upstreams: z.array(upstream) });

/** The load report of an engine, true at `at` and read later. */
export const loadReport = z.object({
  /** The engine's own clock, for the order of reports, in milliseconds. */
  at: z.number(),
  /** How old the figures were when they were sent, in milliseconds. */
  ageMs: z.number(),
  tokensTotal: z.int(),
  tokensUsed: z.int(),
  running: z.int(),
  waiting: z.int(),
  preemptions: z.int(),
  state: z.enum(['live', 'leaving']),
  models: z.array(z.object({ model: z.string(), version: z.string() })),
  /** Changes of the prefix cache, asked for with `cacheSince`; late, and with gaps. */
  cache: z
    .object({
      /** The number of the first of these events; a higher one than asked for is a gap. */
      first: z.int(),
      events: z.array(z.object({ prefix: z.string(), isStored: z.boolean() })),
    })
    .optional(),
});

/** The load report of an engine. */
export type LoadReport = z.infer<typeof loadReport>;

/** A fencing token: orders are compared by term, then by index. */
export const fencing = z.object({ term: z.int(), index: z.int() });

/** A fencing token. */
export type Fencing = z.infer<typeof fencing>;

/** An order to an engine. */
export const order = z.object({
  orderId: z.string(),
  fencing,
  action: z.enum(['load', 'unload']),
  model: names.name,
  version: names.name,
});

/** An order to an engine. */
export type Order = z.infer<typeof order>;
