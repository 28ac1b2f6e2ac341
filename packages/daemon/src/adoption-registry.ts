import type * as schemas from '@bramleyridge/schemas';

interface RelayedGeneration {
  isAdopted: boolean;
  readonly isConnected: () => boolean;
  readonly abort: AbortController;
}

/** The reply to a daemon that adopts a generation relayed here. */
export interface AdoptResult {
  /** Whether the first caller still receives the generation from this daemon. */
  readonly isConnected: boolean;
}

/** Tracks the generations that this daemon relays, and whether another relay has adopted them. */
export class AdoptionRegistry {
  private readonly generations = new Map<string, RelayedGeneration>();

  /** Starts tracking a generation; `isConnected` returns whether its caller is connected. */
  public register(generation: string, isConnected: () => boolean): void {
    this.generations.set(generation, {
      isAdopted: false,
      isConnected,
      abort: new AbortController(),
    });
  }

  /**
   * Marks a generation as adopted, so that this daemon no longer cancels it when its caller is
   * gone.
   */
  public adopt(generation: string): AdoptResult {
    const entry = this.generations.get(generation);
    if (entry === undefined) {
      return { isConnected: false };
    }
    entry.isAdopted = true;
    entry.abort.abort(new Error('generation adopted'));
    return { isConnected: entry.isConnected() };
  }

  /**
   * Waits until a generation is adopted; resolves to false when that did not happen within
   * `timeoutMs`.
   */
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

  /** Stops tracking a generation. */
  public remove(generation: string): void {
    this.generations.delete(generation);
  }
}
