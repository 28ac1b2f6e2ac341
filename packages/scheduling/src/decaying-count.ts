/**
 * Half-life of the recent counts, in milliseconds. A shortage lasts for seconds: a shorter half-life
 * would follow single bursts, a longer one would weigh the shortage before.
 */
export const RECENT_HALF_LIFE_MS = 5_000;

/** Time in which a constant flow adds up to its decaying count, in milliseconds. */
const MEAN_AGE_MS = RECENT_HALF_LIFE_MS / Math.LN2;

/**
 * Shortest time over which a rate is measured, in milliseconds; the first request of all would
 * otherwise count as an endless flow.
 */
const MIN_RATE_PERIOD_MS = 1_000;

/** Sum of what was recently added; each addition decays exponentially. */
export class DecayingCount {
  private value = 0;
  private updatedAt = -Infinity;
  private startedAt = Infinity;

  /** Adds an amount. */
  public add(amount: number, now: number): void {
    this.value = this.get(now) + amount;
    this.updatedAt = Math.max(now, this.updatedAt);
    this.startedAt = Math.min(now, this.startedAt);
  }

  /** Returns the sum, with each addition decayed by its age. */
  public get(now: number): number {
    const ageMs = Math.max(0, now - this.updatedAt);
    return this.value === 0 ? 0 : this.value * 0.5 ** (ageMs / RECENT_HALF_LIFE_MS);
  }

  /** Returns the mean amount added per millisecond. */
  public getRatePerMs(now: number): number {
    const periodMs = Math.max(MIN_RATE_PERIOD_MS, now - this.startedAt);
    return this.get(now) / (MEAN_AGE_MS * (1 - Math.exp(-periodMs / MEAN_AGE_MS)));
  }
}
