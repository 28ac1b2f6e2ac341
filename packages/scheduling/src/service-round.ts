import type * as priorityOrders from './priority-order.js';
import type * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';
import type * as teamAccounts from './team-accounts.js';

/**
 * Relative difference up to which positions count as equal. They are sums of many costs; with equal
 * costs, rounding would otherwise decide which team comes first.
 */
const TIE_TOLERANCE = 1e-9;

interface Cursor<R extends shareRequests.ShareRequest> {
  readonly lane: shareLanes.ShareLane<R>;
  readonly position: number;
  /** What its team received recently relative to its weight, which decides between equal positions. */
  readonly received: number;
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

  public constructor(
    lanes: readonly shareLanes.ShareLane<R>[],
    private readonly accounts: teamAccounts.TeamAccounts<R>,
    private readonly priorities: priorityOrders.PriorityRound,
    now: number,
  ) {
    const levels = new Map<number, number>();
    lanes.forEach((lane) => {
      const [onTime, late] = [lane.listOnTime(now), lane.listLate(now)];
      const level = levels.get(lane.priority) ?? accounts.getLevel(lane.priority, now);
      levels.set(lane.priority, level);
      const position = accounts.getPosition(lane, level, now);
      const received = accounts.getRecentAdvance(lane.team, now);
      const cursor = { lane, position, received, onTime, late, onTimeIndex: 0, lateIndex: 0 };
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
      const position = cursor.position + advance;
      const tolerance = TIE_TOLERANCE * Math.max(1, Math.abs(position));
      const isTied = least !== undefined && Math.abs(position - leastPosition) <= tolerance;
      const isLess = isTied ? cursor.received < least!.received : position < leastPosition;
      if (isLess) {
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
