import * as scheduling from '@bramleyridge/scheduling';

import type * as engineLedgers from './engine-ledger.js';
import * as placementLimits from './placement-limits.js';
import type * as placementOrders from './placement-order.js';
import type * as placementSpecs from './placement-spec.js';

/**
 * Part of its wait for which a generation that does not fit may be overtaken by smaller ones. The
 * rest is left for runs to end on the engine that is then kept free for it: with half of the wait,
 * prompts of 7,000 tokens beside a flood of 1,200 were served 0.35 to 0.48 instead of 0.39 to 0.55.
 */
const MAX_OVERTAKEN_SHARE = 0.1;

/**
 * Time for which the engine is still kept free after the wait of that generation is over, in
 * milliseconds; longer than the 2 s after which refused callers return. One wait is often too short
 * to free enough memory: without it, 0.19 to 0.43 of the same prompts were served.
 */
const HOLD_MS = 2_500;

/**
 * Part of an engine's memory up to which it is kept free for that long. To drain a whole engine
 * takes many seconds, and leaves half of its memory unused meanwhile.
 */
const MAX_HELD_SHARE = 0.5;

interface Waiting<Q extends placementOrders.QueuedPlacement> extends scheduling.ShareRequest {
  readonly queued: Q;
  readonly addedAt: number;
  /** Time at which one behind it was placed first; `undefined` if none was. */
  overtakenAt: number | undefined;
}

/** An engine that is kept free for generations of one team and priority. */
interface Reservation<Q extends placementOrders.QueuedPlacement> {
  readonly engineId: string;
  readonly team: string;
  readonly priority: number;
  /** The generation that gets it; `undefined` since the wait of the last one is over. */
  holder: Waiting<Q> | undefined;
  /** Time until which another one may become the holder. */
  heldUntil: number;
}

/** Dependencies of the order by team shares. */
export interface FairShareOrderOptions {
  readonly ledger: engineLedgers.EngineLedger;
  readonly getWeight: (team: string) => number;
  /** Returns the memory of an engine of this pool, in tokens. */
  readonly getMemoryTokens: () => number;
}

/**
 * Orders waiting generations by team shares; a generation costs the memory that it needs, in
 * tokens. One that does not fit is overtaken by smaller ones, but not indefinitely: after a while
 * the engine on which it was overtaken last is kept free for it, or for the next one of its team if
 * its own wait was too short. One engine is kept free at a time.
 * Registrations of generations with a fixed engine come first and are not charged, because their
 * placement was.
 */
export class FairShareOrder<
  Q extends placementOrders.QueuedPlacement,
> implements placementOrders.PlacementOrder<Q> {
  public readonly keepsTurns = true;
  private readonly queue: scheduling.FairShareQueue<Waiting<Q>>;
  private readonly waitingOf = new Map<Q, Waiting<Q>>();
  private readonly registrations = new Set<Q>();
  /** Those that found no capacity in this round, in the order of service. */
  private skipped: Waiting<Q>[] = [];
  private unmarked: Waiting<Q>[] = [];
  private reservation: Reservation<Q> | undefined;

  public constructor(private readonly options: FairShareOrderOptions) {
    this.queue = new scheduling.FairShareQueue(options.getWeight);
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
    this.skipped = [];
    this.unmarked = [];
    this.dropReservation(now);
    yield* [...this.registrations];
    const first = this.reservation?.holder;
    if (first !== undefined) {
      yield first.queued;
    }
    for (const waiting of this.queue.iterate(now)) {
      if (waiting !== first) {
        yield waiting.queued;
      }
    }
  }

  /** Returns the engine that is kept free for another generation; `undefined` if none is. */
  public findReservedEngine(queued: Q): string | undefined {
    const { engineId, holder } = this.reservation ?? {};
    return holder?.queued === queued ? undefined : engineId;
  }

  /** Records that a generation found no capacity and continues to wait. */
  public recordSkipped(queued: Q): void {
    const waiting = this.waitingOf.get(queued);
    if (waiting !== undefined) {
      this.skipped.push(waiting);
      this.unmarked.push(waiting);
      this.inheritReservation(waiting);
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
    if (this.reservation?.holder === waiting) {
      this.endHold(this.reservation, placed, now);
    }
    if (placed === undefined) {
      this.queue.refuse(waiting, now);
      return;
    }
    this.queue.take(waiting, now);
    this.recordOvertaking(placed.engineId, now);
  }

  /** Returns all waiting generations. */
  public list(): Q[] {
    return [...this.registrations, ...this.waitingOf.keys()];
  }

  /** Returns the recent counts of each team and priority. */
  public listTeams(now: number): scheduling.TeamShare[] {
    return this.queue.listTeams(now);
  }

  /** Records that those ahead were overtaken, and keeps the engine free for one if it is its turn. */
  private recordOvertaking(engineId: string, now: number): void {
    this.unmarked.forEach((waiting) => {
      waiting.overtakenAt ??= now;
    });
    this.unmarked = [];
    if (this.reservation === undefined) {
      const holder = this.skipped.find(
        (waiting) => isOverdue(waiting, now) && this.canHold(waiting, engineId),
      );
      this.reservation = holder && {
        engineId,
        team: holder.team,
        priority: holder.priority,
        holder,
        heldUntil: holder.expiresAt,
      };
    }
  }

  /** Whether a generation can be placed on an engine that is kept free for it. */
  private canHold({ cost, queued }: Waiting<Q>, engineId: string): boolean {
    const maxTokens = this.options.getMemoryTokens() * placementLimits.PLACEMENT_LIMIT;
    return cost <= maxTokens && !queued.spec.excluded.includes(engineId);
  }

  private inheritReservation(waiting: Waiting<Q>): void {
    const { engineId, holder, priority, team } = this.reservation ?? {};
    const isSameLane = waiting.team === team && waiting.priority === priority;
    if (this.reservation === undefined || holder !== undefined || !isSameLane) {
      return;
    }
    if (this.canHold(waiting, engineId ?? '')) {
      this.reservation.holder = waiting;
    }
  }

  private endHold(
    reservation: Reservation<Q>,
    placed: placementSpecs.Placement | undefined,
    now: number,
  ): void {
    const maxTokens = this.options.getMemoryTokens() * MAX_HELD_SHARE;
    const isHeld = placed === undefined && (reservation.holder?.cost ?? 0) <= maxTokens;
    this.reservation = isHeld
      ? { ...reservation, holder: undefined, heldUntil: now + HOLD_MS }
      : undefined;
  }

  /** Ends a reservation that nobody took over, or whose engine is gone. */
  private dropReservation(now: number): void {
    const { engineId = '', heldUntil = 0, holder } = this.reservation ?? {};
    const isOver = holder === undefined && now >= heldUntil;
    if (isOver || !this.options.ledger.isListed(engineId)) {
      this.reservation = undefined;
    }
  }
}

function isOverdue(
  { addedAt, expiresAt, overtakenAt }: Waiting<placementOrders.QueuedPlacement>,
  now: number,
): boolean {
  const maxOvertakenMs = (expiresAt - addedAt) * MAX_OVERTAKEN_SHARE;
  return overtakenAt !== undefined && now - overtakenAt >= maxOvertakenMs;
}
