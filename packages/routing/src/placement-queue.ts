import type * as engineLedgers from './engine-ledger.js';
import * as placeNeeds from './placement-spec.js';

/** A generation that waits for a place. */
export interface QueuedPlacement {
  readonly spec: placeNeeds.PlacementSpec;
  /** When its first event is due. */
  readonly dueAt: number;
  /** Its rank; 0 goes first among those that are late anyway. */
  readonly priority: number;
  /** Until when it may wait. */
  readonly expiresAt: number;
}

/** What became of one that waited. */
export interface SettledPlacement<Q extends QueuedPlacement> {
  readonly queued: Q;
  /** Nothing when its wait is over and no engine has room. */
  readonly placed: placeNeeds.Placement | undefined;
}

/**
 * Generations that wait for a place in one pool: earliest due date first, as late as possible. Bound to an engine when
 * they came, prompts all ran to the one that had just started and waited 2 to 6 s there, while other engines got room
 * within tenths of a second. One whose first event is late anyway waits behind those that can still be on time.
 */
export class PlacementQueue<Q extends QueuedPlacement = QueuedPlacement> {
  private waiting: Q[] = [];

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** How many wait. */
  public get size(): number {
    return this.waiting.length;
  }

  /** Puts one in. */
  public add(queued: Q): void {
    this.waiting.push(queued);
  }

  /** Places what can be placed now, and gives up on those whose wait is over. */
  public dispatch(now: number): SettledPlacement<Q>[] {
    const settled: SettledPlacement<Q>[] = [];
    const left: Q[] = [];
    const tooLarge = new TooLarge(this.ledger);
    [...this.sort(now)].forEach((queued) => {
      const isOver = now >= queued.expiresAt;
      const isHopeless = !isOver && tooLarge.has(queued.spec);
      const placed = isHopeless ? undefined : this.ledger.place(queued.spec, now, !isOver);
      if (placed !== undefined || isOver) {
        settled.push({ queued, placed });
      } else {
        left.push(queued);
        tooLarge.note(queued.spec);
      }
    });
    this.waiting = left;
    return settled;
  }

  private sort(now: number): Q[] {
    const startBy = (queued: Q) =>
      queued.dueAt - this.ledger.getPrefillMs(queued.spec.promptTokens);
    const isLate = (queued: Q) => Number(startBy(queued) < now);
    const lateRank = (queued: Q) => isLate(queued) * queued.priority;
    return this.waiting.sort(
      (a, b) => isLate(a) - isLate(b) || lateRank(a) - lateRank(b) || startBy(a) - startBy(b),
    );
  }
}

/**
 * What has just found no room: whatever needs as much finds none at that moment either. With hundreds that wait, each
 * looking at every engine every few milliseconds, the account would do nothing else.
 */
class TooLarge {
  private readonly byKind = new Map<boolean, number>();

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** Whether a generation needs as much as one that found no room. */
  public has(need: placeNeeds.PlacementSpec): boolean {
    if (need.fixedEngineId !== undefined) {
      return false;
    }
    const least = this.byKind.get(placeNeeds.hasShortAnswer(need)) ?? Infinity;
    return this.ledger.getTokensNeeded(need) >= least;
  }

  /** Notes one that found no room; where engines are excluded for it that says nothing of others. */
  public note(need: placeNeeds.PlacementSpec): void {
    if (need.excluded.length > 0) {
      return;
    }
    const kind = placeNeeds.hasShortAnswer(need);
    const least = this.byKind.get(kind) ?? Infinity;
    this.byKind.set(kind, Math.min(least, this.ledger.getTokensNeeded(need)));
  }
}
