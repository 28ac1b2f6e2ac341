import * as decayingCounts from './decaying-count.js';
import type * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';

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
 * the position of the lane that it served last; a lane that had nothing waiting starts there at the
 * least. The level belongs to a priority because one that is rarely served falls behind the others:
 * a team that enters a frequently served one would otherwise take all of it for long.
 */
export class TeamAccounts<R extends shareRequests.ShareRequest> {
  private readonly accounts = new Map<string, TeamAccount<R>>();
  private readonly levels = new Map<number, number>();

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
    this.raise(lane);
  }

  /** Yields all lanes. */
  public *iterate(): Generator<shareLanes.ShareLane<R>> {
    for (const { lanes } of this.accounts.values()) {
      yield* lanes.values();
    }
  }

  /** Moves a lane that had nothing waiting to the level of its priority, unless it is further. */
  public raise(lane: shareLanes.ShareLane<R>): void {
    const { received } = this.getAccount(lane.team);
    const level = this.levels.get(lane.priority) ?? 0;
    lane.shift = Math.max(lane.shift, level - received);
  }

  /**
   * Returns the position of a lane. It is ahead of the level of its priority by no more than its
   * team received recently, so a team is not held back for service that it received long ago.
   */
  public getPosition(lane: shareLanes.ShareLane<R>, now: number): number {
    const { received, recentCost } = this.getAccount(lane.team);
    const level = this.levels.get(lane.priority) ?? 0;
    const maxPosition = level + recentCost.get(now) / this.getWeight(lane.team);
    return Math.min(received + lane.shift, maxPosition);
  }

  /** Returns by how much a request of this cost advances a team. */
  public getAdvance(team: string, cost: number): number {
    return cost / this.getWeight(team);
  }

  /** Charges the team of a lane for a request that is served. */
  public charge(lane: shareLanes.ShareLane<R>, cost: number, now: number): void {
    const account = this.getAccount(lane.team);
    const position = this.getPosition(lane, now);
    lane.shift = position - account.received;
    this.levels.set(lane.priority, Math.max(this.levels.get(lane.priority) ?? 0, position));
    account.received += this.getAdvance(lane.team, cost);
    account.recentCost.add(cost, now);
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

  private getAccount(team: string): TeamAccount<R> {
    const account = this.accounts.get(team);
    if (account === undefined) {
      throw new Error(`no account of team ${team}`);
    }
    return account;
  }
}
