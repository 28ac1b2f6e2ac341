import * as dueDateOrders from './due-date-order.js';
import type * as engineLedgers from './engine-ledger.js';
import type * as placementOrders from './placement-order.js';
import * as placementSpecs from './placement-spec.js';

/** The outcome for a generation that waited. */
export interface SettledPlacement<Q extends placementOrders.QueuedPlacement> {
  readonly queued: Q;
  /** `undefined` if its wait is over and no engine has capacity. */
  readonly placed: placementSpecs.Placement | undefined;
}

/**
 * Queues the generations that wait for placement in one pool, and places them in a given order, as
 * late as possible. When prompts were bound to an engine on arrival, all of them went to the one
 * that had just started and waited there for 2 to 6 s, while other engines got free capacity within
 * tenths of a second.
 */
export class PlacementQueue<
  Q extends placementOrders.QueuedPlacement = placementOrders.QueuedPlacement,
> {
  private readonly arrived: Q[] = [];

  public constructor(
    private readonly ledger: engineLedgers.EngineLedger,
    private order: placementOrders.PlacementOrder<Q> = new dueDateOrders.DueDateOrder<Q>(ledger),
  ) {}

  /** Number of waiting generations. */
  public get size(): number {
    return this.arrived.length + this.order.size;
  }

  /** Adds a generation. */
  public add(queued: Q): void {
    this.arrived.push(queued);
  }

  /** Replaces the order; all generations continue to wait. */
  public setOrder(order: placementOrders.PlacementOrder<Q>): void {
    this.arrived.unshift(...this.order.list());
    this.order = order;
  }

  /** Places all that can be placed now, and settles those whose wait is over. */
  public dispatch(now: number): SettledPlacement<Q>[] {
    const { ledger, order } = this;
    this.arrived.splice(0).forEach((queued) => order.add(queued, now));
    const settled: SettledPlacement<Q>[] = [];
    const failedSizes = new FailedSizes(ledger);
    for (const queued of order.iterate(now)) {
      const isOver = now >= queued.expiresAt;
      const cannotFit = (!isOver || order.keepsTurns) && failedSizes.has(queued.spec);
      const spec = excludeEngine(queued.spec, order.findReservedEngine(queued));
      const placed = cannotFit ? undefined : ledger.place(spec, now, !isOver);
      if (placed !== undefined || isOver) {
        settled.push({ queued, placed });
        order.settle(queued, placed, now);
      } else {
        order.recordSkipped(queued);
        failedSizes.record(queued.spec);
      }
    }
    return settled;
  }
}

/** Excludes an engine for a generation that is not bound to one. */
function excludeEngine(
  spec: placementSpecs.PlacementSpec,
  engineId: string | undefined,
): placementSpecs.PlacementSpec {
  return engineId === undefined || spec.fixedEngineId !== undefined
    ? spec
    : { ...spec, excluded: [...spec.excluded, engineId] };
}

/**
 * Remembers the sizes that just found no capacity: a generation that needs as much finds none at
 * that moment either. With hundreds of waiting generations, each checked against every engine every
 * few milliseconds, the leader would have no time for anything else.
 */
class FailedSizes {
  private readonly byKind = new Map<boolean, number>();

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** Whether a generation needs as much as one that found no capacity. */
  public has(spec: placementSpecs.PlacementSpec): boolean {
    if (spec.fixedEngineId !== undefined) {
      return false;
    }
    const smallest = this.byKind.get(placementSpecs.hasShortAnswer(spec)) ?? Infinity;
    return this.ledger.getTokensNeeded(spec) >= smallest;
  }

  /**
   * Records a generation that found no capacity. One with excluded engines is ignored, since it
   * says nothing about others.
   */
  public record(spec: placementSpecs.PlacementSpec): void {
    if (spec.excluded.length > 0) {
      return;
    }
    const kind = placementSpecs.hasShortAnswer(spec);
    const smallest = this.byKind.get(kind) ?? Infinity;
    this.byKind.set(kind, Math.min(smallest, this.ledger.getTokensNeeded(spec)));
  }
}
