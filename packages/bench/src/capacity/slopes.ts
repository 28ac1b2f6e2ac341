import * as reports from '../report.js';
import * as fits from './fit.js';

interface RelayResults {
  readonly rows: readonly {
    readonly path: string;
    readonly offeredPerS: number;
    readonly tokensPerS: number;
    readonly cpuShare: number;
    readonly cpuUsPerToken: number;
    readonly memoryMb: number;
    readonly load: string;
    readonly p99Ms: number;
  }[];
}

interface GrantsResults {
  readonly rows: readonly {
    readonly upstreams: number;
    readonly live: number;
    readonly usPerDecision: number;
    readonly tickShareOfCore: number;
  }[];
  readonly bytes: readonly { readonly message: string; readonly onWire: number }[];
  readonly claims: readonly {
    readonly claims: number;
    readonly heapMb: number;
    readonly usPerClaim: number;
  }[];
  readonly watch: readonly { readonly reports: number; readonly cpuUsPerReport: number }[];
}

interface RoleUsage {
  readonly role: string;
  readonly cpuShare: number;
  readonly memoryMb: number;
  readonly bytesPerS: number;
}

interface ControlResults {
  readonly sized: readonly {
    readonly daemons: number;
    readonly inForce: { readonly p50Ms: number; readonly p99Ms: number };
    readonly idle: readonly RoleUsage[];
    readonly changing: readonly RoleUsage[];
  }[];
  readonly counted: readonly { readonly intents: number; readonly load: readonly RoleUsage[] }[];
  readonly faults: {
    readonly leaderLoss: { readonly p50Ms: number; readonly p99Ms: number };
    readonly backlog: { readonly voterMs: number; readonly daemonMs: number };
  };
}

/** Slopes and figures from which the page is calculated. */
export interface Slopes {
  /** Core share of the relaying daemon, by tokens per second. */
  readonly relayCpu: fits.Slope;
  /** Memory of the relaying daemon in MB, by open streams. */
  readonly relayMemory: fits.Slope;
  /** Microseconds for a grant and its end, by upstreams of the pool. */
  readonly grantUs: fits.Slope;
  /** Core share of updating a pool owner's forecasts, by live generations of the pool. */
  readonly accountCpu: fits.Slope;
  /** Core share and bytes per second of a zone's relay, by daemons of the zone. */
  readonly zoneRelayCpu: fits.Slope;
  readonly zoneRelayBytes: fits.Slope;
  /** The same of the leader, by daemons of the deployment. */
  readonly leaderCpu: fits.Slope;
  readonly leaderBytes: fits.Slope;
  /** The same of a voter that is neither the leader nor a relay, by daemons of the deployment. */
  readonly voterCpu: fits.Slope;
  readonly voterBytes: fits.Slope;
  /** Memory of a leader in MB, by daemons of the deployment; no other role uses more. */
  readonly leaderMemory: fits.Slope;
  /** Core share and bytes per second of a daemon without a role, by daemons of the deployment. */
  readonly daemonCpu: fits.Slope;
  readonly daemonBytes: fits.Slope;
  /** Memory of a daemon without a role in MB, by items declared. */
  readonly declaredMemory: fits.Slope;
  /** Memory in MB and microseconds per claim of a claim acceptor, by claims retained. */
  readonly claimMemory: fits.Slope;
  readonly claimUs: fits.Slope;
  /** Processor seconds, by load reports read. */
  readonly watchCpuS: fits.Slope;
  /** Milliseconds from the confirmation of a change until it is in force, p99, by daemons of the deployment. */
  readonly inForceMs: fits.Slope;
  readonly bytes: ReadonlyMap<string, number>;
  readonly leaderLossMs: number;
  readonly backlogMs: number;
}

/** Reads the measured results and fits the slopes; throws when a result is missing. */
export function readSlopes(): Slopes {
  const relay = requireResults<RelayResults>('relay').rows.filter((row) => row.path === 'daemon');
  const grants = requireResults<GrantsResults>('grants');
  const control = requireResults<ControlResults>('control');
  const unsaturated = relay.filter((row) => row.tokensPerS > 0.95 * row.offeredPerS);
  const getStreams = (load: string) =>
    ({
      '2,600 tokens/s': 100,
      '10,000 tokens/s': 200,
      '20,000 tokens/s': 400,
      '30,000 tokens/s': 600,
      '2,000 open streams': 2_000,
    })[load] ?? 0;
  const ofRole = (pattern: RegExp, pick: (load: RoleUsage) => number) =>
    control.sized.flatMap(({ daemons, idle }) =>
      idle.filter((load) => pattern.test(load.role)).map((load) => ({ x: daemons, y: pick(load) })),
    );
  const zones = 4;
  const relayPoints = (pick: (load: RoleUsage) => number) =>
    ofRole(/^daemon\+relay$/, pick).map(({ x, y }) => ({ x: x / zones, y }));
  return {
    relayCpu: fits.fitSlope(unsaturated.map((row) => ({ x: row.tokensPerS, y: row.cpuShare }))),
    relayMemory: fits.fitSlope(relay.map((row) => ({ x: getStreams(row.load), y: row.memoryMb }))),
    grantUs: fits.fitSlope(grants.rows.map((row) => ({ x: row.upstreams, y: row.usPerDecision }))),
    accountCpu: fits.fitSlope(grants.rows.map((row) => ({ x: row.live, y: row.tickShareOfCore }))),
    zoneRelayCpu: fits.fitSlope(relayPoints((load) => load.cpuShare)),
    zoneRelayBytes: fits.fitSlope(relayPoints((load) => load.bytesPerS)),
    leaderCpu: fits.fitSlope(control.sized.map((size) => getLeader(size, (l) => l.cpuShare))),
    leaderBytes: fits.fitSlope(control.sized.map((size) => getLeader(size, (l) => l.bytesPerS))),
    voterCpu: fits.fitSlope(ofRole(/^voter$/, (load) => load.cpuShare)),
    voterBytes: fits.fitSlope(ofRole(/^voter$/, (load) => load.bytesPerS)),
    leaderMemory: fits.fitSlope(ofRole(/^leader/, (load) => load.memoryMb)),
    daemonCpu: fits.fitSlope(ofRole(/^daemon$/, (load) => load.cpuShare)),
    daemonBytes: fits.fitSlope(ofRole(/^daemon$/, (load) => load.bytesPerS)),
    declaredMemory: fits.fitSlope(
      control.counted.flatMap(({ intents, load }) =>
        load
          .filter(({ role }) => role.startsWith('daemon'))
          .map((item) => ({ x: intents, y: item.memoryMb })),
      ),
    ),
    claimMemory: fits.fitSlope(grants.claims.map((row) => ({ x: row.claims, y: row.heapMb }))),
    claimUs: fits.fitSlope(grants.claims.map((row) => ({ x: row.claims, y: row.usPerClaim }))),
    watchCpuS: fits.fitSlope(
      grants.watch.map((row) => ({ x: row.reports, y: (row.reports * row.cpuUsPerReport) / 1e6 })),
    ),
    inForceMs: fits.fitSlope(
      control.sized.map((item) => ({ x: item.daemons, y: item.inForce.p99Ms })),
    ),
    bytes: new Map(grants.bytes.map((row) => [row.message, row.onWire])),
    leaderLossMs: control.faults.leaderLoss.p99Ms,
    backlogMs: Math.max(control.faults.backlog.voterMs, control.faults.backlog.daemonMs),
  };
}

/** Returns the cost of the leader; subtracts the cost of relaying when the leader was also its zone's relay. */
function getLeader(
  { daemons, idle }: ControlResults['sized'][number],
  pick: (load: RoleUsage) => number,
): fits.Point {
  const of = (role: string) => {
    const load = idle.find((item) => item.role === role);
    return load === undefined ? undefined : pick(load);
  };
  const relayCost = (of('daemon+relay') ?? 0) - (of('daemon') ?? 0);
  const y = of('leader') ?? (of('leader+relay') ?? 0) - relayCost;
  return { x: daemons, y };
}

function requireResults<T>(name: string): T {
  const found = reports.findResults<T>(name);
  if (found === undefined) {
    throw new Error(`no results for the slopes: run npm run bench -- ${name} first`);
  }
  return found;
}
