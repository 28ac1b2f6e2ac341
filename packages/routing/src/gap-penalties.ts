import type * as engineStates from './engine-state.js';
import type * as eventGapModels from './event-gap-model.js';
import * as placementSpecs from './placement-spec.js';

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
 * Weight of each running stream that would have a gap beyond its target beside the prefill of
 * another prompt, as a share of memory.
 */
const LATE_NEIGHBOUR_WEIGHT = 0.1;

/**
 * Part of that weight if the gap is only too long should interference begin during the prefill. A
 * prefill takes 0.4 s, and interference begins about every 4 s.
 */
const POSSIBLE_INTERFERENCE_SHARE = 0.15;

/**
 * Ratio between the largest and the smallest factor in a pool from which an engine of unknown
 * factor may be a slow one. Observations of equal engines differ by up to 10%.
 */
const UNEVEN_RATIO = 1.15;

/** Validity of what is derived from the factors of the whole pool, in milliseconds. */
const POOL_FACTORS_TTL_MS = 50;

/** The factors of the engines of a pool at a time. */
interface PoolFactors {
  readonly at: number;
  readonly smallest: number;
  readonly largest: number;
  readonly mean: number;
}

const EQUAL_FACTORS: PoolFactors = { at: -Infinity, smallest: 1, largest: 1, mean: 1 };

/**
 * Rates the engines of one pool by the gaps to expect between the events of their streams. All
 * penalties are 0 while no engine of the pool has stated a slowdown within the last minute.
 */
export class GapPenalties {
  private factors = EQUAL_FACTORS;

  public constructor(
    private readonly gaps: eventGapModels.EventGapModel,
    private readonly listEngines: () => Iterable<engineStates.EngineState>,
  ) {}

  /** Whether the speeds of engines count, since they state slowdowns. */
  public areCounted(now: number): boolean {
    return this.gaps.isStating(now);
  }

  /**
   * Returns the penalty for a long generation on an engine where a gap beyond its target is
   * expected, as a share of memory.
   */
  public getOwnPenalty(
    state: engineStates.EngineState,
    spec: placementSpecs.PlacementSpec,
    now: number,
  ): number {
    return this.isLateAt(state, spec, now) ? LATE_GAP_WEIGHT : 0;
  }

  /** Returns the same for the engine of its backup. */
  public getBackupPenalty(
    state: engineStates.EngineState,
    spec: placementSpecs.PlacementSpec,
    now: number,
  ): number {
    return this.isLateAt(state, spec, now) ? LATE_BACKUP_WEIGHT : 0;
  }

  /**
   * Returns the penalty for a prompt on an engine whose running streams would have a gap beyond
   * their targets during its prefill, as a share of memory.
   */
  public getNeighbourPenalty(state: engineStates.EngineState, now: number): number {
    if (!this.gaps.isStating(now)) {
      return 0;
    }
    const { occupancy, pace } = state;
    const late = occupancy.countLateAt(this.forecastMs(state, pace.getSlowdown(now), now));
    const worstMs = this.forecastMs(state, this.gaps.getLargestSlowdown(now), now);
    const maybeLate = Math.max(0, occupancy.countLateAt(worstMs) - late);
    return (late + maybeLate * POSSIBLE_INTERFERENCE_SHARE) * LATE_NEIGHBOUR_WEIGHT;
  }

  /**
   * Whether an engine gets no long generation for now: its factor is not known while factors
   * differ, and it has one already, whose first event tells the factor.
   */
  public isBeingObserved(
    state: engineStates.EngineState,
    spec: placementSpecs.PlacementSpec,
    now: number,
  ): boolean {
    if (
      state.pace.getFactor() !== undefined ||
      placementSpecs.hasShortAnswer(spec) ||
      !this.gaps.isStating(now)
    ) {
      return false;
    }
    const { largest, smallest } = this.getFactors(now);
    return largest > smallest * UNEVEN_RATIO && state.occupancy.hasLongRun();
  }

  private isLateAt(
    state: engineStates.EngineState,
    spec: placementSpecs.PlacementSpec,
    now: number,
  ): boolean {
    if (
      spec.gapTargetMs === undefined ||
      placementSpecs.hasShortAnswer(spec) ||
      !this.gaps.isStating(now)
    ) {
      return false;
    }
    const slowdown = this.gaps.getLargestSlowdown(now);
    return this.forecastMs(state, slowdown, now) > spec.gapTargetMs;
  }

  /** Forecasts the longest gap on an engine; one of unknown factor counts as the mean of the pool. */
  private forecastMs(state: engineStates.EngineState, slowdown: number, now: number): number {
    const factor = state.pace.getFactor() ?? this.getFactors(now).mean;
    return this.gaps.forecastMs(factor, slowdown);
  }

  private getFactors(now: number): PoolFactors {
    if (now - this.factors.at >= POOL_FACTORS_TTL_MS) {
      this.factors = { ...summarize(this.listEngines()), at: now };
    }
    return this.factors;
  }
}

function summarize(engines: Iterable<engineStates.EngineState>): PoolFactors {
  let smallest = Infinity;
  let largest = 0;
  let sum = 0;
  let count = 0;
  for (const { pace } of engines) {
    const factor = pace.getFactor();
    if (factor !== undefined) {
      smallest = Math.min(smallest, factor);
      largest = Math.max(largest, factor);
      sum += factor;
      count += 1;
    }
  }
  return count === 0 ? EQUAL_FACTORS : { at: 0, smallest, largest, mean: sum / count };
}
