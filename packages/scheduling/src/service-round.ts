import type * as priorityOrders from './priority-order.js';
import type * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';
import type * as teamAccounts from './team-accounts.js';

interface Cursor<R extends shareRequests.ShareRequest> {
  readonly lane: shareLanes.ShareLane<R>;
  readonly onTime: readonly R[];
  readonly late: readonly R[];
  onTimeIndex: number;
  lateIndex: number;
}

/**
 * The order in which the requests of some lanes are served, each chosen as if those before it were
 * served. It keeps copies, so requests may be added and removed meanwhile.
 */
export class ServiceRound<R extends shareRequests.ShareRequest> {
  private readonly cursors = new Map<number, Cursor<R>[]>();
  /** How far the requests chosen so far advance their teams. */
  private readonly advances = new Map<string, number>();
  private readonly positions = new Map<Cursor<R>, number>();

  public constructor(
    lanes: readonly shareLanes.ShareLane<R>[],
    private readonly accounts: teamAccounts.TeamAccounts<R>,
    private readonly priorities: priorityOrders.PriorityRound,
    now: number,
  ) {
    lanes.forEach((lane) => {
      const [onTime, late] = [lane.listOnTime(now), lane.listLate(now)];
      const cursor = { lane, onTime, late, onTimeIndex: 0, lateIndex: 0 };
      this.positions.set(cursor, accounts.getPosition(lane, now));
      const cursors = this.cursors.get(lane.priority) ?? [];
      this.cursors.set(lane.priority, cursors);
      cursors.push(cursor);
    });
  }

  /** Yields the requests in the order of service. */
  public *iterate(): Generator<R> {
    for (let next = this.choose(); next !== undefined; next = this.choose()) {
      const { lane, req, wasLate } = next;
      const advance = this.accounts.getAdvance(lane.team, req.cost);
      this.advances.set(lane.team, (this.advances.get(lane.team) ?? 0) + advance);
      this.priorities.recordServed(lane.priority, wasLate);
      yield req;
    }
  }

  private choose(): { lane: shareLanes.ShareLane<R>; req: R; wasLate: boolean } | undefined {
    const priority = this.priorities.choose([...this.cursors.keys()]);
    if (priority === undefined) {
      return undefined;
    }
    const cursors = this.cursors.get(priority) ?? [];
    const onTime = this.findLeastServed(cursors.filter(hasOnTime));
    if (onTime !== undefined) {
      onTime.onTimeIndex += 1;
      const req = onTime.onTime[onTime.onTimeIndex - 1]!;
      return { lane: onTime.lane, req, wasLate: false };
    }
    const late = this.findLeastServed(cursors.filter(hasLate));
    if (late === undefined) {
      this.cursors.delete(priority);
      return this.choose();
    }
    late.lateIndex += 1;
    return { lane: late.lane, req: late.late[late.lateIndex - 1]!, wasLate: true };
  }

  private findLeastServed(cursors: readonly Cursor<R>[]): Cursor<R> | undefined {
    let least: Cursor<R> | undefined;
    let leastPosition = Infinity;
    cursors.forEach((cursor) => {
      const advance = this.advances.get(cursor.lane.team) ?? 0;
      const position = (this.positions.get(cursor) ?? 0) + advance;
      if (position < leastPosition) {
        least = cursor;
        leastPosition = position;
      }
    });
    return least;
  }
}

function hasOnTime({ onTime, onTimeIndex }: Cursor<shareRequests.ShareRequest>): boolean {
  return onTimeIndex < onTime.length;
}

function hasLate({ late, lateIndex }: Cursor<shareRequests.ShareRequest>): boolean {
  return lateIndex < late.length;
}
