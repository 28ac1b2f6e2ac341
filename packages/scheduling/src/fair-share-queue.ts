import * as priorityOrders from './priority-order.js';
import * as serviceRounds from './service-round.js';
import * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';
import * as teamAccounts from './team-accounts.js';
import * as waitForecasts from './wait-forecast.js';

/**
 * Recent number of requests below which an empty lane is dropped; from a single request it is
 * reached after 50 s.
 */
const MIN_ASKED = 0.001;

/** Recent requests of one team and one priority, and the weight of the team. */
export interface TeamShare {
  readonly team: string;
  readonly priority: number;
  readonly weight: number;
  /** Recent requests, waiting, served, refused or withdrawn; each count decays with its age. */
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
}

/**
 * Queues requests for scarce capacity and divides it among teams by weighted max-min fairness.
 * Requests are ordered by priority, then those that can still be on time before those that cannot,
 * then by the service of their team relative to its weight, then by latest start. A priority that
 * is served far less often than all requests goes first.
 */
export class FairShareQueue<R extends shareRequests.ShareRequest> {
  private readonly accounts: teamAccounts.TeamAccounts<R>;
  private readonly priorities = new priorityOrders.PriorityOrder();
  private readonly laneOf = new Map<R, shareLanes.ShareLane<R>>();
  /** No request becomes hopeless before this time. */
  private hopelessAt = Infinity;
  private lastNow = -Infinity;

  public constructor(private readonly getWeight: (team: string) => number) {
    this.accounts = new teamAccounts.TeamAccounts(getWeight);
  }

  /** Number of waiting requests. */
  public get size(): number {
    return this.laneOf.size;
  }

  /** Adds a request. */
  public add(req: R, now: number): void {
    this.lastNow = now;
    const lane = this.getLane(req, now);
    if (lane.size === 0) {
      this.accounts.raise(lane);
    }
    lane.add(req);
    lane.asked.add(1, now);
    lane.askedCost.add(req.cost, now);
    this.laneOf.set(req, lane);
    this.hopelessAt = Math.min(this.hopelessAt, getLastStart(req));
  }

  /**
   * Yields the requests in the order of service, each chosen as if those before it were served.
   * Requests may be taken, added and removed meanwhile; what is added is not yielded.
   */
  public *iterate(now: number): Generator<R> {
    const lanes = this.listBusyLanes();
    const round = new serviceRounds.ServiceRound(lanes, this.accounts, this.startRound(now), now);
    for (const req of round.iterate()) {
      if (this.laneOf.has(req)) {
        yield req;
      }
    }
  }

  /** Removes a request that is served now and charges its team. */
  public take(req: R, now: number): void {
    this.lastNow = now;
    const lane = this.detach(req);
    if (lane === undefined) {
      return;
    }
    this.accounts.charge(lane, req.cost, now);
    lane.served.add(1, now);
    this.priorities.recordServed(req.priority, now);
  }

  /** Removes a request that left; it counts as one that was not served. */
  public remove(req: R): void {
    if (this.detach(req) !== undefined) {
      this.priorities.recordUnserved(req.priority, this.lastNow);
    }
  }

  /** Removes and returns the requests that cannot be served before they expire; they are refused. */
  public dropHopeless(now: number): R[] {
    this.lastNow = now;
    if (now <= this.hopelessAt) {
      return [];
    }
    const hopeless: R[] = [];
    this.hopelessAt = Infinity;
    this.laneOf.forEach((lane, req) => {
      if (now > getLastStart(req)) {
        hopeless.push(req);
      } else {
        this.hopelessAt = Math.min(this.hopelessAt, getLastStart(req));
      }
    });
    hopeless.forEach((req) => {
      this.detach(req)?.refused.add(1, now);
      this.priorities.recordUnserved(req.priority, now);
    });
    return hopeless;
  }

  /** Counts a request that was refused without having been added. */
  public recordRefused(req: shareRequests.ShareRequest, now: number): void {
    this.lastNow = now;
    const lane = this.getLane(req, now);
    lane.asked.add(1, now);
    lane.askedCost.add(req.cost, now);
    lane.refused.add(1, now);
    this.priorities.recordUnserved(req.priority, now);
  }

  /**
   * Returns the expected wait of a request, added or not, in milliseconds; a lower bound if that is
   * longer than the time until it expires. The capacity is in units of cost per millisecond.
   */
  public estimateWaitMs(
    req: shareRequests.ShareRequest,
    capacityPerMs: number,
    now: number,
  ): number {
    return waitForecasts.forecastWaitMs(req, {
      lanes: [...this.accounts.iterate()],
      accounts: this.accounts,
      priorities: this.startRound(now),
      capacityPerMs,
      now,
    });
  }

  /** Returns the recent counts of each team and priority. */
  public listTeams(now: number): TeamShare[] {
    return [...this.accounts.iterate()].map(({ asked, priority, refused, served, team }) => ({
      team,
      priority,
      weight: this.getWeight(team),
      asked: asked.get(now),
      served: served.get(now),
      refused: refused.get(now),
    }));
  }

  private startRound(now: number): priorityOrders.PriorityRound {
    const lateCounts = new Map<number, number>();
    this.listBusyLanes().forEach((lane) => {
      const count = lateCounts.get(lane.priority) ?? 0;
      lateCounts.set(lane.priority, count + lane.countLate(now));
    });
    return this.priorities.startRound(lateCounts, now);
  }

  private listBusyLanes(): shareLanes.ShareLane<R>[] {
    return [...this.accounts.iterate()].filter(({ size }) => size > 0);
  }

  private getLane(
    { priority, team }: shareRequests.ShareRequest,
    now: number,
  ): shareLanes.ShareLane<R> {
    const known = this.accounts.find(team, priority);
    if (known !== undefined) {
      return known;
    }
    this.accounts.prune((lane) => lane.size === 0 && lane.asked.get(now) < MIN_ASKED);
    const created = new shareLanes.ShareLane<R>(team, priority);
    this.accounts.add(created);
    return created;
  }

  private detach(req: R): shareLanes.ShareLane<R> | undefined {
    const lane = this.laneOf.get(req);
    if (lane !== undefined) {
      this.laneOf.delete(req);
      lane.remove(req);
    }
    return lane;
  }
}

/** Returns the last time at which a request may start and still be of use. */
function getLastStart({ expiresAt, serviceMs }: shareRequests.ShareRequest): number {
  return expiresAt - serviceMs;
}
