import type * as logs from './log.js';

/** What could not be read in a list or a message. */
export interface UnreadableEntries {
  /** The number of entries that were left out. */
  readonly unreadable: number;
  /** The faults of the first of them. */
  readonly faults: readonly string[];
}

/** Logs unreadable entries whenever their number changes, since they may stay in a list for long. */
export class EntryFaultLog {
  private readonly counts = new Map<string, number>();

  public constructor(
    private readonly log: Pick<logs.Log, 'warn'>,
    private readonly event: string,
  ) {}

  /** Records one read; `peer` is where the list or message comes from. */
  public record(peer: string, { faults, unreadable }: UnreadableEntries): void {
    if (unreadable === (this.counts.get(peer) ?? 0)) {
      return;
    }
    this.log.warn({ event: this.event, count: unreadable, faults, peer });
    if (unreadable === 0) {
      this.counts.delete(peer);
    } else {
      this.counts.set(peer, unreadable);
    }
  }
}
