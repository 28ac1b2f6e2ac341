import type * as engineLedgers from './engine-ledger.js';
import * as placementLimits from './placement-limits.js';
import type * as placementOrders from './placement-order.js';
import type * as waitingGenerations from './waiting-generation.js';

/**
 * Part of its wait for which a generation that does not fit may be overtaken by smaller ones. The
 * rest is left for runs to end on the engine that is then kept free for it; with less time left, a
 * long prompt beside a flood of short ones is refused before enough of them have ended.
 */
const MAX_OVERTAKEN_SHARE = 0.1;

/**
 * Time for which the engine is still kept free after the wait of that generation is over, in
 * milliseconds; longer than the 2 s after which refused callers return. One wait is often too short
 * to free enough memory for a long prompt.
 */
const HOLD_MS = 2_500;

/**
 * Part of an engine's memory up to which it is kept free for that long. To drain a whole engine
 * takes many seconds, and leaves half of its memory unused meanwhile.
 */
const MAX_HELD_SHARE = 0.5;

interface Reservation<Q extends placementOrders.QueuedPlacement> {
  readonly engineId: string;
  readonly team: string;
  readonly priority: number;
  /** The generation that gets it; `undefined` since the wait of the last one is over. */
  holder: waitingGenerations.WaitingGeneration<Q> | undefined;
  /** Time until which another one may become the holder. */
  readonly heldUntil: number;
}

/** Dependencies of the reservation of an engine. */
export interface EngineReservationOptions {
  readonly ledger: engineLedgers.EngineLedger;
  /** Returns the memory of an engine of this pool, in tokens. */
  readonly getMemoryTokens: () => number;
}

/**
 * Keeps one engine free for a generation that smaller ones have overtaken for a while, or for the
 * next one of its team and priority if its own wait was too short. It is the engine on which it was
 * overtaken last, as the ledger chose that one for its free memory.
 */
export class EngineReservation<Q extends placementOrders.QueuedPlacement> {
  /** Those that found no capacity in this round, in the order of service. */
  private skipped: waitingGenerations.WaitingGeneration<Q>[] = [];
  private unmarked: waitingGenerations.WaitingGeneration<Q>[] = [];
  private current: Reservation<Q> | undefined;

  public constructor(private readonly options: EngineReservationOptions) {}

  /** The generation for which an engine is kept free. */
  public get holder(): waitingGenerations.WaitingGeneration<Q> | undefined {
    return this.current?.holder;
  }

  /** The engine that is kept free. */
  public get engineId(): string | undefined {
    return this.current?.engineId;
  }

  /** Starts a round of placements; ends a reservation that nobody took over, or whose engine is gone. */
  public startRound(now: number): void {
    this.skipped = [];
    this.unmarked = [];
    const { engineId = '', heldUntil = 0, holder } = this.current ?? {};
    const isOver = holder === undefined && now >= heldUntil;
    if (isOver || !this.options.ledger.isListed(engineId)) {
      this.current = undefined;
    }
  }

  /** Records that a generation found no capacity in this round. */
  public recordSkipped(waiting: waitingGenerations.WaitingGeneration<Q>): void {
    this.skipped.push(waiting);
    this.unmarked.push(waiting);
    const { current } = this;
    if (current === undefined || current.holder !== undefined) {
      return;
    }
    const isSameLane = waiting.team === current.team && waiting.priority === current.priority;
    if (isSameLane && this.canHold(waiting, current.engineId)) {
      current.holder = waiting;
    }
  }

  /** Records that a generation was placed, and thereby overtook those that found no capacity. */
  public recordPlaced(
    waiting: waitingGenerations.WaitingGeneration<Q>,
    engineId: string,
    now: number,
  ): void {
    if (this.current?.holder === waiting) {
      this.current = undefined;
    }
    this.unmarked.forEach((item) => {
      item.overtakenAt ??= now;
    });
    this.unmarked = [];
    if (this.current === undefined) {
      this.reserve(engineId, now);
    }
  }

  /** Records that the wait of a generation is over. */
  public recordRefused(waiting: waitingGenerations.WaitingGeneration<Q>, now: number): void {
    const { current } = this;
    if (current === undefined || current.holder !== waiting) {
      return;
    }
    const isHeld = waiting.cost <= this.options.getMemoryTokens() * MAX_HELD_SHARE;
    this.current = isHeld ? { ...current, holder: undefined, heldUntil: now + HOLD_MS } : undefined;
  }

  private reserve(engineId: string, now: number): void {
    const holder = this.skipped.find(
      (waiting) => isOverdue(waiting, now) && this.canHold(waiting, engineId),
    );
    this.current = holder && {
      engineId,
      team: holder.team,
      priority: holder.priority,
      holder,
      heldUntil: holder.expiresAt,
    };
  }

  /** Whether a generation can be placed on an engine that is kept free for it. */
  private canHold(
    { cost, queued }: waitingGenerations.WaitingGeneration<Q>,
    engineId: string,
  ): boolean {
    const maxTokens = this.options.getMemoryTokens() * placementLimits.PLACEMENT_LIMIT;
    return cost <= maxTokens && !queued.spec.excluded.includes(engineId);
  }
}

function isOverdue(
  {
    addedAt,
    expiresAt,
    overtakenAt,
  }: waitingGenerations.WaitingGeneration<placementOrders.QueuedPlacement>,
  now: number,
): boolean {
  const maxOvertakenMs = (expiresAt - addedAt) * MAX_OVERTAKEN_SHARE;
  return overtakenAt !== undefined && now - overtakenAt >= maxOvertakenMs;
}
