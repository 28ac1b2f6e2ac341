import type * as types from './types.js';

/** After how long in the queue a batch request goes before other batch work, in milliseconds. */
const AGING_MS = 20_000;

/** A request that waits. */
export interface QueuedRequest {
  readonly req: types.GrantRequest;
  readonly enqueuedAt: number;
  readonly cost: number;
}

interface TeamQueue {
  served: number;
  readonly waiting: Map<types.WorkClass, QueuedRequest[]>;
}

/**
 * What waits for room, by team and class. Interactive work goes first, then aged batch work, then the rest.
 * Among teams the one that was served least for its weight goes first, and a team that was away starts level
 * with the others, so that it can't save up idle time.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private level = 0;

  public constructor(private readonly getWeight: (team: string) => number) {}

  /** Puts a request at the end of its team's line. */
  public push(item: QueuedRequest): void {
    const queue = this.getTeam(item.req.team);
    if (this.countWaiting(item.req.team) === 0) {
      queue.served = Math.max(queue.served, this.level);
    }
    const line = queue.waiting.get(item.req.workClass) ?? [];
    queue.waiting.set(item.req.workClass, line);
    line.push(item);
  }

  /** Takes a request out, granted or not. */
  public remove(item: QueuedRequest): void {
    const line = this.teams.get(item.req.team)?.waiting.get(item.req.workClass);
    const at = line?.indexOf(item) ?? -1;
    if (at >= 0) {
      line?.splice(at, 1);
    }
  }

  /** Charges a team for what it was granted; a negative cost gives back what was not used. */
  public charge(team: string, cost: number): void {
    const queue = this.getTeam(team);
    const before = queue.served;
    queue.served += cost / this.getWeight(team);
    if (cost > 0) {
      this.level = Math.max(this.level, Math.min(before, this.getLeastServed()));
    }
  }

  /** The first of each line, in the order in which they should be served. */
  public *iterateHeads(now: number): Generator<QueuedRequest> {
    const heads: { item: QueuedRequest; rank: number; served: number }[] = [];
    this.teams.forEach((queue) => {
      queue.waiting.forEach(([item]) => {
        if (item !== undefined) {
          heads.push({ item, rank: this.getRank(item, now), served: queue.served });
        }
      });
    });
    heads.sort((a, b) => a.rank - b.rank || a.served - b.served);
    for (const head of heads) {
      yield head.item;
    }
  }

  /** Whether a request that does not fit holds back what comes behind it. */
  public isBlocking(item: QueuedRequest, now: number): boolean {
    return item.req.workClass === 'batch' && this.isAged(item, now);
  }

  /** Whether batch work waits that has waited long. */
  public hasAgedBatch(now: number): boolean {
    return this.listAll().some((item) => this.isBlocking(item, now));
  }

  /** Every request whose patience is over. */
  public listTimedOut(now: number): QueuedRequest[] {
    return this.listAll().filter((item) => now - item.enqueuedAt >= item.req.patienceMs);
  }

  /** Everything that waits. */
  public listAll(): QueuedRequest[] {
    return [...this.teams.values()].flatMap((queue) => [...queue.waiting.values()].flat());
  }

  /** How many requests of a team wait. */
  public countWaiting(team: string): number {
    const lines = this.teams.get(team)?.waiting.values() ?? [];
    return [...lines].reduce((sum, line) => sum + line.length, 0);
  }

  private getRank(item: QueuedRequest, now: number): number {
    if (item.req.workClass === 'interactive') {
      return 0;
    }
    return this.isAged(item, now) ? 1 : 2;
  }

  private isAged(item: QueuedRequest, now: number): boolean {
    return now - item.enqueuedAt + item.req.waitedMs > AGING_MS;
  }

  private getTeam(team: string): TeamQueue {
    const known = this.teams.get(team);
    if (known !== undefined) {
      return known;
    }
    const created: TeamQueue = { served: this.level, waiting: new Map() };
    this.teams.set(team, created);
    return created;
  }

  private getLeastServed(): number {
    const busy = [...this.teams.entries()].filter(([team]) => this.countWaiting(team) > 0);
    return busy.length === 0 ? Infinity : Math.min(...busy.map(([, queue]) => queue.served));
  }
}
