import * as routing from '@bramleyridge/routing';

import * as traces from './policy/trace.js';
import * as reports from './report.js';

/** Pool sizes: a small one, a present-day one, and two on the way to the target size. */
const SIZES = [
  { engines: 6, runs: 30 },
  { engines: 41, runs: 180 },
  { engines: 200, runs: 2_000 },
  { engines: 600, runs: 10_000 },
] as const;

const AVAILABILITY_ZONES = ['a', 'b', 'c', 'd', 'e', 'f'] as const;

/** Memory of an engine in tokens; at each size runs fill about half of it. */
const MEMORY_TOKENS = 120_000;

/** Duration of the measurement at each size. */
const MEASURE_MS = 1_500;

/** Interval between two placements on the ledger's clock: 2,600 placements per second, the target rate. */
const PLACEMENT_INTERVAL_MS = 1_000 / 2_600;

/** Longest gap between two events of a stream that is on time. */
const GAP_TARGET_MS = 180;

/** Interval at which the leader probes engines, on the ledger's clock. */
const PROBE_INTERVAL_MS = 200;

/** Interference from co-located work in the pool that states slowdowns: its share of the time, and the slowdown. */
const INTERFERENCE_SHARE = 0.15;
const INTERFERENCE = 2.5;

/** Pace of a stream on a usual engine, as reported at its end. */
const STREAM_PACE = { msPerEvent: 30, events: 180, longestGapMs: 65 };

/** Every third engine of that pool is slow by itself, by this factor. */
const SLOW_FACTOR = 1.3;

/** Remaining time of a new run on the ledger's clock. */
const RUN_REMAINING_MS = 39_000;

interface DecisionRow extends reports.TableRow {
  readonly engines: number;
  readonly runs: number;
  /** In an uneven pool engines state slowdowns, and placements follow the gaps to expect. */
  readonly speeds: 'equal' | 'uneven';
  /** Cost of a placement with its KV-cache backup and of recording the first event. */
  readonly usPerPlacement: number;
  readonly usPerRelease: number;
  /** Cost of choosing the target engine of a migration. */
  readonly usPerTaker: number;
}

/** A pool of constant size: after each placement the oldest run is released. */
class SteadyPool {
  private readonly ledger = new routing.EngineLedger();
  private readonly random = new traces.Random(11);
  private readonly live: { callId: string; engineId: string }[] = [];
  private count = 0;
  private now = 0;
  private probedAt = 0;

  public constructor(
    private readonly engines: number,
    runs: number,
    private readonly areUneven: boolean,
  ) {
    this.ledger.setEngines(
      Array.from({ length: engines }, (_, i) => ({
        engineId: `e${i}`,
        memoryTokens: MEMORY_TOKENS,
        slots: 1_000,
        availabilityZone: AVAILABILITY_ZONES[i % AVAILABILITY_ZONES.length]!,
      })),
    );
    for (let i = 0; i < runs; i += 1) {
      this.place();
    }
  }

  /** Places a run and records its first event, the end of its prefill. */
  public place(): void {
    this.count += 1;
    this.now += PLACEMENT_INTERVAL_MS;
    const callId = `c${this.count}`;
    const placed = this.ledger.place(this.createSpec(callId), this.now);
    this.ledger.recordFirstEvent(callId, this.now + 1);
    this.live.push({ callId, engineId: placed?.engineId ?? 'e0' });
  }

  /** Records what the engines state, if a probe is due. */
  public probe(): void {
    if (!this.areUneven || this.now < this.probedAt + PROBE_INTERVAL_MS) {
      return;
    }
    this.probedAt = this.now;
    for (let i = 0; i < this.engines; i += 1) {
      const slowdown = this.random.next() < INTERFERENCE_SHARE ? INTERFERENCE : 1;
      this.ledger.applySlowdown(`e${i}`, slowdown, this.now);
    }
  }

  /** Releases the oldest run, with the pace of its stream. */
  public release(): void {
    const oldest = this.live.shift();
    if (this.areUneven && oldest !== undefined) {
      const { callId, engineId } = oldest;
      const factor = Number(engineId.slice(1)) % 3 === 0 ? SLOW_FACTOR : 1;
      const longestGapMs = STREAM_PACE.longestGapMs * factor;
      const pace = { ...STREAM_PACE, msPerEvent: STREAM_PACE.msPerEvent * factor, longestGapMs };
      this.ledger.recordStream(callId, engineId, pace, this.now);
    }
    this.ledger.release(oldest?.callId ?? '', false, this.now);
  }

  /** Chooses the target engine for the migration of a random run. */
  public chooseTargetEngine(): void {
    const moved = this.live[Math.floor(this.random.next() * this.live.length)]!;
    this.ledger.reassignBackup(moved.callId, moved.engineId, [], this.now);
  }

  private createSpec(callId: string): routing.PlacementSpec {
    const zone = Math.floor(this.random.next() * AVAILABILITY_ZONES.length);
    return {
      callId,
      availabilityZone: AVAILABILITY_ZONES[zone]!,
      promptTokens: 1_000 + this.random.next() * 2_000,
      answerTokens: 100 + this.random.next() * 900,
      leftMs: RUN_REMAINING_MS,
      excluded: [],
      gapTargetMs: GAP_TARGET_MS,
      wantsCopy: true,
      ranMs: 0,
    };
  }
}

/** Measures the cost of ledger decisions by pool size and prints a table. */
export function run(): void {
  const rows = SIZES.flatMap(({ engines, runs }) =>
    [false, true].map((areUneven) => measure(engines, runs, areUneven)),
  );
  reports.writeResults('decisions', { rows }, [
    reports.createSection('What a decision costs, in microseconds', rows),
  ]);
}

function measure(engines: number, runs: number, areUneven: boolean): DecisionRow {
  const pool = new SteadyPool(engines, runs, areUneven);
  const spent = { place: 0, release: 0, migration: 0 };
  const end = performance.now() + MEASURE_MS;
  let rounds = 0;
  while (performance.now() < end) {
    pool.probe();
    spent.place += time(() => pool.place());
    spent.release += time(() => pool.release());
    spent.migration += time(() => pool.chooseTargetEngine());
    rounds += 1;
  }
  const getUs = (ms: number) => Number(((ms * 1_000) / rounds).toFixed(1));
  return {
    engines,
    runs,
    speeds: areUneven ? 'uneven' : 'equal',
    usPerPlacement: getUs(spent.place),
    usPerRelease: getUs(spent.release),
    usPerTaker: getUs(spent.migration),
  };
}

function time(task: () => void): number {
  const before = performance.now();
  task();
  return performance.now() - before;
}
