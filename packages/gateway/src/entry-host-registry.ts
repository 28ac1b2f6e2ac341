import type * as schemas from '@bramleyridge/schemas';

/** Time without a poll after which an entry host no longer counts, in milliseconds. */
const EXPIRY_MS = 3_000;

/** The entry hosts that poll this core host. */
export class EntryHostRegistry {
  private readonly polledAt = new Map<string, number>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Records a poll. */
  public recordPoll(hostId: string): void {
    this.polledAt.set(hostId, this.clock.now());
  }

  /** Counts the entry hosts that have polled recently. */
  public count(): number {
    const now = this.clock.now();
    [...this.polledAt]
      .filter(([, at]) => now - at > EXPIRY_MS)
      .forEach(([hostId]) => this.polledAt.delete(hostId));
    return this.polledAt.size;
  }
}
