import * as schemas from '@bramleyridge/schemas';

/** Counts what runs in this daemon, so that a planned stop can wait for all of it. */
export class Drain {
  private readonly changed = new schemas.ChangeSignal();
  private active = 0;
  private draining = false;

  public constructor(private readonly clock: schemas.Clock) {}

  /** Whether the daemon is stopping. */
  public isDraining(): boolean {
    return this.draining;
  }

  /** How many requests run. */
  public getActive(): number {
    return this.active;
  }

  /** Counts a request until the function that it gives is called. */
  public enter(): () => void {
    let isOpen = true;
    this.active += 1;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.active -= 1;
        this.changed.notify();
      }
    };
  }

  /** Begins the stop; requests that still come through the balancer's lag are served. */
  public begin(): void {
    this.draining = true;
    this.changed.notify();
  }

  /**
   * Resolves when nothing has run for `quietMs`. There is no limit on the wait: a spot log may take an
   * hour, and cutting it off would break the promise that a planned stop cuts no request.
   */
  public async waitIdle(quietMs: number): Promise<void> {
    let idleSince = this.clock.now();
    while (this.active > 0 || this.clock.now() - idleSince < quietMs) {
      if (this.active > 0) {
        idleSince = this.clock.now();
      }
      await this.changed.wait(this.clock, quietMs);
      if (this.active > 0) {
        idleSince = this.clock.now();
      }
    }
  }
}
