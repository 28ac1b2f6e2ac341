import * as decayingCounts from './decaying-count.js';
import * as shareRequests from './share-request.js';

/** Requests of one team and one priority, in the order of their latest start. */
export class ShareLane<R extends shareRequests.ShareRequest> {
  /** Recent requests, waiting or not. */
  public readonly asked = new decayingCounts.DecayingCount();
  /** Capacity that recent requests asked for. */
  public readonly askedCost = new decayingCounts.DecayingCount();
  public readonly served = new decayingCounts.DecayingCount();
  public readonly refused = new decayingCounts.DecayingCount();
  /** Difference between the position of this lane and the service that its team received. */
  public shift = 0;
  private readonly requests: R[] = [];
  private waitingCost = 0;

  public constructor(
    public readonly team: string,
    public readonly priority: number,
  ) {}

  /** Number of waiting requests. */
  public get size(): number {
    return this.requests.length;
  }

  /** Capacity that the waiting requests need. */
  public get cost(): number {
    return this.waitingCost;
  }

  /** Adds a request behind those that must start earlier or at the same time. */
  public add(req: R): void {
    this.requests.splice(this.countBefore(shareRequests.getLatestStart(req), true), 0, req);
    this.waitingCost += req.cost;
  }

  /** Removes a request. */
  public remove(req: R): void {
    const at = this.requests.indexOf(req);
    if (at < 0) {
      return;
    }
    this.requests.splice(at, 1);
    this.waitingCost = this.requests.length === 0 ? 0 : this.waitingCost - req.cost;
  }

  /** Returns all waiting requests. */
  public list(): readonly R[] {
    return this.requests;
  }

  /** Returns the requests that can still be on time. */
  public listOnTime(now: number): R[] {
    return this.requests.slice(this.countLate(now));
  }

  /** Returns the requests that cannot be on time. */
  public listLate(now: number): R[] {
    return this.requests.slice(0, this.countLate(now));
  }

  /** Returns the number of requests that cannot be on time. */
  public countLate(now: number): number {
    return this.countBefore(now, false);
  }

  /** Returns the number of requests whose latest start is before a time, or also at that time. */
  private countBefore(time: number, isInclusive: boolean): number {
    let low = 0;
    let high = this.requests.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const start = shareRequests.getLatestStart(this.requests[middle]!);
      if (start < time || (isInclusive && start === time)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
