import type * as engineOccupancies from './engine-occupancy.js';
import type * as placementSpecs from './placement-spec.js';
import * as prefillBacklogs from './prefill-backlog.js';
import * as recentSends from './recent-sends.js';

/**
 * Weight of a failure as a share of memory, and the time after which half of it remains, in
 * milliseconds.
 */
const FAILURE_PENALTY = 0.4;
const FAILURE_HALF_LIFE_MS = 3_000;

/** The state of one engine in the ledger. */
export class EngineState {
  /** Prompts whose prefill is not complete yet. */
  public readonly backlog: prefillBacklogs.PrefillBacklog;
  private readonly sends: recentSends.RecentSends;
  private failures: number;
  private failedAt: number;

  /** Creates the state of a listed engine and keeps what was recorded in its former state. */
  public constructor(
    public readonly engine: placementSpecs.LedgerEngine,
    /** The runs and backups on the engine. */
    public readonly occupancy: engineOccupancies.EngineOccupancy,
    prefillRate: prefillBacklogs.PrefillRate,
    former: EngineState | undefined,
  ) {
    this.backlog = former?.backlog ?? new prefillBacklogs.PrefillBacklog(prefillRate);
    this.sends = former?.sends ?? new recentSends.RecentSends();
    this.failures = former?.failures ?? 0;
    this.failedAt = former?.failedAt ?? 0;
  }

  /** Records that a generation is sent to the engine. */
  public recordSend(now: number): void {
    this.sends.record(now);
  }

  /**
   * Whether the engine sustains one more new generation now. It may be cold before any host detects
   * it, so a limit always applies.
   */
  public canAcceptSend(now: number): boolean {
    const { coldUntil = -Infinity, sendsPerS } = this.engine;
    if (sendsPerS === undefined) {
      return true;
    }
    return this.sends.count(now) < (now < coldUntil ? sendsPerS.cold : sendsPerS.most);
  }

  /** Records a generation that the engine aborted. */
  public recordFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** Returns the penalty for recent failures, as a share of memory. Older failures count less. */
  public getFailurePenalty(now: number): number {
    return this.getFailures(now) * FAILURE_PENALTY;
  }

  private getFailures(now: number): number {
    if (this.failures === 0) {
      return 0;
    }
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
