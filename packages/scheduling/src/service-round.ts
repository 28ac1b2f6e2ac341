import type * as priorityOrders from './priority-order.js';
import type * as shareLanes from './share-lane.js';
import type * as shareRequests from './share-request.js';
import type * as teamAccounts from './team-accounts.js';

/**
 * Relative difference up to which positions count as equal. They are sums of many costs; with equal
 * costs, rounding would otherwise decide which team comes first.
 */
const TIE_TOLERANCE = 1e-9;

/** The requests of one lane that are on time, or those that are late, and the next of them. */
interface Cursor<R extends shareRequests.ShareRequest> {
  readonly team: string;
  readonly requests: readonly R[];
  /** Position of the lane at the start of the round, and with what was chosen since. */
  readonly start: number;
  position: number;
  /** What its team received recently relative to its weight, which decides between equal positions. */
  readonly received: number;
  index: number;
}

/** The lanes of one priority. */
interface Group<R extends shareRequests.ShareRequest> {
  readonly priority: number;
  readonly onTime: Cursor<R>[];
  readonly late: Cursor<R>[];
}

/**
 * The order in which the requests of some lanes are served, each chosen as if those before it were
 * served. It keeps copies, so requests may be added and removed meanwhile. Cursors are kept sorted
 * and positions only increase, so that each choice moves few of them.
 */
export class ServiceRound<R extends shareRequests.ShareRequest> {
  private readonly groups: Group<R>[];
  /** How far the requests chosen so far advance their teams. */
  private readonly advances = new Map<string, number>();

  public constructor(
    lanes: readonly shareLanes.ShareLane<R>[],
    private readonly accounts: teamAccounts.TeamAccounts<R>,
    private readonly priorities: priorityOrders.PriorityRound,
    now: number,
  ) {
    const all = [...new Set(lanes.map(({ priority }) => priority))].sort((a, b) => a - b);
    this.groups = all.map((priority) => {
      const level = accounts.getLevel(priority, now);
      const peers = lanes.filter((lane) => lane.priority === priority);
      const createCursors = (list: (lane: shareLanes.ShareLane<R>) => R[]) =>
        peers
          .map((lane) => {
            const start = accounts.getPosition(lane, level, now);
            const received = accounts.getRecentAdvance(lane.team, now);
            const requests = list(lane);
            return { team: lane.team, requests, start, position: start, received, index: 0 };
          })
          .filter(({ requests }) => requests.length > 0)
          .sort(compare);
      return {
        priority,
        onTime: createCursors((lane) => lane.listOnTime(now)),
        late: createCursors((lane) => lane.listLate(now)),
      };
    });
  }

  /** Yields the requests in the order of service. */
  public *iterate(): Generator<R> {
    while (this.groups.length > 0) {
      const group = this.priorities.choose(this.groups)!;
      const isLate = group.onTime.length === 0;
      const cursor = this.settleFirst(isLate ? group.late : group.onTime);
      if (cursor !== undefined) {
        const req = cursor.requests[cursor.index]!;
        cursor.index += 1;
        const advance = this.accounts.getAdvance(cursor.team, req.cost);
        this.advances.set(cursor.team, (this.advances.get(cursor.team) ?? 0) + advance);
        this.priorities.recordServed(group.priority, isLate);
        yield req;
      } else if (isLate) {
        this.groups.splice(this.groups.indexOf(group), 1);
      }
    }
  }

  /**
   * Returns the cursor of the least served team, after moving those whose team was served since and
   * dropping those at their end.
   */
  private settleFirst(cursors: Cursor<R>[]): Cursor<R> | undefined {
    for (let first = cursors[0]; first !== undefined; [first] = cursors) {
      const position = first.start + (this.advances.get(first.team) ?? 0);
      const isAtEnd = first.index === first.requests.length;
      if (!isAtEnd && position === first.position) {
        return first;
      }
      cursors.shift();
      if (!isAtEnd) {
        first.position = position;
        insert(cursors, first);
      }
    }
    return undefined;
  }
}

/** Inserts a cursor behind those that come first or are equal. */
function insert<R extends shareRequests.ShareRequest>(
  cursors: Cursor<R>[],
  cursor: Cursor<R>,
): void {
  const at = cursors.findIndex((other) => compare(cursor, other) < 0);
  cursors.splice(at < 0 ? cursors.length : at, 0, cursor);
}

function compare(
  a: Cursor<shareRequests.ShareRequest>,
  b: Cursor<shareRequests.ShareRequest>,
): number {
  const tolerance = TIE_TOLERANCE * Math.max(1, Math.abs(a.position));
  const difference = a.position - b.position;
  return Math.abs(difference) <= tolerance ? a.received - b.received : difference;
}
