import type * as schemas from '@bramleyridge/schemas';

/** The rate limit of the weight store: loads that may begin, per second and saved up. */
export class ModelLoadLimiter {
  private tokens = 0;
  private at: number;

  /**
   * The bucket begins empty. A new leader does not know what the former one has just begun, and a full
   * bucket at every change of leaders would let the store be asked for more than its limit.
   */
  public constructor(
    private readonly clock: schemas.Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.at = clock.now();
  }

  /** Takes one load, or refuses it for now. */
  public take(): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1_000) * this.perSecond);
    this.at = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
