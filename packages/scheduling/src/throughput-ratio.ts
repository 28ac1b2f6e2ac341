/** Time over which throughput is averaged, in milliseconds; a limit that is wrong is corrected within about a second. */
const AVERAGING_MS = 500;

/** Number of calls that had to end for a ratio; that of fewer is mostly chance. */
const MIN_EXPECTED_CALLS = 10;

/** Range of the ratio. Limits are rarely wrong by more, and a stall must not look like the usual rate. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 1.5;

/**
 * How many calls end relative to how many were expected to, while calls wait for slots. The expectation follows from
 * limits and service times, which may be wrong for seconds after an upstream has changed.
 */
export class ThroughputRatio {
  private ended = 0;
  private expected = 0;
  private observedAt = 0;
  /** Calls that were expected to end per millisecond since the last observation; 0 while none waited. */
  private expectedPerMs = 0;

  /** Records that a call has ended. */
  public recordEnd(): void {
    this.ended += Number(this.expectedPerMs > 0);
  }

  /** Records the expected rate from now on, in calls per millisecond; 0 if no call waits for a slot. */
  public observe(expectedPerMs: number, now: number): void {
    const elapsedMs = now - this.observedAt;
    if (elapsedMs > 0) {
      const decay = Math.exp(-elapsedMs / AVERAGING_MS);
      this.ended *= decay;
      this.expected = (this.expected + this.expectedPerMs * elapsedMs) * decay;
      this.observedAt = now;
    }
    this.expectedPerMs = expectedPerMs;
  }

  /** Returns the ratio; 1 if it is not known. */
  public get(): number {
    return this.expected < MIN_EXPECTED_CALLS
      ? 1
      : Math.min(MAX_RATIO, Math.max(MIN_RATIO, this.ended / this.expected));
  }
}
