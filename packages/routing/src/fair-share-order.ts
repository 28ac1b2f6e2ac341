import * as scheduling from '@bramleyridge/scheduling';

import * as engineReservations from './engine-reservation.js';
import type * as placementOrders from './placement-order.js';
import * as placementSpecs from './placement-spec.js';
import type * as waitingGenerations from './waiting-generation.js';

/** Dependencies of the order by team shares. */
export interface FairShareOrderOptions extends engineReservations.EngineReservationOptions {
  readonly getWeight: (team: string) => number;
}

/**
 * Orders waiting generations by team shares; a generation costs the memory that it needs, in
 * tokens. One that does not fit is overtaken by smaller ones, until an engine is kept free for it.
 * Registrations of generations with a fixed engine come first and are not charged, because their
 * placement was.
 */
export class FairShareOrder<
  Q extends placementOrders.QueuedPlacement,
> implements placementOrders.PlacementOrder<Q> {
  public readonly keepsTurns = true;
  private readonly queue: scheduling.FairShareQueue<waitingGenerations.WaitingGeneration<Q>>;
  private readonly reservation: engineReservations.EngineReservation<Q>;
  private readonly waitingOf = new Map<Q, waitingGenerations.WaitingGeneration<Q>>();
  private readonly registrations = new Set<Q>();
  /** Least memory that a waiting generation needs, by whether its answer is short. */
  private smallestCosts = new Map<boolean, number>();
  /** Whether generations as small as any that wait found no capacity in this round. */
  private isFull = false;

  public constructor(private readonly options: FairShareOrderOptions) {
    this.queue = new scheduling.FairShareQueue(options.getWeight);
    this.reservation = new engineReservations.EngineReservation(options);
  }

  /** Number of waiting generations. */
  public get size(): number {
    return this.registrations.size + this.queue.size;
  }

  /** Adds a generation. */
  public add(queued: Q, now: number): void {
    const { dueAt, expiresAt, priority, spec, team = '' } = queued;
    if (spec.fixedEngineId !== undefined) {
      this.registrations.add(queued);
      return;
    }
    const { ledger } = this.options;
    const waiting = {
      queued,
      team,
      priority,
      cost: ledger.getTokensNeeded(spec),
      serviceMs: ledger.getPrefillMs(spec.promptTokens),
      dueAt,
      expiresAt,
      addedAt: now,
      overtakenAt: undefined,
    };
    this.waitingOf.set(queued, waiting);
    this.queue.add(waiting, now);
  }

  /** Yields the registrations, the generation with a reserved engine, then all in order. */
  public *iterate(now: number): Generator<Q> {
    this.reservation.startRound(now);
    this.smallestCosts = this.findSmallestCosts();
    this.isFull = false;
    yield* [...this.registrations];
    const first = this.reservation.holder;
    if (first !== undefined) {
      yield first.queued;
    }
    const yielded = new Set([first]);
    for (const waiting of this.queue.iterate(now)) {
      if (this.isFull) {
        break;
      }
      if (!yielded.has(waiting)) {
        yielded.add(waiting);
        yield waiting.queued;
      }
    }
    // Nothing fits any more; the others only need their answer if their wait is over.
    yield* [...this.waitingOf.values()]
      .filter((waiting) => now >= waiting.expiresAt && !yielded.has(waiting))
      .map(({ queued }) => queued);
  }

  /** Returns the engine that is kept free for another generation; `undefined` if none is. */
  public findReservedEngine(queued: Q): string | undefined {
    const { engineId, holder } = this.reservation;
    return holder?.queued === queued ? undefined : engineId;
  }

  /** Records that a generation found no capacity and continues to wait. */
  public recordSkipped(queued: Q): void {
    const waiting = this.waitingOf.get(queued);
    if (waiting === undefined) {
      return;
    }
    this.reservation.recordSkipped(waiting);
    // One with excluded engines says nothing about others.
    const kind = placementSpecs.hasShortAnswer(queued.spec);
    const isSmallest = waiting.cost <= (this.smallestCosts.get(kind) ?? Infinity);
    if (isSmallest && queued.spec.excluded.length === 0) {
      this.smallestCosts.delete(kind);
      this.isFull = this.smallestCosts.size === 0;
    }
  }

  /** Removes a generation that was placed, or whose wait is over. */
  public settle(queued: Q, placed: placementSpecs.Placement | undefined, now: number): void {
    const waiting = this.waitingOf.get(queued);
    if (waiting === undefined) {
      this.registrations.delete(queued);
      return;
    }
    this.waitingOf.delete(queued);
    if (placed === undefined) {
      this.queue.refuse(waiting, now);
      this.reservation.recordRefused(waiting, now);
    } else {
      this.queue.take(waiting, now);
      this.reservation.recordPlaced(waiting, placed.engineId, now);
    }
  }

  /** Returns all waiting generations. */
  public list(): Q[] {
    return [...this.registrations, ...this.waitingOf.keys()];
  }

  /** Returns the recent counts of each team and priority. */
  public listTeams(now: number): scheduling.TeamShare[] {
    return this.queue.listTeams(now);
  }

  private findSmallestCosts(): Map<boolean, number> {
    const smallest = new Map<boolean, number>();
    this.waitingOf.forEach(({ cost, queued }) => {
      const kind = placementSpecs.hasShortAnswer(queued.spec);
      smallest.set(kind, Math.min(smallest.get(kind) ?? Infinity, cost));
    });
    return smallest;
  }
}
