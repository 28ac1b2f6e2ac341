import * as schemas from '@bramleyridge/schemas';

/** Shortest wait, in milliseconds; a timer may fire a little early. */
const MIN_WAIT_MS = 1;

/** Counts the running requests of this daemon, so that a planned stop can wait for all of them. */
export class Drain {
  private readonly changed = new schemas.ChangeSignal();
  private active = 0;
  private draining = false;

  public constructor(private readonly clock: schemas.Clock) {}

  /** Returns whether the daemon is stopping. */
  public isDraining(): boolean {
    return this.draining;
  }

  /** Returns the number of running requests. */
  public getActive(): number {
    return this.active;
  }

  /** Counts a request as running until the returned function is called. */
  public enter(): () => void {
    let isRunning = true;
    this.active += 1;
    return () => {
      if (isRunning) {
        isRunning = false;
        this.active -= 1;
        this.changed.notify();
      }
    };
  }

  /** Starts draining. Requests that still arrive, until the load balancer notices, are served. */
  public begin(): void {
    this.draining = true;
    this.changed.notify();
  }

  /**
   * Resolves when no request has run for `quietMs`. The wait has no time limit; whoever ends it early answers what still
   * runs.
   */
  public async waitIdle(quietMs: number): Promise<void> {
    let idleSince = this.clock.now();
    while (this.active > 0 || this.clock.now() - idleSince < quietMs) {
      if (this.active > 0) {
        idleSince = this.clock.now();
      }
      const idleMs = this.clock.now() - idleSince;
      await this.changed.wait(this.clock, Math.max(MIN_WAIT_MS, quietMs - idleMs));
      if (this.active > 0) {
        idleSince = this.clock.now();
      }
    }
  }
}
