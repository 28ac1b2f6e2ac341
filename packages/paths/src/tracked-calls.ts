import * as pathErrors from './path-error.js';
import type * as silenceWatches from './silence-watch.js';

/** A call that is sent to an upstream. */
export interface TrackedCall {
  /** Aborted when the connection of the call turns out to be blocked; never for a call over another host. */
  readonly signal: AbortSignal;
  /** Records that its answer has begun; how it goes on may depend on its reader. */
  readonly begin: () => void;
  readonly end: () => void;
}

/** The open calls over the own paths of a host. */
export class TrackedCalls {
  private readonly open = new Map<string, Set<AbortController>>();

  public constructor(private readonly watch: silenceWatches.SilenceWatch) {}

  /** Tracks a call to an upstream, which may be without an answer for `patienceMs`. */
  public track(address: string, patienceMs: number): TrackedCall {
    const abort = new AbortController();
    const endWait = this.watch.begin(address, patienceMs);
    let endAnswer = () => {};
    const calls = this.open.get(address) ?? new Set();
    this.open.set(address, calls);
    calls.add(abort);
    return {
      signal: abort.signal,
      begin: () => {
        endWait();
        endAnswer = this.watch.beginAnswer();
      },
      end: () => {
        endWait();
        endAnswer();
        calls.delete(abort);
        if (calls.size === 0 && this.open.get(address) === calls) {
          this.open.delete(address);
        }
      },
    };
  }

  /** Aborts the calls to upstreams whose paths are blocked. */
  public abortBlocked(isBlocked: (address: string) => boolean): void {
    [...this.open]
      .filter(([address]) => isBlocked(address))
      .forEach(([address, calls]) => {
        calls.forEach((call) => call.abort(new pathErrors.PathBlockedError(address)));
      });
  }
}
