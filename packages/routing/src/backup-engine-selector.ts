import type * as engineStates from './engine-state.js';
import * as memoryGrowth from './memory-growth.js';
import type * as placeNeeds from './placement-spec.js';
import type * as placedRuns from './placed-run.js';
import * as placeLimits from './placement-limits.js';
import type * as runAccounts from './run-registry.js';
import * as zoneWeights from './cross-zone-penalty.js';

/**
 * The forecast share of memory up to which copies are kept. A copy that fills the last of it would have running
 * work preempted, whose prompts are then read again, 3,000 tokens each.
 */
const COPY_LIMIT = 0.76;

/**
 * The forecast share of all engines' memory up to which copies are kept. Beyond it the day is heavy, and what the
 * next seconds bring needs the room: copies that took it kept eight drafts at once waiting too long.
 */
const POOL_COPY_LIMIT = 0.62;

/** How much each run that an engine takes over from the same leaving engine weighs, as a share of memory. */
const TAKER_WEIGHT = 0.1;

/**
 * How much a taker in another availability zone than the leaving engine weighs, as a share of memory. Memory takes twice
 * as long between zones, 0.4 s a run, and the notice of 1.5 to 2 s is over after four runs instead of seven.
 */
const FAR_LINK_WEIGHT = 0.2;

/** How much an engine counts beyond its own share, as a share of memory. */
type Penalty = (engine: placeNeeds.LedgerEngine) => number;

/** Chooses which engine keeps the copy of a run, or takes the run over. */
export class BackupEngineSelector {
  public constructor(
    private readonly runs: runAccounts.RunRegistry,
    private readonly listEngines: () => Iterable<engineStates.EngineState>,
  ) {}

  /** Who keeps a copy from the start; nothing when the pool or every engine is too full for it. */
  public findBackupEngine(
    run: placedRuns.PlacedRun,
    poolShare: number,
    now: number,
  ): string | undefined {
    const isFull = poolShare > POOL_COPY_LIMIT;
    return isFull ? undefined : this.findBest(run, [], COPY_LIMIT, now, () => 0);
  }

  /** Who takes over a run whose engine leaves. */
  public findTargetEngine(
    run: placedRuns.PlacedRun,
    excluded: readonly string[],
    now: number,
  ): string | undefined {
    // Runs of one engine come to their new ones at the same moment, so they are spread.
    const takers = this.runs
      .listAt(run.engineId)
      .filter((other) => other !== run)
      .map(({ backupEngineId: copyAt }) => copyAt);
    return this.findBest(run, excluded, placeLimits.PLACEMENT_LIMIT, now, (engine) => {
      const taken = takers.filter((taker) => taker === engine.engineId).length;
      const farWeight = engine.availabilityZone === run.zone ? 0 : FAR_LINK_WEIGHT;
      return taken * TAKER_WEIGHT + farWeight;
    });
  }

  private findBest(
    run: placedRuns.PlacedRun,
    excluded: readonly string[],
    limit: number,
    now: number,
    getPenalty: Penalty,
  ): string | undefined {
    const { HORIZON_MS } = placeLimits;
    const size = memoryGrowth.forecastTokens(run.spec, now - run.startedAt, HORIZON_MS);
    let best: string | undefined;
    let bestScore = Infinity;
    for (const { engine, occupancy: holdings } of this.listEngines()) {
      const { engineId, memoryTokens } = engine;
      const share = (holdings.getForecastTokens(now, HORIZON_MS) + size) / memoryTokens;
      const isBarred =
        engine.isClosed === true || engineId === run.engineId || excluded.includes(engineId);
      if (share <= limit && !isBarred) {
        const score =
          share + zoneWeights.getCrossZonePenalty(engine, run.spec) + getPenalty(engine);
        best = score < bestScore ? engineId : best;
        bestScore = Math.min(score, bestScore);
      }
    }
    return best;
  }
}
