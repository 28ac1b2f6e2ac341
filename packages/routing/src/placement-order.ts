import type * as placementSpecs from './placement-spec.js';

/** A generation that waits for placement. */
export interface QueuedPlacement {
  readonly spec: placementSpecs.PlacementSpec;
  /** The team of its caller; `undefined` for calls without a team. */
  readonly team?: string | undefined;
  /** Time at which its first event is due. */
  readonly dueAt: number;
  /** Priority; 0 comes first. */
  readonly priority: number;
  /** Time until which it may wait. */
  readonly expiresAt: number;
}

/** The waiting generations of a placement queue, and the order in which they are placed. */
export interface PlacementOrder<Q extends QueuedPlacement> {
  /** Number of waiting generations. */
  readonly size: number;
  /**
   * Whether a generation whose wait is over still waits its turn behind smaller ones that find no
   * capacity; otherwise it may be placed behind the prefill backlog of an engine before them.
   */
  readonly keepsTurns: boolean;
  /** Adds a generation. */
  add(queued: Q, now: number): void;
  /** Iterates over the generations in the order of placement; they may be settled meanwhile. */
  iterate(now: number): Iterable<Q>;
  /** Returns the engine that is kept free for another generation; `undefined` if none is. */
  findReservedEngine(queued: Q): string | undefined;
  /** Records that a generation found no capacity and continues to wait. */
  recordSkipped(queued: Q): void;
  /** Removes a generation that was placed, or whose wait is over. */
  settle(queued: Q, placed: placementSpecs.Placement | undefined, now: number): void;
  /** Returns all waiting generations. */
  list(): Q[];
}
