import type * as schemas from '@bramleyridge/schemas';

/** The parameters of a retry budget. */
export interface RetryAllowance {
  /** Retries that each request adds; a ratio below 1 keeps failures from multiplying the load. */
  readonly perRequest: number;
  /** Maximum number of retries that accumulate. */
  readonly maxSaved: number;
  /** Retries added per second, independent of requests. */
  readonly perSecond: number;
}

/** The allowance that applies unless the deployment sets another. */
export const DEFAULT_ALLOWANCE: RetryAllowance = { perRequest: 0.1, maxSaved: 20, perSecond: 0.5 };

/** A source of retries. */
export interface RetrySource {
  /** Counts the first attempt of a request. */
  recordRequest(): void;
  /** Takes one retry; false when none is available. */
  take(): boolean | Promise<boolean>;
}

/** A source that also grants retries from a shared pool, for retries that are planned ahead. */
export interface GrantingRetrySource extends RetrySource {
  /** Takes one retry, first from the shared pool; false when none is available. */
  takeGranted(): Promise<boolean>;
}

/** A token bucket: each request and each second add a fraction of a token, each retry takes one. */
export class RetryBudget implements RetrySource {
  private tokens: number;
  private refilledAt: number;

  public constructor(
    private readonly clock: schemas.Clock,
    private allowance: RetryAllowance = DEFAULT_ALLOWANCE,
  ) {
    this.tokens = allowance.maxSaved;
    this.refilledAt = clock.now();
  }

  /** Sets another allowance; tokens beyond its maximum are dropped. */
  public setAllowance(allowance: RetryAllowance): void {
    this.allowance = allowance;
    this.tokens = Math.min(this.tokens, allowance.maxSaved);
  }

  /** Counts the first attempt of a request. */
  public recordRequest(): void {
    this.tokens = Math.min(this.allowance.maxSaved, this.tokens + this.allowance.perRequest);
  }

  /** Takes one retry; false when less than one token is left. */
  public take(): boolean {
    const { maxSaved, perSecond } = this.allowance;
    const now = this.clock.now();
    this.tokens = Math.min(maxSaved, this.tokens + ((now - this.refilledAt) / 1_000) * perSecond);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
