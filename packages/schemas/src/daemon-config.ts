import * as z from 'zod';

import * as httpUrls from './http-url.js';
import * as names from './names.js';

/** Identity and addresses of a daemon of the deployment, for its peers. */
export const daemonEntry = z.strictObject({
  daemonId: names.name,
  availabilityZone: names.name,
  host: z.string().min(1),
  peerPort: names.port,
  callerPort: names.port,
  voter: z.boolean().default(false),
});

/** Identity and addresses of a daemon of the deployment, for its peers. */
export type DaemonEntry = z.infer<typeof daemonEntry>;

const operatorToken = z.strictObject({ operator: names.name, sha256: names.sha256 });

const limits = z.strictObject({
  /** Connections of callers and operators, and of other daemons. */
  connections: z.int().min(16).default(1_024),
  peerConnections: z.int().min(16).default(768),
  /** Requests of one connection that are not answered. */
  requestsPerConnection: z.int().min(1).default(32),
  /** Memory of the heads of requests that are not answered, in bytes; beyond it, large ones are given up. */
  headBytes: z.int().min(65_536).default(16_777_216),
  /** Time for which a caller may neither finish a request nor take its answer, in milliseconds. */
  stallMs: z.int().min(1_000).default(60_000),
  /** Bytes held for calls, beyond which new ones are refused; unfinished bodies have three quarters of it. */
  heldBytes: z.int().min(65_536).default(33_554_432),
  /** Calls with a key whose answers are remembered, and claims of keys; shares of the heap if absent. */
  keyedCalls: z.int().min(16).optional(),
  claims: z.int().min(16).optional(),
  bodyBytes: z.int().min(1024).default(4_194_304),
  bodyTimeoutMs: z.int().min(100).default(10_000),
  queueMs: z.int().min(100).default(60_000),
  callerGraceMs: z.int().min(0).default(15_000),
  /** Maximum duration of a planned stop, in milliseconds. */
  stopMs: z.int().min(4_000).max(86_400_000).default(3_600_000),
  upstreamSilenceMs: z.int().min(50).default(5_000),
  upstreamConnectMs: z.int().min(50).default(1_000),
});

const timings = z.strictObject({
  heartbeatMs: z.int().min(20).default(2_000),
  suspectMs: z.int().min(50).default(5_000),
  electionMs: z.int().min(30).default(1_000),
  leaseMs: z.int().min(20).default(750),
  reportMs: z.int().min(20).default(500),
  peerDeadlineMs: z.int().min(20).default(1_000),
  claimDeadlineMs: z.int().min(20).default(1_500),
});

/** Settings of a daemon. */
export const daemonConfig = z
  .strictObject({
    daemonId: names.name,
    region: names.name.default('default'),
    availabilityZone: names.name,
    host: z.string().min(1).default('127.0.0.1'),
    callerPort: names.port,
    peerPort: names.port,
    voter: z.boolean().default(false),
    dataFolder: z.string().min(1).optional(),
    peers: z.array(daemonEntry).default([]),
    claimSeats: z.array(names.name).default([]),
    keysFile: z.string().min(1),
    operators: z.array(operatorToken).min(1),
    platformUrl: httpUrls.httpUrl.optional(),
    statsd: z.strictObject({ host: z.string(), port: names.port }).optional(),
    logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    limits: limits.prefault({}),
    timings: timings.prefault({}),
  })
  .refine((cfg) => !cfg.voter || cfg.dataFolder !== undefined, {
    path: ['dataFolder'],
    message: 'a voter needs a data folder',
  })
  .refine((cfg) => cfg.timings.leaseMs < cfg.timings.electionMs, {
    path: ['timings', 'leaseMs'],
    message: 'the lease must be shorter than the election timeout',
  });

/** Settings of a daemon. */
export type DaemonConfig = z.infer<typeof daemonConfig>;

/** Pre-shared keys of the connections between daemons, in base64, and the name of the key for new connections. */
export const keyFile = z
  .strictObject({
    active: names.name,
    keys: z.record(names.name, z.base64()),
  })
  .refine((file) => file.keys[file.active] !== undefined, {
    path: ['active'],
    message: 'names no key of this file',
  });

/** Pre-shared keys of the connections between daemons. */
export type KeyFile = z.infer<typeof keyFile>;
