import type * as priorityOrders from './priority-order.js';
import type * as shareLanes from './share-lane.js';
import * as shareRequests from './share-request.js';
import type * as teamAccounts from './team-accounts.js';

/**
 * Rounds of approximation of a wait, and the change of the wait, in milliseconds, at which it is
 * good enough. Each round adds the requests that arrive during the wait found so far.
 */
const MAX_ROUNDS = 16;
const PRECISION_MS = 1;

/** Work that may precede a request: a part that waits, and a flow that arrives meanwhile. */
interface Competitor {
  readonly cost: number;
  readonly costPerMs: number;
  /** The most that precedes the request; what exceeds the share of its team does not. */
  readonly maxCost: number;
}

/** What the forecast of a wait needs to know. */
export interface WaitForecastOptions<R extends shareRequests.ShareRequest> {
  readonly lanes: readonly shareLanes.ShareLane<R>[];
  readonly accounts: teamAccounts.TeamAccounts<R>;
  readonly priorities: priorityOrders.PriorityRound;
  readonly capacityPerMs: number;
  readonly now: number;
}

/**
 * Forecasts the wait of a request, in milliseconds, from the work ahead of it in the order of
 * service and from the recent flow of requests that will overtake it. It is only a lower bound if
 * it exceeds the time until the request expires.
 */
export function forecastWaitMs<R extends shareRequests.ShareRequest>(
  req: shareRequests.ShareRequest,
  { accounts, capacityPerMs, lanes, now, priorities }: WaitForecastOptions<R>,
): number {
  if (capacityPerMs <= 0) {
    return Infinity;
  }
  const latestStart = shareRequests.getLatestStart(req);
  const isLate = latestStart < now;
  const peers = lanes.filter(({ priority }) => priority === req.priority);
  const lane = peers.find(({ team }) => team === req.team);
  const own = lane === undefined ? [] : listAhead(lane, req, now);
  const ownCost = sumCosts(own);
  const position = lane === undefined ? 0 : accounts.getPosition(lane, now);
  const start = position + accounts.getAdvance(req.team, ownCost);
  const rivals = peers
    .filter((peer) => peer !== lane)
    .flatMap((peer) => {
      const gap = Math.max(0, start - accounts.getPosition(peer, now));
      const share = gap / accounts.getAdvance(peer.team, 1);
      const lateCost = sumCosts(peer.listLate(now));
      const onTimeCost = peer.cost - lateCost;
      const costPerMs = peer.askedCost.getRatePerMs(now);
      return isLate
        ? [
            { cost: onTimeCost, costPerMs, maxCost: Infinity },
            { cost: lateCost, costPerMs: 0, maxCost: share },
          ]
        : [{ cost: onTimeCost, costPerMs, maxCost: share }];
    });
  if (isLate && lane !== undefined) {
    rivals.push({ cost: 0, costPerMs: lane.askedCost.getRatePerMs(now), maxCost: Infinity });
  }
  const urgent = lanes
    .filter(({ priority }) => priority < req.priority)
    .map((other) => ({
      cost: other.cost,
      costPerMs: other.askedCost.getRatePerMs(now),
      maxCost: Infinity,
    }));
  const maxMs = Math.max(0, req.expiresAt - now);
  const waitMs = approximate(ownCost, [...rivals, ...urgent], capacityPerMs, maxMs);
  const peerCost = ownCost + sumPreceding(rivals, 0);
  const owed = priorities.countOwed(req.priority);
  if (owed > 0 && peerCost < owed * req.cost) {
    return Math.min(waitMs, peerCost / capacityPerMs);
  }
  const minCostPerMs =
    priorities.getMinRate() *
    peers.reduce((sum, peer) => sum + peer.askedCost.getRatePerMs(now), 0);
  const minRateMs = (peerCost + req.cost - owed * req.cost) / minCostPerMs;
  return minCostPerMs > 0 ? Math.min(waitMs, minRateMs) : waitMs;
}

/** Lists the requests of a lane that precede a request of its team. */
function listAhead<R extends shareRequests.ShareRequest>(
  lane: shareLanes.ShareLane<R>,
  req: shareRequests.ShareRequest,
  now: number,
): R[] {
  const latestStart = shareRequests.getLatestStart(req);
  const isLate = latestStart < now;
  const rest = isLate ? lane.listOnTime(now) : [];
  const peers = isLate ? lane.listLate(now) : lane.listOnTime(now);
  const at = peers.findIndex((peer) => peer === req);
  const ahead =
    at >= 0
      ? peers.slice(0, at)
      : peers.filter((peer) => shareRequests.getLatestStart(peer) <= latestStart);
  return [...rest, ...ahead];
}

function sumCosts(reqs: readonly shareRequests.ShareRequest[]): number {
  return reqs.reduce((sum, { cost }) => sum + cost, 0);
}

function sumPreceding(competitors: readonly Competitor[], waitMs: number): number {
  return competitors.reduce(
    (sum, { cost, costPerMs, maxCost }) => sum + Math.min(cost + costPerMs * waitMs, maxCost),
    0,
  );
}

function approximate(
  ownCost: number,
  competitors: readonly Competitor[],
  capacityPerMs: number,
  maxMs: number,
): number {
  let waitMs = 0;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const next = (ownCost + sumPreceding(competitors, waitMs)) / capacityPerMs;
    const isClose = next - waitMs < PRECISION_MS;
    waitMs = next;
    if (isClose || waitMs > maxMs) {
      break;
    }
  }
  return waitMs;
}
