import type * as clocks from './clock.js';

/** Notifies all waiters of a change; each wait also has a timeout. */
export class ChangeSignal {
  private waiters = new Set<() => void>();

  /** Resolves every wait that is pending now. */
  public notify(): void {
    const resolvers = this.waiters;
    this.waiters = new Set();
    resolvers.forEach((resolveWaiter) => resolveWaiter());
  }

  /** Resolves at the next `notify`, or after `ms`, whichever comes first. */
  public wait(clock: clocks.Clock, ms: number): Promise<void> {
    return ChangeSignal.waitAny([this], clock, ms);
  }

  /** Resolves at the next `notify` of any of the signals, or after `ms`, whichever comes first. */
  public static async waitAny(
    signals: readonly ChangeSignal[],
    clock: clocks.Clock,
    ms: number,
  ): Promise<void> {
    const abort = new AbortController();
    let resolveWaiter = () => {};
    const notified = new Promise<void>((resolve) => {
      resolveWaiter = resolve;
    });
    signals.forEach(({ waiters }) => waiters.add(resolveWaiter));
    const slept = clock.sleep(ms, abort.signal).catch(() => {});
    await Promise.race([notified, slept]);
    signals.forEach(({ waiters }) => waiters.delete(resolveWaiter));
    abort.abort(new Error('woken'));
  }
}
