import type * as engineHoldings from './engine-holdings.js';
import type * as placeNeeds from './place-need.js';
import * as promptBacklogs from './prompt-backlog.js';

/** How much a failure weighs as a share of memory, and after which time half of that, in milliseconds. */
const FAILURE_WEIGHT = 0.4;
const FAILURE_HALF_LIFE_MS = 3_000;

/** What the account knows of one engine besides its generations. */
export class EngineState {
  /** Prompts that it has still to read. */
  public readonly backlog: promptBacklogs.PromptBacklog;
  private failures: number;
  private failedAt: number;

  /** An engine as it is listed now; what was known of it before is kept. */
  public constructor(
    public readonly engine: placeNeeds.LedgerEngine,
    /** What runs and is kept there. */
    public readonly holdings: engineHoldings.EngineHoldings,
    speed: promptBacklogs.ReadingSpeed,
    former: EngineState | undefined,
  ) {
    this.backlog = former?.backlog ?? new promptBacklogs.PromptBacklog(speed);
    this.failures = former?.failures ?? 0;
    this.failedAt = former?.failedAt ?? 0;
  }

  /** Notes a generation that it broke off. */
  public noteFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** How much fuller it counts for its failures, as a share of its memory; older ones count less. */
  public getFailureWeight(now: number): number {
    return this.getFailures(now) * FAILURE_WEIGHT;
  }

  private getFailures(now: number): number {
    if (this.failures === 0) {
      return 0;
    }
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
