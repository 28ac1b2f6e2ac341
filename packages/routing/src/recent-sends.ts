/** The window in which sends are counted, in milliseconds: the second of the limit, and how much later a send may arrive. */
export const SEND_WINDOW_MS = 1_200;

/** The sends to one upstream of late. */
export class RecentSends {
  private sentAt: number[] = [];

  /** Notes a send. */
  public record(now: number): void {
    this.sentAt.push(now);
  }

  /** How many there were within the window. */
  public count(now: number): number {
    const first = this.sentAt.findIndex((at) => now - at < SEND_WINDOW_MS);
    if (first !== 0) {
      this.sentAt = first < 0 ? [] : this.sentAt.slice(first);
    }
    return this.sentAt.length;
  }
}
