import type * as engineHoldings from './engine-occupancy.js';
import type * as placeNeeds from './placement-spec.js';
import * as promptBacklogs from './prefill-backlog.js';
import * as recentSends from './recent-sends.js';

/** How much a failure weighs as a share of memory, and after which time half of that, in milliseconds. */
const FAILURE_WEIGHT = 0.4;
const FAILURE_HALF_LIFE_MS = 3_000;

/** What the account knows of one engine besides its generations. */
export class EngineState {
  /** Prompts that it has still to read. */
  public readonly backlog: promptBacklogs.PrefillBacklog;
  private readonly sends: recentSends.RecentSends;
  private failures: number;
  private failedAt: number;

  /** An engine as it is listed now; what was known of it before is kept. */
  public constructor(
    public readonly engine: placeNeeds.LedgerEngine,
    /** What runs and is kept there. */
    public readonly occupancy: engineHoldings.EngineOccupancy,
    speed: promptBacklogs.PrefillRate,
    former: EngineState | undefined,
  ) {
    this.backlog = former?.backlog ?? new promptBacklogs.PrefillBacklog(speed);
    this.sends = former?.sends ?? new recentSends.RecentSends();
    this.failures = former?.failures ?? 0;
    this.failedAt = former?.failedAt ?? 0;
  }

  /** Notes that a generation is sent there. */
  public recordSend(now: number): void {
    this.sends.record(now);
  }

  /** Whether it bears one more new generation now. An engine may be cold before anybody knows, so there is always a limit. */
  public canAcceptSend(now: number): boolean {
    const { coldUntil = -Infinity, sendsPerS } = this.engine;
    if (sendsPerS === undefined) {
      return true;
    }
    return this.sends.count(now) < (now < coldUntil ? sendsPerS.cold : sendsPerS.most);
  }

  /** Notes a generation that it broke off. */
  public recordFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** How much fuller it counts for its failures, as a share of its memory; older ones count less. */
  public getFailurePenalty(now: number): number {
    return this.getFailures(now) * FAILURE_WEIGHT;
  }

  private getFailures(now: number): number {
    if (this.failures === 0) {
      return 0;
    }
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
