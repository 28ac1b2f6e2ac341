/** How many retries the hosts may borrow, over a sliding window. */
export interface RetryGrantLimits {
  readonly maxGrants: number;
  /** The same while what a former lender lent may still be in the window. */
  readonly maxGrantsForNewLeader: number;
  readonly windowMs: number;
}

/** Who lends: the term in which a host leads, and since when. */
export interface RetryGrantor {
  readonly term: number;
  readonly since: number;
}

/**
 * Retries that hosts borrow when their own share is used up. Retries are needed in bursts, at the one or two hosts
 * whose callers were on an engine that is lost; an equal share for each of eight hosts allowed them four in ten seconds
 * while the deployment's 70 were hardly touched. One lender knows how many are out, so the sum stays exact.
 */
export class RetryGrantLimiter {
  private lentAt: number[] = [];
  private term: number | undefined;

  public constructor(private readonly bounds: RetryGrantLimits) {}

  /**
   * Lends one retry, or refuses. A leader that has just risen does not know what the one before it lent, so it lends
   * little until that is out of the window.
   */
  public grant(lender: RetryGrantor, now: number): boolean {
    const { maxGrants: most, maxGrantsForNewLeader: mostAtFirst, windowMs } = this.bounds;
    if (lender.term !== this.term) {
      this.term = lender.term;
      this.lentAt = [];
    }
    this.lentAt = this.lentAt.filter((at) => now - at < windowMs);
    const isFirst = now - lender.since < windowMs;
    if (this.lentAt.length >= (isFirst ? mostAtFirst : most)) {
      return false;
    }
    this.lentAt.push(now);
    return true;
  }
}
