import type * as engineLedgers from './engine-ledger.js';
import * as placementSpecs from './placement-spec.js';

/** A generation that waits for placement. */
export interface QueuedPlacement {
  readonly spec: placementSpecs.PlacementSpec;
  /** Time at which its first event is due. */
  readonly dueAt: number;
  /** Priority among those that are already late; 0 comes first. */
  readonly priority: number;
  /** Time until which it may wait. */
  readonly expiresAt: number;
}

/** The outcome for a generation that waited. */
export interface SettledPlacement<Q extends QueuedPlacement> {
  readonly queued: Q;
  /** `undefined` if its wait is over and no engine has capacity. */
  readonly placed: placementSpecs.Placement | undefined;
}

/**
 * Queues the generations that wait for placement in one pool: earliest due date first, placed as
 * late as possible. When prompts were bound to an engine on arrival, all of them went to the one
 * that had just started and waited there for 2 to 6 s, while other engines got free capacity within
 * tenths of a second. A generation whose first event is already late waits behind those that can
 * still be on time.
 */
export class PlacementQueue<Q extends QueuedPlacement = QueuedPlacement> {
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

  /** Places all that can be placed now, and settles those whose wait is over. */
  public dispatch(now: number): SettledPlacement<Q>[] {
    const settled: SettledPlacement<Q>[] = [];
    const remaining: Q[] = [];
    const failedSizes = new FailedSizes(this.ledger);
    [...this.sort(now)].forEach((queued) => {
      const isOver = now >= queued.expiresAt;
      const cannotFit = !isOver && failedSizes.has(queued.spec);
      const placed = cannotFit ? undefined : this.ledger.place(queued.spec, now, !isOver);
      if (placed !== undefined || isOver) {
        settled.push({ queued, placed });
      } else {
        remaining.push(queued);
        failedSizes.record(queued.spec);
      }
    });
    this.waiting = remaining;
    return settled;
  }

  private sort(now: number): Q[] {
    const getLatestStart = (queued: Q) =>
      queued.dueAt - this.ledger.getPrefillMs(queued.spec.promptTokens);
    const isLate = (queued: Q) => Number(getLatestStart(queued) < now);
    const getLatePriority = (queued: Q) => isLate(queued) * queued.priority;
    return this.waiting.sort(
      (a, b) =>
        isLate(a) - isLate(b) ||
        getLatePriority(a) - getLatePriority(b) ||
        getLatestStart(a) - getLatestStart(b),
    );
  }
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
