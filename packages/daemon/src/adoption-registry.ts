import type * as schemas from '@bramleyridge/schemas';

interface RelayedGeneration {
  isAdopted: boolean;
  readonly isConnected: () => boolean;
  readonly abort: AbortController;
}

/** What a daemon says when another goes on with one of its generations. */
export interface AdoptResult {
  /** Whether the first caller still takes the generation here. */
  readonly isConnected: boolean;
}

/** The generations that this daemon relays, and which of them another daemon also goes on with. */
export class AdoptionRegistry {
  private readonly generations = new Map<string, RelayedGeneration>();

  /** Begins to watch a generation. */
  public register(generation: string, isConnected: () => boolean): void {
    this.generations.set(generation, {
      isAdopted: false,
      isConnected,
      abort: new AbortController(),
    });
  }

  /** Another daemon goes on with a generation; this one will not cancel it any more. */
  public adopt(generation: string): AdoptResult {
    const entry = this.generations.get(generation);
    if (entry === undefined) {
      return { isConnected: false };
    }
    entry.isAdopted = true;
    entry.abort.abort(new Error('taken over'));
    return { isConnected: entry.isConnected() };
  }

  /** Waits until a generation is taken over; false when nobody came within `ms`. */
  public async waitForAdoption(
    generation: string,
    clock: schemas.Clock,
    timeoutMs: number,
  ): Promise<boolean> {
    const entry = this.generations.get(generation);
    if (entry !== undefined && !entry.isAdopted) {
      await clock.sleep(timeoutMs, entry.abort.signal).catch(() => {});
    }
    return entry?.isAdopted ?? false;
  }

  /** Ends the watch. */
  public remove(generation: string): void {
    this.generations.delete(generation);
  }
}
