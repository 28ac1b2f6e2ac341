import type * as types from './types.js';

/** Time in the queue after which a batch request precedes other batch work, in milliseconds. */
const AGING_MS = 20_000;

/** A request in the queue. */
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
 * Queues requests for capacity by team and class. Interactive work comes first, then aged batch
 * work, then other batch work. Among teams, the one with the least service relative to its weight
 * comes first. A team that had no requests resumes at the current level of the others, so it cannot
 * accumulate credit while idle.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private level = 0;

  public constructor(private readonly getWeight: (team: string) => number) {}

  /** Appends a request to the queue of its team and class. */
  public push(item: QueuedRequest): void {
    const queue = this.getTeam(item.req.team);
    if (this.countWaiting(item.req.team) === 0) {
      queue.served = Math.max(queue.served, this.level);
    }
    const requests = queue.waiting.get(item.req.workClass) ?? [];
    queue.waiting.set(item.req.workClass, requests);
    requests.push(item);
  }

  /** Removes a request, granted or not. */
  public remove(item: QueuedRequest): void {
    const requests = this.teams.get(item.req.team)?.waiting.get(item.req.workClass);
    const at = requests?.indexOf(item) ?? -1;
    if (at >= 0) {
      requests?.splice(at, 1);
    }
  }

  /** Charges a team for a grant; a negative cost refunds what was not used. */
  public charge(team: string, cost: number): void {
    const queue = this.getTeam(team);
    const before = queue.served;
    queue.served += cost / this.getWeight(team);
    if (cost > 0) {
      this.level = Math.max(this.level, Math.min(before, this.getLeastServed()));
    }
  }

  /** Yields the first request of each team and class, in the order of service. */
  public *iterateHeads(now: number): Generator<QueuedRequest> {
    const heads: { item: QueuedRequest; priority: number; served: number }[] = [];
    this.teams.forEach((queue) => {
      queue.waiting.forEach(([item]) => {
        if (item !== undefined) {
          heads.push({ item, priority: this.getPriority(item, now), served: queue.served });
        }
      });
    });
    heads.sort((a, b) => a.priority - b.priority || a.served - b.served);
    for (const head of heads) {
      yield head.item;
    }
  }

  /** Whether a request that does not fit blocks those behind it. */
  public isBlocking(item: QueuedRequest, now: number): boolean {
    return item.req.workClass === 'batch' && this.isAged(item, now);
  }

  /** Whether batch work has been waiting for long. */
  public hasAgedBatch(now: number): boolean {
    return this.listAll().some((item) => this.isBlocking(item, now));
  }

  /** Returns the requests whose waiting time is over. */
  public listTimedOut(now: number): QueuedRequest[] {
    return this.listAll().filter((item) => now - item.enqueuedAt >= item.req.patienceMs);
  }

  /** Returns all requests in the queue. */
  public listAll(): QueuedRequest[] {
    return [...this.teams.values()].flatMap((queue) => [...queue.waiting.values()].flat());
  }

  /** Returns the number of queued requests of a team. */
  public countWaiting(team: string): number {
    const queues = this.teams.get(team)?.waiting.values() ?? [];
    return [...queues].reduce((sum, requests) => sum + requests.length, 0);
  }

  private getPriority(item: QueuedRequest, now: number): number {
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
