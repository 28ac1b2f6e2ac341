import * as z from 'zod';

import * as httpUrls from './http-url.js';
import * as names from './names.js';

/** An upstream as listed by the platform; the list lags behind the actual state. */
export const upstream = z.object({
  upstreamId: names.name,
  kind: z.enum(['engine', 'service']),
  service: names.name.optional(),
  availabilityZone: names.name,
  url: httpUrls.httpUrl,
  state: z.enum(['live', 'leaving']),
  checksFencing: z.boolean().default(false),
});

/** An upstream as listed by the platform. */
export type Upstream = z.infer<typeof upstream>;

/** Response of the platform to GET /v1/hosts. Its entries are parsed one by one, since one may be unreadable. */
export const platformList = z.object({ upstreams: z.array(z.unknown()) });

/** Load report of an engine, as of the time `at`; it is read later. */
export const loadReport = z.object({
  /** Time on the engine's clock, which orders its reports, in milliseconds. */
  at: z.number(),
  /** Age of the figures when they were sent, in milliseconds. */
  ageMs: z.number(),
  tokensTotal: z.int(),
  tokensUsed: z.int(),
  running: z.int(),
  waiting: z.int(),
  preemptions: z.int(),
  state: z.enum(['live', 'leaving']),
  models: z.array(z.object({ model: z.string(), version: z.string() })),
  /** Changes of the prefix cache, requested with `cacheSince`; they may be late and incomplete. */
  cache: z
    .object({
      /** Number of the first of these events; if it is higher than requested, events are missing. */
      first: z.int(),
      events: z.array(z.object({ prefix: z.string(), isStored: z.boolean() })),
    })
    .optional(),
});

/** Load report of an engine. */
export type LoadReport = z.infer<typeof loadReport>;

/** A fencing token; orders are compared by term, then by index. */
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
