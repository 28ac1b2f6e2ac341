/** The limits on retries that the leader grants to hosts, over a sliding window. */
export interface RetryGrantLimits {
  /** Maximum number of grants in one window. */
  readonly maxGrants: number;
  /** Maximum number of grants while those of a previous leader may still be in the window. */
  readonly maxGrantsForNewLeader: number;
  readonly windowMs: number;
}

/** The leadership under which a retry is granted: its term, and its start on the clock that is passed in. */
export interface RetryGrantor {
  readonly term: number;
  readonly since: number;
}

/**
 * Grants retries to hosts that have used up their own share. Retries are needed in bursts, at the one or two hosts
 * whose callers were on an engine that is lost. Equal shares for eight hosts allowed those hosts four retries in ten
 * seconds, while most of the 70 for the whole deployment stayed unused. The leader counts all grants, so the limit
 * holds for the whole deployment.
 */
export class RetryGrantLimiter {
  private grantedAt: number[] = [];
  private term: number | undefined;

  public constructor(private readonly bounds: RetryGrantLimits) {}

  /**
   * Grants one retry, or refuses it. A new leader has no record of the grants of its predecessor, so the lower limit
   * applies until these are outside the window.
   */
  public grant(grantor: RetryGrantor, now: number): boolean {
    const { maxGrants, maxGrantsForNewLeader, windowMs } = this.bounds;
    if (grantor.term !== this.term) {
      this.term = grantor.term;
      this.grantedAt = [];
    }
    this.grantedAt = this.grantedAt.filter((at) => now - at < windowMs);
    const isNewLeader = now - grantor.since < windowMs;
    if (this.grantedAt.length >= (isNewLeader ? maxGrantsForNewLeader : maxGrants)) {
      return false;
    }
    this.grantedAt.push(now);
    return true;
  }
}
