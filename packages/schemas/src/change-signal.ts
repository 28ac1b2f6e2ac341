import type * as clocks from './clock.js';

/** Wakes every waiter when something changed; waits also end after a time. */
export class ChangeSignal {
  private waiters = new Set<() => void>();

  /** Wakes everyone who waits now. */
  public notify(): void {
    const woken = this.waiters;
    this.waiters = new Set();
    woken.forEach((wake) => wake());
  }

  /** Resolves at the next `notify`, or after `ms`, whichever comes first. */
  public async wait(clock: clocks.Clock, ms: number): Promise<void> {
    const abort = new AbortController();
    let wake = () => {};
    const notified = new Promise<void>((resolve) => {
      wake = resolve;
    });
    this.waiters.add(wake);
    const slept = clock.sleep(ms, abort.signal).catch(() => {});
    await Promise.race([notified, slept]);
    this.waiters.delete(wake);
    abort.abort(new Error('woken'));
  }
}
