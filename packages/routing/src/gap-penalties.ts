import type * as engineStates from './engine-state.js';
import type * as eventGapModels from './event-gap-model.js';
import * as placementSpecs from './placement-spec.js';
import type * as poolFactors from './pool-factors.js';

/**
 * Weight of an engine where a long generation is expected to have a gap beyond its target, as a
 * share of memory. Such a generation is late, so any other engine with capacity is better, also a
 * full one in another zone.
 */
const LATE_GAP_WEIGHT = 1;

/**
 * The same for the engine of a backup, to which the generation may migrate. It weighs more than a
 * backup in another zone (0.5), but less than a migration to another zone (0.7), which takes twice
 * as long, so that the generation may be lost.
 */
const LATE_BACKUP_WEIGHT = 0.6;

/**
 * Excess of the forecast over the target from which these weights apply in full, as a share of the
 * target; below it, in proportion. Forecasts for equal engines differ by a tenth.
 */
const FULL_EXCESS = 0.1;

/**
 * Weight of each running stream that would have a gap beyond its target beside the prefill of
 * another prompt, as a share of memory.
 */
const LATE_NEIGHBOUR_WEIGHT = 0.1;

/**
 * Part of that weight if the gap is only too long should interference begin during the prefill. A
 * prefill takes 0.4 s, and interference begins about every 4 s.
 */
const POSSIBLE_INTERFERENCE_SHARE = 0.15;

/** Creates the penalties for one generation at a time. */
export type CreateGapPenalties = (spec: placementSpecs.PlacementSpec, now: number) => GapPenalties;

/**
 * The penalties for one generation on the engines of a pool, by the gaps to expect between the
 * events of the streams there. Each is 0 unless engines state slowdowns. All figures of the pool
 * are read once, since a decision asks for hundreds of engines.
 */
export class GapPenalties {
  /** Whether the speeds of engines count, since they state slowdowns. */
  public readonly isPaced: boolean;
  private readonly isLong: boolean;
  /** Largest factor at which the generation would have no gap beyond its target. */
  private readonly largestFactor: number;
  private readonly usualGapMs: number;
  private readonly worstSlowdown: number;
  private readonly meanFactor: number;
  private readonly areFactorsUneven: boolean;

  public constructor(
    spec: placementSpecs.PlacementSpec,
    gaps: eventGapModels.EventGapModel,
    factors: poolFactors.PoolFactors,
    private readonly now: number,
  ) {
    this.isPaced = gaps.isStating(now);
    this.isLong = !placementSpecs.hasShortAnswer(spec);
    this.usualGapMs = this.isPaced ? gaps.getUsualMs() : 0;
    this.worstSlowdown = this.isPaced ? gaps.getLargestSlowdown(now) : 1;
    this.meanFactor = this.isPaced ? factors.getMean(now) : 1;
    const targetMs = this.isLong ? (spec.gapTargetMs ?? Infinity) : Infinity;
    this.largestFactor =
      this.usualGapMs === 0 ? Infinity : targetMs / (this.usualGapMs * this.worstSlowdown);
    this.areFactorsUneven = this.isPaced && factors.isUneven(now);
  }

  /**
   * Returns the penalty for a long generation on an engine where a gap beyond its target is
   * expected, as a share of memory.
   */
  public getOwnPenalty(state: engineStates.EngineState): number {
    return this.getLateness(state) * LATE_GAP_WEIGHT;
  }

  /** Returns the same for the engine of its backup. */
  public getBackupPenalty(state: engineStates.EngineState): number {
    return this.getLateness(state) * LATE_BACKUP_WEIGHT;
  }

  /**
   * Returns the penalty for a prompt on an engine whose running streams would have a gap beyond
   * their targets during its prefill, as a share of memory.
   */
  public getNeighbourPenalty({ occupancy, pace }: engineStates.EngineState): number {
    if (this.usualGapMs === 0) {
      return 0;
    }
    const gapMs = this.usualGapMs * (pace.getFactor() ?? this.meanFactor);
    const maybeLate = occupancy.countLateAt(gapMs * this.worstSlowdown);
    const late = maybeLate === 0 ? 0 : occupancy.countLateAt(gapMs * pace.getSlowdown(this.now));
    const possible = (maybeLate - late) * POSSIBLE_INTERFERENCE_SHARE;
    return (late + possible) * LATE_NEIGHBOUR_WEIGHT;
  }

  /**
   * Whether an engine gets no long generation for now: its factor is not known while factors
   * differ, and it has one already, whose first event tells the factor.
   */
  public isBeingObserved({ occupancy, pace }: engineStates.EngineState): boolean {
    return (
      this.areFactorsUneven &&
      this.isLong &&
      pace.getFactor() === undefined &&
      occupancy.hasLongRun()
    );
  }

  /**
   * Returns how far beyond its target the longest gap is expected, from 0 to 1. An engine of unknown
   * factor counts as the mean of the pool.
   */
  private getLateness({ pace }: engineStates.EngineState): number {
    if (this.largestFactor === Infinity) {
      return 0;
    }
    const excess = (pace.getFactor() ?? this.meanFactor) / this.largestFactor - 1;
    return Math.min(1, Math.max(0, excess / FULL_EXCESS));
  }
}
