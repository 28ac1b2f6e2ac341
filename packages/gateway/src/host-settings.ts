import * as peers from '@bramleyridge/peers';
import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** A duration, which ends up in timers. */
const duration = z.number().positive().transform(schemas.boundTimerMs);

/** The deployment's service-level bounds, from which this host derives its own times and limits. */
export const deploymentBounds = z.object({
  /** Time within which a host that can reach the others again must be up to date, in milliseconds. */
  reachMs: duration,
  /** Time within which an operator's order must be acknowledged, in milliseconds. */
  acknowledgeMs: duration,
  /** Time for which calls may still be sent to an upstream that is leaving, in milliseconds. */
  leavingMs: duration,
  /** Maximum duration of a planned stop, in milliseconds. */
  stopMs: duration,
  /** Maximum number of retries per request, for all hosts together. */
  retryRatio: z.number().min(0),
  /** Maximum number of retries beyond the ratio in one window, for all hosts together. */
  retrySlack: z.number().min(0),
  /** Length of that window, in milliseconds. */
  retryWindowMs: duration,
  /** Multiple of its declared rate that a cold upstream tolerates, and the number of calls in a second beyond that. */
  coldOverage: z.number().min(1).default(1),
  coldSlack: z.number().min(0).default(0),
});

/** Descriptors of a host whose settings don't limit them. */
const DEFAULT_DESCRIPTORS = 4_096;

/**
 * Share of the descriptors that connections of callers may use; calls need others for their upstreams, and a host without
 * any could not reach the core hosts either.
 */
const MAX_CALLER_SHARE = 0.5;

/** Shares of the descriptors that connections of operators and of other hosts may use on a core host. */
const MAX_OPERATOR_SHARE = 0.1;
const MAX_PEER_SHARE = 0.5;

/** Connections of other hosts to an entry host: twice as many as it relays at once. */
const MAX_RELAY_CONNECTIONS = 96;
const MAX_RELAY_SHARE = 0.1;

/** Descriptors of a host for its listeners, files, connections to core hosts, and checks of upstreams. */
const RESERVED_DESCRIPTORS = 100;

/** What callers may hold on an entry host. */
export const callerLimits = z.strictObject({
  /** Number of connections; half of the descriptors if absent. */
  connections: z.int().min(1).optional(),
  /** Number of requests of one connection that are not answered. */
  requestsPerConnection: z.int().min(1).default(32),
  /** Memory of the heads of requests that are not answered, in bytes; beyond it, large ones are given up. */
  headBytes: z
    .int()
    .min(65_536)
    .default(16 * 1_024 * 1_024),
  /** Time for which a caller may neither finish a request nor take its answer, in milliseconds. */
  stallMs: z.int().min(1_000).default(60_000),
  /** Number of bytes held for calls, beyond which new ones are refused; unfinished bodies have three quarters of it. */
  heldBytes: z
    .int()
    .positive()
    .default(32 * 1_024 * 1_024),
});

/** What other hosts may hold on a core host. */
export const peerLimits = z.strictObject({
  /** Number of connections; half of the descriptors if absent. */
  connections: z.int().min(1).optional(),
  /** Number of calls that are not answered, of one connection and of all. */
  callsPerConnection: z.int().min(1).default(peers.DEFAULT_PEER_LIMITS.callsPerConnection),
  calls: z.int().min(1).default(peers.DEFAULT_PEER_LIMITS.calls),
  /** Number of bytes of unfinished frames and calls. */
  heldBytes: z.int().positive().default(peers.DEFAULT_PEER_LIMITS.heldBytes),
});

/** How scarce capacity is shared among teams. */
export const capacitySharing = z.object({
  /** Weights of teams by name; override those of the configuration. */
  teamWeights: z.record(z.string(), z.number().positive()).default({}),
  /** Overrides the number of held bytes of `callerLimits`. */
  heldBytes: z.int().positive().optional(),
});

const settingsFields = z.object({
  hostId: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Region of each availability zone of the deployment; absent where the settings don't give it. */
  regions: z.record(z.string(), z.string()).optional(),
  ipAddress: schemas.ipAddress,
  /** Address for callers; on entry hosts. */
  callerAddress: schemas.listenAddress.optional(),
  /** Address of the load balancer's readiness probe; on entry hosts. */
  readyAddress: schemas.listenAddress.optional(),
  /** Address for operators; on core hosts. */
  operatorAddress: schemas.listenAddress.optional(),
  /** Address at which metrics are scraped; absent where they are not kept. */
  metricsAddress: schemas.listenAddress.optional(),
  /** Port on which core hosts listen for entry hosts and each other. */
  peerPort: z.int().min(1).max(65_535),
  /** Operator addresses of some core hosts. */
  seeds: z.array(z.string()),
  /** Whether the whole deployment starts for the first time, with empty disks. */
  isFirstStart: z.boolean(),
  dataFolder: z.string().min(1).optional(),
  /** Number of core hosts that may be lost at once. */
  lossesToBear: z.int().min(0),
  /** Address from which the list of upstreams is read. */
  listAddress: schemas.address,
  /** Maximum number of requests to that list per second, for all hosts together. */
  listCallsPerS: z.number().positive(),
  /** Number of descriptors that the process may open; absent where it is not limited. */
  fileDescriptors: z.int().positive().optional(),
  callerLimits: callerLimits.optional(),
  peerLimits: peerLimits.optional(),
  bounds: deploymentBounds,
  /** Shares scarce capacity among teams by weight; absent where calls are served in the order of their arrival. */
  capacitySharing: capacitySharing.optional(),
});

/**
 * Schema of one host's settings for routed traffic. A seed that is no address is left out, since the others are enough
 * to start with.
 */
export const hostSettings = settingsFields.transform(({ seeds, ...fields }) => {
  const isUsable = (seed: string) => schemas.address.safeParse(seed).success;
  const unusableSeeds = seeds.filter((seed) => !isUsable(seed));
  return {
    ...fields,
    seeds: seeds.filter(isUsable),
    ...(unusableSeeds.length > 0 ? { unusableSeeds } : {}),
  };
});

/** How scarce capacity is shared among teams. */
export type CapacitySharing = z.infer<typeof capacitySharing>;

/** The settings of one host for routed traffic. */
export type HostSettings = z.infer<typeof hostSettings>;

/** Source of settings, which may change while the host runs. */
export interface SettingsSource {
  read(): HostSettings;
}

/** Returns the name of a core host, which is also the address on which it listens for peers. */
export function getCoreId(ipAddress: string, peerPort: number): string {
  return `${ipAddress}:${peerPort}`;
}

/** Lists the availability zones of the deployment; `undefined` if the settings don't name them. */
export function listZones({ regions }: HostSettings): string[] | undefined {
  return regions === undefined ? undefined : Object.keys(regions);
}

/** Returns the limit of the bytes held for calls. */
export function getHeldBytesLimit(settings: HostSettings): number {
  const { heldBytes } = callerLimits.parse(settings.callerLimits ?? {});
  return settings.capacitySharing?.heldBytes ?? heldBytes;
}

/** Returns what the callers of an entry host may hold. */
export function getCallerLimits(settings: HostSettings): requests.ConnectionLimits {
  const limits = callerLimits.parse(settings.callerLimits ?? {});
  return { ...limits, connections: limits.connections ?? getShare(settings, MAX_CALLER_SHARE) };
}

/** Returns what the operators of a core host may hold; up to eight of their orders are under way at once. */
export function getOperatorLimits(settings: HostSettings): requests.ConnectionLimits {
  return {
    connections: getShare(settings, MAX_OPERATOR_SHARE),
    requestsPerConnection: 16,
    headBytes: 4 * 1_024 * 1_024,
    stallMs: 30_000,
  };
}

/** Returns what other hosts may hold on a core host. */
export function getPeerLimits(settings: HostSettings): peers.PeerLimits {
  const limits = peerLimits.parse(settings.peerLimits ?? {});
  return {
    ...peers.DEFAULT_PEER_LIMITS,
    ...limits,
    connections: limits.connections ?? getShare(settings, MAX_PEER_SHARE),
  };
}

/** Returns how many connections of other hosts an entry host takes, which relays some of them to upstreams. */
export function getRelayConnections(settings: HostSettings): number {
  return Math.min(MAX_RELAY_CONNECTIONS, getShare(settings, MAX_RELAY_SHARE));
}

/** Returns how many connections of callers and to upstreams an entry host may have, both together. */
export function getCallConnections(settings: HostSettings): number {
  const { fileDescriptors = DEFAULT_DESCRIPTORS } = settings;
  return Math.max(2, fileDescriptors - getRelayConnections(settings) - RESERVED_DESCRIPTORS);
}

function getShare({ fileDescriptors = DEFAULT_DESCRIPTORS }: HostSettings, share: number): number {
  return Math.max(1, Math.floor(fileDescriptors * share));
}

/** Lists the core hosts that the settings name as seeds. */
export function listSeedIds(settings: HostSettings): string[] {
  const ids = settings.seeds.map((seed) =>
    getCoreId(schemas.splitAddress(seed).host, settings.peerPort),
  );
  return [...new Set(ids)];
}

/**
 * Lists the hosts that found the log; none for a host that may only join. Seeds that are no addresses stand for hosts that
 * never answer: without them, a majority of those that are left could found a second log.
 */
export function listFounderIds(settings: HostSettings): string[] {
  const { isFirstStart, unusableSeeds = [] } = settings;
  return isFirstStart ? [...listSeedIds(settings), ...new Set(unusableSeeds)] : [];
}
