import type * as callSpecs from './call-spec.js';

/** A call that holds a slot. */
export interface RunningCall {
  readonly spec: Pick<callSpecs.CallSpec, 'callId' | 'hostId' | 'incarnation'>;
  readonly upstreamId: string;
  /** Number of calls at the upstream when it was sent, itself included. */
  readonly inFlight: number;
  /** Time at which its slot is freed if it is not returned before. */
  readonly expiresAt: number;
}

/** The calls that hold slots, by id and counted by upstream. */
export class RunningCalls {
  private readonly calls = new Map<string, RunningCall>();
  private readonly counts = new Map<string, number>();
  /** A lower bound of the times at which slots expire. */
  private nextExpiry = Infinity;

  /** Number of calls that hold slots. */
  public get size(): number {
    return this.calls.size;
  }

  /** Returns whether a call holds a slot. */
  public has(callId: string): boolean {
    return this.calls.has(callId);
  }

  /** Counts the calls at an upstream. */
  public count(upstreamId: string): number {
    return this.counts.get(upstreamId) ?? 0;
  }

  /** Adds a call. */
  public add(call: RunningCall): void {
    this.remove(call.spec.callId);
    this.calls.set(call.spec.callId, call);
    this.counts.set(call.upstreamId, this.count(call.upstreamId) + 1);
    this.nextExpiry = Math.min(this.nextExpiry, call.expiresAt);
  }

  /** Removes a call and returns it; `undefined` if it holds no slot. */
  public remove(callId: string): RunningCall | undefined {
    const call = this.calls.get(callId);
    if (call !== undefined) {
      this.calls.delete(callId);
      this.counts.set(call.upstreamId, this.count(call.upstreamId) - 1);
    }
    return call;
  }

  /** Removes the calls whose slots have expired; a release that was lost must not occupy a slot for ever. */
  public removeExpired(now: number): void {
    if (now < this.nextExpiry) {
      return;
    }
    this.removeWhere(({ expiresAt }) => expiresAt <= now);
    this.nextExpiry = Math.min(...[...this.calls.values()].map(({ expiresAt }) => expiresAt));
  }

  /** Removes the calls to which a condition applies. */
  public removeWhere(matches: (call: RunningCall) => boolean): void {
    [...this.calls.values()].filter(matches).forEach(({ spec }) => this.remove(spec.callId));
  }
}
