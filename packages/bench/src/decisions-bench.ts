import * as routing from '@bramleyridge/routing';

import * as traces from './policy/trace.js';
import * as reports from './report.js';

/** Engines and runs of a pool: a small one, one of today, and two on the way to the size that is aimed at. */
const SIZES = [
  { engines: 6, runs: 30 },
  { engines: 41, runs: 180 },
  { engines: 200, runs: 2_000 },
  { engines: 600, runs: 10_000 },
] as const;

const AVAILABILITY_ZONES = ['a', 'b', 'c', 'd', 'e', 'f'] as const;

/** An engine's memory, in tokens; large enough that runs fill half of it at each size. */
const MEMORY_TOKENS = 120_000;

/** How long a size is measured, in milliseconds. */
const MEASURE_MS = 1_500;

/** Time that passes on the account's clock between two placements, in milliseconds: 2,600 a second, as at the aim. */
const STEP_MS = 1_000 / 2_600;

/** How long a run takes on the account's clock at most, in milliseconds. */
const RUN_MS = 39_000;

interface DecisionRow extends reports.TableRow {
  readonly engines: number;
  readonly runs: number;
  /** A placement with its copy, and the note that its prompt was read. */
  readonly usPerPlacement: number;
  readonly usPerRelease: number;
  /** The choice of who takes a run over. */
  readonly usPerTaker: number;
}

/** A pool that is kept at its size: for each run that is placed the oldest one ends. */
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

  /** Places a run and notes that its prompt was read. */
  public place(): void {
    this.count += 1;
    this.now += STEP_MS;
    const callId = `c${this.count}`;
    const placed = this.ledger.place(this.createSpec(callId), this.now);
    this.ledger.recordFirstEvent(callId, this.now + 1);
    this.live.push({ callId, engineId: placed?.engineId ?? 'e0' });
  }

  /** Ends the oldest run. */
  public release(): void {
    const oldest = this.live.shift();
    this.ledger.release(oldest?.callId ?? '', false, this.now);
  }

  /** Chooses who takes a run over. */
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
      leftMs: RUN_MS,
      excluded: [],
      wantsCopy: true,
      ranMs: 0,
    };
  }
}

/** Measures what decisions of the account cost by its size, and prints a table. */
export function run(): void {
  const rows = SIZES.map(({ engines, runs }) => measure(engines, runs));
  reports.writeResults('decisions', { rows }, [
    reports.createSection('What a decision costs, in microseconds', rows),
  ]);
}

function measure(engines: number, runs: number): DecisionRow {
  const pool = new SteadyPool(engines, runs);
  const spent = { place: 0, release: 0, taker: 0 };
  const end = performance.now() + MEASURE_MS;
  let rounds = 0;
  while (performance.now() < end) {
    spent.place += time(() => pool.place());
    spent.release += time(() => pool.release());
    spent.taker += time(() => pool.chooseTargetEngine());
    rounds += 1;
  }
  const getUs = (ms: number) => Number(((ms * 1_000) / rounds).toFixed(1));
  return {
    engines,
    runs,
    usPerPlacement: getUs(spent.place),
    usPerRelease: getUs(spent.release),
    usPerTaker: getUs(spent.taker),
  };
}

function time(task: () => void): number {
  const before = performance.now();
  task();
  return performance.now() - before;
}
