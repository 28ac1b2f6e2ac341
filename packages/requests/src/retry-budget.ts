import type * as schemas from '@bramleyridge/schemas';

/** How many retries there may be. */
export interface RetryAllowance {
  /** Retries that are allowed for each request, so that failures don't multiply load. */
  readonly perRequest: number;
  /** How many retries can be saved up. */
  readonly maxSaved: number;
  /** How fast retries come back without requests, per second. */
  readonly perSecond: number;
}

/** The allowance of a daemon that no deployment has set another for. */
export const DEFAULT_ALLOWANCE: RetryAllowance = { perRequest: 0.1, maxSaved: 20, perSecond: 0.5 };

/** Where a flow takes its retries from. */
export interface RetrySource {
  /** Counts a first try. */
  noteRequest(): void;
  /** Takes one retry, or refuses it. */
  take(): boolean | Promise<boolean>;
}

/** A source that also lends retries, to whoever can plan them. */
export interface GrantingRetrySource extends RetrySource {
  /** Takes one retry, from what is lent first. */
  takeGranted(): Promise<boolean>;
}

/** A bucket that every request fills a little and every retry empties by one. */
export class RetryBudget implements RetrySource {
  private saved: number;
  private at: number;

  public constructor(
    private readonly clock: schemas.Clock,
    private allowance: RetryAllowance = DEFAULT_ALLOWANCE,
  ) {
    this.saved = allowance.maxSaved;
    this.at = clock.now();
  }

  /** Sets another allowance; what was saved beyond it is lost. */
  public setAllowance(allowance: RetryAllowance): void {
    this.allowance = allowance;
    this.saved = Math.min(this.saved, allowance.maxSaved);
  }

  /** Counts a first try. */
  public noteRequest(): void {
    this.saved = Math.min(this.allowance.maxSaved, this.saved + this.allowance.perRequest);
  }

  /** Takes one retry, or refuses it. */
  public take(): boolean {
    const { maxSaved, perSecond } = this.allowance;
    const now = this.clock.now();
    this.saved = Math.min(maxSaved, this.saved + ((now - this.at) / 1_000) * perSecond);
    this.at = now;
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
