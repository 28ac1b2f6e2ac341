import * as crossZonePenalties from './cross-zone-penalty.js';
import type * as engineStates from './engine-state.js';
import type * as gapPenalties from './gap-penalties.js';
import * as memoryGrowth from './memory-growth.js';
import type * as placedRuns from './placed-run.js';
import * as placementLimits from './placement-limits.js';
import type * as placementSpecs from './placement-spec.js';
import type * as runRegistries from './run-registry.js';

/**
 * Forecast share of an engine's memory up to which it keeps backups. A backup that fills the rest
 * would cause running generations to be preempted, each of which then repeats a prefill of 3,000
 * tokens.
 */
const BACKUP_LIMIT = 0.76;

/**
 * Forecast share of the pool's memory up to which backups are kept. Beyond it the load is heavy and
 * the capacity is needed for the next seconds: with backups in it, eight long generations at once
 * waited too long.
 */
const POOL_BACKUP_LIMIT = 0.62;

/**
 * Weight of each other run that migrates from the same leaving engine to a target, as a share of
 * memory.
 */
const TARGET_WEIGHT = 0.1;

/**
 * Weight of a target in another availability zone than the leaving engine, as a share of memory.
 * The transfer takes twice as long between zones, 0.4 s per run, so the notice of 1.5 to 2 s is
 * over after four runs instead of seven.
 */
const CROSS_ZONE_LINK_WEIGHT = 0.2;

/** Returns an addition to an engine's score, as a share of memory. */
type Penalty = (engine: placementSpecs.LedgerEngine) => number;

/** Selects the engine that keeps the backup of a run, and the target engine of a migration. */
export class BackupEngineSelector {
  public constructor(
    private readonly runs: runRegistries.RunRegistry,
    private readonly createPenalties: gapPenalties.CreateGapPenalties,
    private readonly listEngines: () => Iterable<engineStates.EngineState>,
  ) {}

  /**
   * Selects the engine for the backup of a new run; `undefined` if the pool or every engine is too
   * full for it.
   */
  public findBackupEngine(
    run: placedRuns.PlacedRun,
    poolShare: number,
    now: number,
  ): string | undefined {
    const isFull = poolShare > POOL_BACKUP_LIMIT;
    return isFull ? undefined : this.findBest(run, [], BACKUP_LIMIT, now, () => 0);
  }

  /** Selects the target engine for a run whose engine is leaving. */
  public findTargetEngine(
    run: placedRuns.PlacedRun,
    excluded: readonly string[],
    now: number,
  ): string | undefined {
    // All runs of a leaving engine arrive at their targets at the same time, so they are spread.
    const targets = this.runs
      .listAt(run.engineId)
      .filter((other) => other !== run)
      .map(({ backupEngineId }) => backupEngineId);
    return this.findBest(run, excluded, placementLimits.PLACEMENT_LIMIT, now, (engine) => {
      const sharedRuns = targets.filter((target) => target === engine.engineId).length;
      const linkPenalty = engine.availabilityZone === run.zone ? 0 : CROSS_ZONE_LINK_WEIGHT;
      return sharedRuns * TARGET_WEIGHT + linkPenalty;
    });
  }

  private findBest(
    run: placedRuns.PlacedRun,
    excluded: readonly string[],
    limit: number,
    now: number,
    getPenalty: Penalty,
  ): string | undefined {
    const { HORIZON_MS } = placementLimits;
    const size = memoryGrowth.forecastTokens(run.spec, now - run.startedAt, HORIZON_MS);
    const penalties = this.createPenalties(run.spec, now);
    let best: string | undefined;
    let bestScore = Infinity;
    for (const state of this.listEngines()) {
      const { engine, occupancy } = state;
      const { engineId, memoryTokens } = engine;
      const share = (occupancy.getForecastTokens(now, HORIZON_MS) + size) / memoryTokens;
      const isExcluded =
        engine.isClosed === true || engineId === run.engineId || excluded.includes(engineId);
      if (share <= limit && !isExcluded) {
        const score =
          share +
          crossZonePenalties.getCrossZonePenalty(engine, run.spec) +
          getPenalty(engine) +
          penalties.getBackupPenalty(state);
        best = score < bestScore ? engineId : best;
        bestScore = Math.min(score, bestScore);
      }
    }
    return best;
  }
}
