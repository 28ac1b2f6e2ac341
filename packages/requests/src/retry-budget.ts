import type * as schemas from '@bramleyridge/schemas';

/** Retries that are allowed for each request, so that failures don't multiply load. */
const RETRIES_PER_REQUEST = 0.1;

/** How many retries can be saved up. */
const MAX_SAVED = 20;

/** How fast retries come back without requests, per second. */
const RETRIES_PER_SECOND = 0.5;

/** A bucket that every request fills a little and every retry empties by one. */
export class RetryBudget {
  private saved = MAX_SAVED;
  private at: number;

  public constructor(private readonly clock: schemas.Clock) {
    this.at = clock.now();
  }

  /** Counts a first try. */
  public noteRequest(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry, or refuses it. */
  public take(): boolean {
    const now = this.clock.now();
    this.saved = Math.min(MAX_SAVED, this.saved + ((now - this.at) / 1_000) * RETRIES_PER_SECOND);
    this.at = now;
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
