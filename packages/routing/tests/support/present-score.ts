import * as routing from '@bramleyridge/routing';

/** Constants of the score as it was before engines stated slowdowns. */
const SHORT_HORIZON_MS = 1_000;
const HORIZON_MS = 3_000;
const PLACEMENT_LIMIT = 0.92;
const BACKLOG_LIMIT_MS = 300;
const BACKLOG_SCALE_MS = 1_500;
const RUN_WEIGHT = 0.01;
const CROSS_ZONE_WEIGHT = 0.5;

/** Chooses an engine by the score as it was before engines stated slowdowns. */
export function chooseByPresentScore(
  engines: Iterable<routing.EngineState>,
  spec: routing.PlacementSpec,
  now: number,
  mayWait: boolean,
): routing.EngineState | undefined {
  const horizonMs = routing.hasShortAnswer(spec) ? SHORT_HORIZON_MS : HORIZON_MS;
  const size = routing.forecastTokens(spec, 0, horizonMs);
  let best: routing.EngineState | undefined;
  let bestScore = Infinity;
  for (const state of engines) {
    const { availabilityZone, engineId, isClosed, memoryTokens, slots } = state.engine;
    const share = (sumForecasts(state, now, horizonMs) + size) / memoryTokens;
    const { running } = state.occupancy;
    const backlogMs = state.backlog.getMs(now);
    const isOpen =
      isClosed !== true && !spec.excluded.includes(engineId) && state.canAcceptSend(now);
    const hasCapacity = isOpen && share <= PLACEMENT_LIMIT && running < slots;
    const hasShortBacklog = !mayWait || backlogMs <= BACKLOG_LIMIT_MS;
    const zonePenalty = availabilityZone === spec.availabilityZone ? 0 : CROSS_ZONE_WEIGHT;
    const penalty = state.getFailurePenalty(now) + zonePenalty;
    const score = share + penalty + running * RUN_WEIGHT + backlogMs / BACKLOG_SCALE_MS;
    if (hasCapacity && hasShortBacklog && score < bestScore) {
      best = state;
      bestScore = score;
    }
  }
  return best;
}

/** Sums up the forecasts of the runs on an engine, each at the usual speed. */
function sumForecasts(state: routing.EngineState, now: number, horizonMs: number): number {
  return state.occupancy
    .listRuns()
    .reduce(
      (sum, run) => sum + routing.forecastTokens(run.spec, now - run.startedAt, horizonMs),
      0,
    );
}
