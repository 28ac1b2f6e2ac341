import type * as schemas from '@bramleyridge/schemas';
import * as tinyqueue from 'tinyqueue';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A virtual clock that advances from event to event. */
export class SimClock implements schemas.Clock {
  private time = 0;
  private order = 0;
  private readonly events = new tinyqueue.default<Event>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );

  public now(): number {
    return this.time;
  }

  public sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Schedules a function to run in `ms` milliseconds. */
  public after(ms: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: this.time + Math.max(0, ms), order: this.order, run });
  }

  /** Runs events until none is left or `isFinished` returns true. */
  public run(isFinished: () => boolean): void {
    while (!isFinished()) {
      const event = this.events.pop();
      if (event === undefined) {
        return;
      }
      this.time = event.at;
      event.run();
    }
  }
}
