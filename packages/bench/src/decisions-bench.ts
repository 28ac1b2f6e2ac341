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

/** Remaining time of a new run on the ledger's clock. */
const RUN_REMAINING_MS = 39_000;

interface DecisionRow extends reports.TableRow {
  readonly engines: number;
  readonly runs: number;
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

  public constructor(engines: number, runs: number) {
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

  /** Releases the oldest run. */
  public release(): void {
    const oldest = this.live.shift();
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
      wantsCopy: true,
      ranMs: 0,
    };
  }
}

/** Measures the cost of ledger decisions by pool size and prints a table. */
export function run(): void {
  const rows = SIZES.map(({ engines, runs }) => measure(engines, runs));
  reports.writeResults('decisions', { rows }, [
    reports.createSection('What a decision costs, in microseconds', rows),
  ]);
}

function measure(engines: number, runs: number): DecisionRow {
  const pool = new SteadyPool(engines, runs);
  const spent = { place: 0, release: 0, migration: 0 };
  const end = performance.now() + MEASURE_MS;
  let rounds = 0;
  while (performance.now() < end) {
    spent.place += time(() => pool.place());
    spent.release += time(() => pool.release());
    spent.migration += time(() => pool.chooseTargetEngine());
    rounds += 1;
  }
  const getUs = (ms: number) => Number(((ms * 1_000) / rounds).toFixed(1));
  return {
    engines,
    runs,
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
