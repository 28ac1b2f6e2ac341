import * as peers from '@bramleyridge/peers';
import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import * as claimMeasurements from './claims-measure.js';
import * as traces from './policy/trace.js';
import * as reports from './report.js';
import * as reportReads from './watch-measure.js';

/** Framing of one TLS record around a message. */
const TLS_RECORD_BYTES = 29;
/** Headers of one TCP/IP packet. */
const TCP_IP_BYTES = 52;

/** Pool sizes, in upstreams and live generations, from which the capacity page derives its slopes. */
const SIZES = [
  { upstreams: 2, live: 68 },
  { upstreams: 11, live: 374 },
  { upstreams: 25, live: 850 },
  { upstreams: 50, live: 1_700 },
] as const;

const MEASURE_MS = 1_500;

/** Rate at which a pool owner updates its forecasts. */
const TICKS_PER_SECOND = 10;

interface GrantRow {
  readonly upstreams: number;
  readonly live: number;
  readonly decisionsPerS: number;
  readonly usPerDecision: number;
  readonly msPerTick: number;
  readonly tickShareOfCore: number;
  readonly heapKbPerGeneration: number;
}

/** A pool owner on virtual time with the generations that it has granted. */
class Pool {
  public readonly clock = new schemas.VirtualClock();
  public readonly owner: routing.PoolOwner;
  public readonly live: string[] = [];
  private readonly random = new traces.Random(7);
  private count = 0;

  public constructor(upstreams: number) {
    this.owner = new routing.PoolOwner({
      clock: this.clock,
      overflowRisk: 0.3,
      capacityTokens: 200_000,
      getShare: () => ({ weight: 1, maxConcurrent: 1e9, maxQueued: 1e9 }),
    });
    this.owner.setUpstreams(
      Array.from({ length: upstreams }, (_, i) => ({ upstreamId: `e${i}`, isLeaving: false })),
    );
  }

  /** Requests one grant. */
  public grant(): void {
    this.count += 1;
    const generation = `a.a-1.k3j2.${this.count.toString(36)}`;
    const req: routing.GrantRequest = {
      generation,
      daemonId: `d${this.count % 46}`,
      team: `t${this.count % 20}`,
      intent: 'i',
      workClass: this.count % 8 === 0 ? 'batch' : 'interactive',
      promptTokens: this.random.between(80, 1_200),
      maxTokens: 32_768,
      prefix: `p${this.count % 100}`,
      waitedMs: 0,
      patienceMs: 60_000,
      excluded: [],
    };
    this.owner.request(req, (decision) => {
      if (decision.upstreamId !== undefined) {
        this.live.push(generation);
      }
    });
  }

  /** Finishes a random live generation. */
  public finish(): void {
    const index = this.random.between(0, this.live.length - 1);
    const generation = this.live.splice(index, 1)[0]!;
    this.owner.finish(generation, this.random.between(5, 60), true);
  }
}

function measure({ upstreams, live }: (typeof SIZES)[number]): GrantRow {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const pool = new Pool(upstreams);
  while (pool.live.length < live) {
    pool.grant();
  }
  globalThis.gc?.();
  const heapAfter = process.memoryUsage().heapUsed;
  let decisions = 0;
  const from = performance.now();
  while (performance.now() - from < MEASURE_MS) {
    pool.finish();
    pool.grant();
    decisions += 1;
  }
  const elapsedMs = performance.now() - from;
  let ticks = 0;
  const tickFrom = performance.now();
  while (performance.now() - tickFrom < MEASURE_MS) {
    pool.owner.refresh();
    ticks += 1;
  }
  const msPerTick = (performance.now() - tickFrom) / ticks;
  return {
    upstreams,
    live,
    decisionsPerS: Math.round((1_000 * decisions) / elapsedMs),
    usPerDecision: (1_000 * elapsedMs) / decisions,
    msPerTick,
    tickShareOfCore: (msPerTick * TICKS_PER_SECOND) / 1_000,
    heapKbPerGeneration: Math.max(0, heapAfter - heapBefore) / 1_024 / live,
  };
}

/** Measures the size of messages between a daemon and a pool owner, without and with TLS and TCP/IP overhead. */
function measureBytes(): {
  readonly message: string;
  readonly bytes: number;
  readonly onWire: number;
}[] {
  const req: routing.GrantRequest = {
    generation: 'region-one-a.region-one-a-17.mj3k2l1a.3f2',
    daemonId: 'region-one-a-17',
    team: 'schedulers',
    intent: 'spot-drafter',
    workClass: 'batch',
    promptTokens: 812,
    maxTokens: 32_768,
    prefix: '0123456789abcdef',
    waitedMs: 0,
    patienceMs: 60_000,
    excluded: [],
  };
  const answer = {
    isPending: false,
    upstreamId: 'engine-region-one-a-42',
    version: 'v1',
    reason: 'room',
    queuedMs: 12.5,
    pressure: 0.873,
    retryAfterS: 0,
  };
  const report = (count: number) => ({
    model: 'spot-drafter',
    daemonId: 'region-one-a-17',
    prefix: 'region-one-a.region-one-a-17.mj3k2l1a.',
    tokens: Array.from({ length: count }, (_, i) => [70_000 + i, 1_234 + i]).flat(),
    finished: count === 0 ? [70_000, 812, 1] : [],
    isWhole: count > 0,
    registered: [],
    leaving: [],
  });
  // A connection sends field names only with the first message of a kind, so the second one is measured.
  const size = (frame: unknown) => {
    const writer = new peers.FrameWriter();
    writer.encode(frame as peers.Frame);
    return writer.encode(frame as peers.Frame).length;
  };
  const rows = [
    { message: 'grant asked', bytes: size(['call', 70_000, 'grant', { model: 'm', req }]) },
    { message: 'grant answered', bytes: size(['result', 70_000, answer]) },
    { message: 'progress of 1 generation', bytes: size(['call', 70_000, 'pool', report(1)]) },
    { message: 'progress of 10 generations', bytes: size(['call', 70_000, 'pool', report(10)]) },
    { message: 'end of a generation', bytes: size(['call', 70_000, 'pool', report(0)]) },
    { message: 'progress answered', bytes: size(['result', 70_000, undefined]) },
    { message: 'claim asked', bytes: size(['call', 70_000, 'claim', createClaim()]) },
  ];
  return rows.map((row) => ({ ...row, onWire: row.bytes + TLS_RECORD_BYTES + TCP_IP_BYTES }));
}

function createClaim(): requests.ClaimReq {
  return {
    key: '0123456789abcdef0123456789abcdef01234567',
    ballot: [70_000, 'region-one-a-17@1796235983971'],
    since: [1, 1, 1, 1, 1],
    value: claimMeasurements.createClaimValue(70_000),
  };
}

/** Measures decisions per second of a pool owner, message sizes, claim acceptors and reads of load reports. */
export async function run(): Promise<void> {
  const rows = SIZES.map(measure);
  const bytes = measureBytes();
  const claims = claimMeasurements.measureClaims();
  const watch = await reportReads.measureReportReads();
  reports.writeResults('grants', { rows, bytes, claims, watch }, [
    reports.createSection(
      'A pool owner by size',
      rows.map((row) => ({
        upstreams: row.upstreams,
        'live generations': row.live,
        'decisions/s': row.decisionsPerS,
        'us/decision': row.usPerDecision.toFixed(0),
        'ms per look at the account': row.msPerTick.toFixed(2),
        'share of a core for looks': row.tickShareOfCore.toFixed(4),
      })),
    ),
    reports.createSection('Bytes of messages', bytes),
    reports.createSection(
      'A seat of the claim group by claims remembered',
      claims.map((row) => ({
        claims: row.claims,
        'heap MB': row.heapMb.toFixed(1),
        'us/claim, both rounds': row.usPerClaim.toFixed(1),
      })),
    ),
    reports.createSection(
      'Reading load reports',
      watch.map((row) => ({ reports: row.reports, 'us/report': row.cpuUsPerReport.toFixed(0) })),
    ),
  ]);
}
