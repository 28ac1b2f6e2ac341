import type * as schemas from '@bramleyridge/schemas';

interface Row {
  adopted: boolean;
  readonly isConnected: () => boolean;
  readonly abort: AbortController;
}

/** What a daemon says when another goes on with one of its generations. */
export interface AdoptAnswer {
  /** Whether the first caller still takes the generation here. */
  readonly isConnected: boolean;
}

/** The generations that this daemon relays, and which of them another daemon also goes on with. */
export class AdoptionTable {
  private readonly rows = new Map<string, Row>();

  /** Begins to watch a generation. */
  public open(generation: string, isConnected: () => boolean): void {
    this.rows.set(generation, { adopted: false, isConnected, abort: new AbortController() });
  }

  /** Another daemon goes on with a generation; this one will not cancel it any more. */
  public adopt(generation: string): AdoptAnswer {
    const row = this.rows.get(generation);
    if (row === undefined) {
      return { isConnected: false };
    }
    row.adopted = true;
    row.abort.abort(new Error('taken over'));
    return { isConnected: row.isConnected() };
  }

  /** Waits until a generation is taken over; false when nobody came within `ms`. */
  public async waitAdopted(generation: string, clock: schemas.Clock, ms: number): Promise<boolean> {
    const row = this.rows.get(generation);
    if (row !== undefined && !row.adopted) {
      await clock.sleep(ms, row.abort.signal).catch(() => {});
    }
    return row?.adopted ?? false;
  }

  /** Ends the watch. */
  public close(generation: string): void {
    this.rows.delete(generation);
  }
}
