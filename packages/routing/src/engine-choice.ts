import * as crossZonePenalties from './cross-zone-penalty.js';
import type * as engineStates from './engine-state.js';
import type * as gapPenalties from './gap-penalties.js';
import * as memoryGrowth from './memory-growth.js';
import * as placementLimits from './placement-limits.js';
import * as placementSpecs from './placement-spec.js';

/**
 * Forecast horizon for a short answer, in milliseconds. It ends by then, so the later growth of
 * long generations is no reason to send it to the one empty engine, where all prompts already
 * queue.
 */
const SHORT_HORIZON_MS = 1_000;

/**
 * Limit of the prefill backlog up to which an engine is given another prompt, in milliseconds. A
 * prompt that waits at the leader can still go to whichever engine has capacity first; in an
 * engine's queue it is bound to that engine. The limit leaves enough work that an engine does not
 * idle between two placements.
 */
const BACKLOG_LIMIT_MS = 300;

/** Prefill backlog that weighs as much as the whole memory of an engine, in milliseconds. */
const BACKLOG_SCALE_MS = 1_500;

/**
 * Weight of each generation that runs on an engine, as a share of memory. By memory alone a run and
 * a backup weigh the same, so one of two engines would run eight long generations while the other
 * kept their backups. A step takes 7 ms plus 0.12 ms per run, so eight runs on one of two engines
 * are 6% slower than four on each.
 */
const RUN_WEIGHT = 0.01;

/** Chooses the engines of new generations by memory, backlog, zone, failures and pace. */
export class EngineChoice {
  private isPaced = false;

  public constructor(
    private readonly createPenalties: gapPenalties.CreateGapPenalties,
    private readonly listEngines: () => Iterable<engineStates.EngineState>,
  ) {}

  /** Returns the engine with the lowest score among those with capacity; `undefined` if none has. */
  public choose(
    spec: placementSpecs.PlacementSpec,
    now: number,
    mayWait: boolean,
  ): engineStates.EngineState | undefined {
    const horizonMs = getHorizonMs(spec);
    const size = memoryGrowth.forecastTokens(spec, 0, horizonMs);
    const penalties = this.createPenalties(spec, now);
    const { isPaced } = penalties;
    this.setPaced(isPaced);
    let best: engineStates.EngineState | undefined;
    let bestScore = Infinity;
    for (const state of this.listEngines()) {
      const { engineId, isClosed, memoryTokens, slots } = state.engine;
      const share = (state.occupancy.getForecastTokens(now, horizonMs) + size) / memoryTokens;
      const { running } = state.occupancy;
      const backlogMs = state.getBacklogMs(now, isPaced);
      const isOpen =
        isClosed !== true && !spec.excluded.includes(engineId) && state.canAcceptSend(now);
      const hasCapacity = isOpen && share <= placementLimits.PLACEMENT_LIMIT && running < slots;
      const hasShortBacklog = !mayWait || backlogMs <= BACKLOG_LIMIT_MS;
      const penalty =
        state.getFailurePenalty(now) + crossZonePenalties.getCrossZonePenalty(state.engine, spec);
      const usualScore = share + penalty + running * RUN_WEIGHT + backlogMs / BACKLOG_SCALE_MS;
      if (!hasCapacity || !hasShortBacklog || usualScore >= bestScore) {
        continue;
      }
      // Penalties only raise the score, so the costly one is computed for few engines.
      const paceScore = usualScore + penalties.getOwnPenalty(state);
      if (paceScore >= bestScore || (mayWait && penalties.isBeingObserved(state))) {
        continue;
      }
      const score = paceScore + penalties.getNeighbourPenalty(state);
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best;
  }

  /** Sets whether engines count at their own speed, if that has changed. */
  private setPaced(isPaced: boolean): void {
    if (isPaced !== this.isPaced) {
      this.isPaced = isPaced;
      for (const state of this.listEngines()) {
        state.setPaced(isPaced);
      }
    }
  }
}

/** Returns the horizon of the memory forecast for a generation, in milliseconds. */
export function getHorizonMs(spec: placementSpecs.PlacementSpec): number {
  return placementSpecs.hasShortAnswer(spec) ? SHORT_HORIZON_MS : placementLimits.HORIZON_MS;
}
