/**
 * Window in which sends are counted, in milliseconds: the one second of the rate limit, and 200 ms
 * by which a send may arrive later.
 */
export const SEND_WINDOW_MS = 1_200;

/** Counts the recent sends to one upstream. */
export class RecentSends {
  private sentAt: number[] = [];

  /** Records a send. */
  public record(now: number): void {
    this.sentAt.push(now);
  }

  /** Returns the number of sends within the window. */
  public count(now: number): number {
    const first = this.sentAt.findIndex((at) => now - at < SEND_WINDOW_MS);
    if (first !== 0) {
      this.sentAt = first < 0 ? [] : this.sentAt.slice(first);
    }
    return this.sentAt.length;
  }
}
