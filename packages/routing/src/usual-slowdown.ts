/**
 * Period whose lowest statement is the usual slowdown, in milliseconds. Interference lasts for about half a second, so
 * an engine states its usual slowdown many times within it.
 */
const PERIOD_MS = 20_000;

/**
 * The slowdown that one engine states at all times: its machine may be slower than those of the others. What it states
 * beyond that is interference. Without the distinction, a slow machine looks as if interference might end, and each
 * engine of the pool is expected to become as slow as a slow machine with interference.
 */
export class UsualSlowdown {
  private lowest: number | undefined;
  private lowestBefore: number | undefined;
  private periodStartedAt = -Infinity;

  /** Records a statement and returns the usual slowdown, the lowest one of this and the last period. */
  public record(slowdown: number, now: number): number {
    if (now - this.periodStartedAt > PERIOD_MS) {
      this.lowestBefore = this.lowest;
      this.lowest = undefined;
      this.periodStartedAt = now;
    }
    this.lowest = Math.min(this.lowest ?? Infinity, slowdown);
    return Math.min(this.lowest, this.lowestBefore ?? Infinity);
  }
}
