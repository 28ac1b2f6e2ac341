/** Time as the code sees it; tests and replays pass their own. */
export interface Clock {
  /** Milliseconds on a clock that never jumps. */
  now(): number;
  /** Resolves after `ms`; rejects with the signal's reason when it is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The monotonic clock of the machine. */
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
      const timer = setTimeout(() => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      }, ms);
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

interface Sleeper {
  readonly at: number;
  readonly order: number;
  readonly wake: () => void;
}

/** A clock that moves only when told to; equal times wake in the order in which they were set. */
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

  /** Moves time on, waking sleepers one by one and letting their work settle in between. */
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

/** Lets every promise that can settle without time passing do so. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}
