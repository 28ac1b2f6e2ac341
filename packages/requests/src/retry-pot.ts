/** How many retries the hosts may borrow, over a sliding window. */
export interface RetryPotBounds {
  readonly most: number;
  readonly windowMs: number;
}

/**
 * Retries that hosts borrow when their own share is used up. Retries are needed in bursts, at the one or two hosts
 * whose callers were on an engine that is lost; an equal share for each of eight hosts allowed them four in ten seconds
 * while the deployment's 70 were hardly touched. One lender knows how many are out, so the sum stays exact.
 */
export class RetryPot {
  private lentAt: number[] = [];
  private lender: number | undefined;
  private lenderSince = 0;

  public constructor(private readonly bounds: RetryPotBounds) {}

  /**
   * Lends one retry, or refuses. `lender` is the term in which this host leads: a leader that has just risen does not
   * know what the one before it lent, so it lends nothing until that is out of the window.
   */
  public lend(lender: number, now: number): boolean {
    const { most, windowMs } = this.bounds;
    if (lender !== this.lender) {
      this.lender = lender;
      this.lenderSince = now;
      this.lentAt = [];
    }
    this.lentAt = this.lentAt.filter((at) => now - at < windowMs);
    if (now - this.lenderSince < windowMs || this.lentAt.length >= most) {
      return false;
    }
    this.lentAt.push(now);
    return true;
  }
}
