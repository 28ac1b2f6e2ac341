import * as decayingCounts from './decaying-count.js';
import type * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';

/**
 * Range of the weights that are applied. A weight far beyond what operators use would make the
 * positions infinite, and those of all teams incomparable.
 */
const MIN_WEIGHT = 1e-6;
const MAX_WEIGHT = 1e6;

/**
 * Part of its share of the recent service that a lane which is passed over keeps as credit: about
 * 2 s. It comes first with any credit; with more, a team whose requests did not fit for long would
 * then displace all others for as long.
 */
const MAX_CREDIT_SHARE = 0.3;

/** Number of recently served requests from which a lane counts as served: one in the half-life. */
const MIN_SERVED = 0.5;

interface TeamAccount<R extends shareRequests.ShareRequest> {
  /** Service received relative to the weight. */
  received: number;
  /** Capacity that recently served requests took. */
  readonly recentCost: decayingCounts.DecayingCount;
  readonly lanes: Map<number, shareLanes.ShareLane<R>>;
}

/**
 * Service of each team relative to its weight, as the position of each of its lanes. A charge
 * advances all lanes of a team, whatever the priority of the request. Each priority has a level,
 * the median of the positions at which its waiting lanes were served last; a lane that had nothing
 * waiting starts there. It is the median because single lanes may be far ahead, if only their small
 * requests fit, or far behind, if theirs do not fit. The level belongs to a priority because one
 * that is rarely served falls behind the others: a team that enters a frequently served one would
 * otherwise take all of it for long.
 */
export class TeamAccounts<R extends shareRequests.ShareRequest> {
  private readonly accounts = new Map<string, TeamAccount<R>>();
  /** Level of each priority when it was served last. */
  private readonly lastLevels = new Map<number, number>();
  private readonly recentCost = new decayingCounts.DecayingCount();
  /** Computed once for each time, because all positions depend on it. */
  private meanAdvance = { at: NaN, value: 0 };

  public constructor(private readonly getWeight: (team: string) => number) {}

  /** Finds the lane of a team and a priority. */
  public find(team: string, priority: number): shareLanes.ShareLane<R> | undefined {
    return this.accounts.get(team)?.lanes.get(priority);
  }

  /** Adds a lane. */
  public add(lane: shareLanes.ShareLane<R>): void {
    const account = this.accounts.get(lane.team) ?? {
      received: 0,
      recentCost: new decayingCounts.DecayingCount(),
      lanes: new Map<number, shareLanes.ShareLane<R>>(),
    };
    this.accounts.set(lane.team, account);
    account.lanes.set(lane.priority, lane);
  }

  /** Yields all lanes. */
  public *iterate(): Generator<shareLanes.ShareLane<R>> {
    for (const { lanes } of this.accounts.values()) {
      yield* lanes.values();
    }
  }

  /** Moves a lane that had nothing waiting to the level of its priority, unless it is further. */
  public raise(lane: shareLanes.ShareLane<R>, now: number): void {
    const level = this.getLevel(lane.priority, now);
    lane.shift = Math.max(lane.shift, level - this.getAccount(lane.team).received);
    lane.lastAdvance = 0;
  }

  /** Returns the level of a priority. */
  public getLevel(priority: number, now: number): number {
    const all: number[] = [];
    const served: number[] = [];
    this.accounts.forEach(({ lanes, received }) => {
      const lane = lanes.get(priority);
      if (lane !== undefined && lane.size > 0) {
        const start = received + lane.shift - lane.lastAdvance;
        all.push(start);
        if (lane.served.get(now) >= MIN_SERVED) {
          served.push(start);
        }
      }
    });
    const median = getMedian(served.length > 0 ? served : all);
    return median ?? this.lastLevels.get(priority) ?? 0;
  }

  /**
   * Returns the position of a lane, given the level of its priority. It is ahead of the level by no
   * more than its team received recently, so a team is not held back for service that it received
   * long ago, and behind it by a part of the service of that time at the most.
   */
  public getPosition(lane: shareLanes.ShareLane<R>, level: number, now: number): number {
    const { received } = this.getAccount(lane.team);
    const maxPosition = level + this.getRecentAdvance(lane.team, now);
    const minPosition = level - MAX_CREDIT_SHARE * this.getRecentMeanAdvance(now);
    return Math.max(minPosition, Math.min(received + lane.shift, maxPosition));
  }

  /** Returns by how much a request of this cost advances a team. */
  public getAdvance(team: string, cost: number): number {
    return cost / this.getAppliedWeight(team);
  }

  /** Returns by how much a team advanced recently. */
  public getRecentAdvance(team: string, now: number): number {
    return this.getAdvance(team, this.getAccount(team).recentCost.get(now));
  }

  /** Charges the team of a lane for a request that is served. */
  public charge(lane: shareLanes.ShareLane<R>, cost: number, now: number): void {
    const account = this.getAccount(lane.team);
    const level = this.getLevel(lane.priority, now);
    const position = this.getPosition(lane, level, now);
    lane.shift = position - account.received;
    this.lastLevels.set(lane.priority, Math.max(level, position));
    lane.lastAdvance = this.getAdvance(lane.team, cost);
    account.received += lane.lastAdvance;
    account.recentCost.add(cost, now);
    this.recentCost.add(cost, now);
    this.meanAdvance = { at: NaN, value: 0 };
  }

  /** Removes the lanes that satisfy a condition. */
  public prune(isIdle: (lane: shareLanes.ShareLane<R>) => boolean): void {
    this.accounts.forEach(({ lanes }, team) => {
      lanes.forEach((lane, priority) => {
        if (isIdle(lane)) {
          lanes.delete(priority);
        }
      });
      if (lanes.size === 0) {
        this.accounts.delete(team);
      }
    });
  }

  /** Returns by how much the recent service would have advanced all teams that got some. */
  private getRecentMeanAdvance(now: number): number {
    if (this.meanAdvance.at !== now) {
      this.meanAdvance = { at: now, value: this.computeRecentMeanAdvance(now) };
    }
    return this.meanAdvance.value;
  }

  private computeRecentMeanAdvance(now: number): number {
    const recentCost = this.recentCost.get(now);
    let weights = 0;
    this.accounts.forEach((account, team) => {
      weights += account.recentCost.get(now) > 0 ? this.getAppliedWeight(team) : 0;
    });
    return weights === 0 ? 0 : recentCost / weights;
  }

  private getAppliedWeight(team: string): number {
    return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, this.getWeight(team)));
  }

  private getAccount(team: string): TeamAccount<R> {
    const account = this.accounts.get(team);
    if (account === undefined) {
      throw new Error(`no account of team ${team}`);
    }
    return account;
  }
}

/** Returns the upper median of some numbers; `undefined` if there are none. */
function getMedian(values: readonly number[]): number | undefined {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
