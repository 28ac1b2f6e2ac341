/** Time over which arrivals are averaged, in milliseconds: some bursts long, and short against a shortage. */
const AVERAGING_MS = 1_000;

/** Rate at which calls arrive that could be on time if they were served at once; older arrivals count less. */
export class OnTimeDemand {
  private weight = 0;
  private updatedAt = 0;

  /** Records an arrival. */
  public record(now: number): void {
    this.weight = this.getWeight(now) + 1;
    this.updatedAt = now;
  }

  /** Returns the arrivals per millisecond. */
  public getRatePerMs(now: number): number {
    return this.getWeight(now) / AVERAGING_MS;
  }

  private getWeight(now: number): number {
    return this.weight * Math.exp((this.updatedAt - now) / AVERAGING_MS);
  }
}
