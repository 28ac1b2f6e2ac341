interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Events on virtual time, in a binary heap. */
export class EventQueue {
  private readonly heap: Event[] = [];
  private time = 0;
  private order = 0;

  /** Returns the time of the event that runs. */
  public now(): number {
    return this.time;
  }

  /** Adds an event. */
  public schedule(delayMs: number, run: () => void): void {
    this.order += 1;
    this.heap.push({ at: this.time + Math.max(0, delayMs), order: this.order, run });
    let at = this.heap.length - 1;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.isBefore(at, parent)) {
        break;
      }
      this.swap(at, parent);
      at = parent;
    }
  }

  /** Runs the events up to a time. */
  public runUntil(end: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= end) {
      const next = this.pop();
      this.time = next.at;
      next.run();
    }
    this.time = end;
  }

  private pop(): Event {
    this.swap(0, this.heap.length - 1);
    const next = this.heap.pop()!;
    let at = 0;
    for (;;) {
      const children = [2 * at + 1, 2 * at + 2].filter((child) => child < this.heap.length);
      const [left, right] = children;
      if (left === undefined) {
        break;
      }
      const least = right !== undefined && this.isBefore(right, left) ? right : left;
      if (!this.isBefore(least, at)) {
        break;
      }
      this.swap(at, least);
      at = least;
    }
    return next;
  }

  private isBefore(one: number, other: number): boolean {
    const [a, b] = [this.heap[one]!, this.heap[other]!];
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(one: number, other: number): void {
    [this.heap[one], this.heap[other]] = [this.heap[other]!, this.heap[one]!];
  }
}
