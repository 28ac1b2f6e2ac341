import type * as schemas from '@bramleyridge/schemas';

/** After how long without a question an entry host no longer counts, in milliseconds. */
const GONE_MS = 3_000;

/** The entry hosts that ask this core host for news. */
export class EntryTable {
  private readonly heard = new Map<string, { readonly incarnation: number; readonly at: number }>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Notes a question. */
  public hear(hostId: string, incarnation: number): void {
    this.heard.set(hostId, { incarnation, at: this.clock.now() });
  }

  /** How many entry hosts there are. */
  public count(): number {
    const now = this.clock.now();
    [...this.heard]
      .filter(([, { at }]) => now - at > GONE_MS)
      .forEach(([hostId]) => this.heard.delete(hostId));
    return this.heard.size;
  }
}
