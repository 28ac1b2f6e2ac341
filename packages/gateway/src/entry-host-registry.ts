import type * as schemas from '@bramleyridge/schemas';

/** After how long without a question an entry host no longer counts, in milliseconds. */
const GONE_MS = 3_000;

/** The entry hosts that ask this core host for news. */
export class EntryHostRegistry {
  private readonly heardAt = new Map<string, number>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Notes a question. */
  public recordRequest(hostId: string): void {
    this.heardAt.set(hostId, this.clock.now());
  }

  /** How many entry hosts there are. */
  public count(): number {
    const now = this.clock.now();
    [...this.heardAt]
      .filter(([, at]) => now - at > GONE_MS)
      .forEach(([hostId]) => this.heardAt.delete(hostId));
    return this.heardAt.size;
  }
}
