import type * as engineLedgers from './engine-ledger.js';
import type * as placementOrders from './placement-order.js';

/**
 * Orders waiting generations by due date, for all teams together. A generation whose first event is
 * already late waits behind those that can still be on time, and the late ones are ordered by
 * priority.
 */
export class DueDateOrder<
  Q extends placementOrders.QueuedPlacement,
> implements placementOrders.PlacementOrder<Q> {
  public readonly keepsTurns = false;
  private waiting: Q[] = [];

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** Number of waiting generations. */
  public get size(): number {
    return this.waiting.length;
  }

  /** Adds a generation. */
  public add(queued: Q): void {
    this.waiting.push(queued);
  }

  /** Iterates over the generations, the one that must start first at the front. */
  public iterate(now: number): Iterable<Q> {
    const getLatestStart = (queued: Q) =>
      queued.dueAt - this.ledger.getPrefillMs(queued.spec.promptTokens);
    const isLate = (queued: Q) => Number(getLatestStart(queued) < now);
    const getLatePriority = (queued: Q) => isLate(queued) * queued.priority;
    this.waiting.sort(
      (a, b) =>
        isLate(a) - isLate(b) ||
        getLatePriority(a) - getLatePriority(b) ||
        getLatestStart(a) - getLatestStart(b),
    );
    return [...this.waiting];
  }

  /** Returns `undefined`: no engine is kept free. */
  public findReservedEngine(): undefined {
    return undefined;
  }

  /** Does nothing: the order depends only on the due dates. */
  public recordSkipped(): void {}

  /** Removes a generation. */
  public settle(queued: Q): void {
    const at = this.waiting.indexOf(queued);
    if (at >= 0) {
      this.waiting.splice(at, 1);
    }
  }

  /** Returns all waiting generations. */
  public list(): Q[] {
    return [...this.waiting];
  }
}
