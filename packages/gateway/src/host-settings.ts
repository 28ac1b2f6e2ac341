import * as z from 'zod';

/** An IP address and a port. */
export const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'an IP address and a port');

/** The promises of the deployment that set this host's own times and limits. */
export const deploymentBounds = z.object({
  /** Within which a host that can reach the others must work by its rules again, in milliseconds. */
  reachMs: z.number().positive(),
  /** Within which an operator's order is to be acknowledged, in milliseconds. */
  acknowledgeMs: z.number().positive(),
  /** How long an upstream that is leaving may still be sent to, in milliseconds. */
  leavingMs: z.number().positive(),
  /** How long a planned stop may take, in milliseconds. */
  stopMs: z.number().positive(),
  /** Retries per request that all hosts together may make. */
  retryRatio: z.number().min(0),
  /** Retries beyond the ratio that all hosts together may make in one window. */
  retrySlack: z.number().min(0),
  /** The length of that window, in milliseconds. */
  retryWindowMs: z.number().positive(),
  /** How many times its declared rate a cold upstream bears, and how many calls in a second beyond that. */
  coldOverage: z.number().min(1).default(1),
  coldSlack: z.number().min(0).default(0),
});

/** The settings of one host for routed traffic. */
export const hostSettings = z.object({
  hostId: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The region of each availability zone of the deployment; left out where it is not told. */
  regions: z.record(z.string(), z.string()).optional(),
  ipAddress: z.string().min(1),
  /** Where callers connect; on entry hosts. */
  callerAddress: address.optional(),
  /** Where the balancer asks whether this host is ready; on entry hosts. */
  readyAddress: address.optional(),
  /** Where operators connect; on core hosts. */
  operatorAddress: address.optional(),
  /** Where metrics are fetched; nothing where they are not kept. */
  metricsAddress: address.optional(),
  /** The port on which core hosts hear entry hosts and each other. */
  peerPort: z.int().min(1).max(65_535),
  /** Operators' addresses of some core hosts. */
  seeds: z.array(address),
  /** Whether the whole deployment starts for the first time, with empty disks. */
  isFirstStart: z.boolean(),
  dataFolder: z.string().min(1).optional(),
  /** How many core hosts may be lost at once. */
  lossesToBear: z.int().min(0),
  /** Where the list of upstreams is read. */
  listAddress: address,
  /** Calls to that list that all hosts together may make, per second. */
  listCallsPerS: z.number().positive(),
  bounds: deploymentBounds,
});

/** The settings of one host for routed traffic. */
export type HostSettings = z.infer<typeof hostSettings>;

/** Where settings come from; they may change while the host runs. */
export interface SettingsSource {
  read(): HostSettings;
}

/** The host and the port of an address. */
export function splitAddress(value: string): { readonly host: string; readonly port: number } {
  const at = value.lastIndexOf(':');
  return { host: value.slice(0, at), port: Number(value.slice(at + 1)) };
}

/** The name of a core host among its peers, which also says where it listens. */
export function getCoreId(ipAddress: string, peerPort: number): string {
  return `${ipAddress}:${peerPort}`;
}

/** The availability zones of the deployment, where the settings name them. */
export function listZones({ regions }: HostSettings): string[] | undefined {
  return regions === undefined ? undefined : Object.keys(regions);
}

/** The core hosts that the settings name. */
export function listSeedIds(settings: HostSettings): string[] {
  return settings.seeds.map((seed) => getCoreId(splitAddress(seed).host, settings.peerPort));
}
