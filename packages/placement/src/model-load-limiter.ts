import type * as schemas from '@bramleyridge/schemas';

/** A token bucket that limits how many model loads start, since each reads from the weight store. */
export class ModelLoadLimiter {
  private tokens = 0;
  private refilledAt: number;

  /**
   * The bucket starts empty. A new leader has no record of the loads that the previous one just started, and a full
   * bucket at each change of leadership would allow more loads than the limit of the weight store.
   */
  public constructor(
    private readonly clock: schemas.Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.refilledAt = clock.now();
  }

  /** Takes a token for one load; false when less than one is left. */
  public take(): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(
      this.burst,
      this.tokens + ((now - this.refilledAt) / 1_000) * this.perSecond,
    );
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
