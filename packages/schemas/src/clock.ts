/** Longest time for which a timer can be set, in milliseconds; Node.js fires a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Returns a duration that a timer can have. */
export function boundTimerMs(ms: number): number {
  return Math.min(ms, MAX_TIMER_MS);
}

/** Source of time; tests and replays pass their own implementation. */
export interface Clock {
  /** Returns the milliseconds of a monotonic clock. */
  now(): number;
  /** Resolves after `ms` milliseconds; rejects with the signal's reason when it is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The monotonic clock of the host. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  public sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = () => {
        clearTimeout(timer);
        reject(signal?.reason as Error);
      };
      const wake = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      // After a long task, timers run before what has arrived meanwhile, and a host would act on silence that there was not.
      const timer = setTimeout(() => setImmediate(wake), boundTimerMs(ms));
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

interface Sleeper {
  readonly at: number;
  readonly order: number;
  readonly wake: () => void;
}

/**
 * A clock that is advanced explicitly. Sleeps that end at the same time resolve in the order in which they were
 * started.
 */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private sleepers: Sleeper[] = [];

  public now(): number {
    return this.time;
  }

  public sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      this.order += 1;
      const onAbort = () => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
        reject(signal?.reason as Error);
      };
      const wake = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const sleeper: Sleeper = { at: this.time + Math.max(ms, 0), order: this.order, wake };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  /**
   * Advances the time by `ms` milliseconds. Resolves due sleeps one by one and lets the work that follows settle in
   * between.
   */
  public async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (;;) {
      const next = this.sleepers
        .filter((sleeper) => sleeper.at <= end)
        .sort((a, b) => a.at - b.at || a.order - b.order)[0];
      if (next === undefined) {
        break;
      }
      this.sleepers = this.sleepers.filter((sleeper) => sleeper !== next);
      this.time = next.at;
      next.wake();
      await settle();
    }
    this.time = end;
  }
}

/** Waits until every promise that does not depend on the clock has settled. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}
