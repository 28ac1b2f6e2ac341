import type * as schemas from '@bramleyridge/schemas';

/** Assumed number of hosts until it is known. */
const ASSUMED_HOSTS = 16;

/** Share of the rejections that a brittle upstream bears which all hosts together may cause. */
const USED_SHARE = 0.5;

/** Bounds of the time for which an upstream that rejected a call gets no others of this host, in milliseconds. */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 10_000;

/** Dependencies of the rejection guard. */
export interface RejectionGuardOptions {
  /** Number of hosts that send to the same upstreams; `undefined` until it is known. */
  readonly countHosts: () => number | undefined;
  readonly clock: schemas.Clock;
  readonly random: () => number;
}

/**
 * Keeps the rejections of brittle upstreams low without knowing those of other hosts: after one, this host sends nothing
 * there for so long that all hosts together stay below the number that ends the upstream.
 */
export class RejectionGuard {
  private readonly pausedUntil = new Map<string, number>();

  public constructor(private readonly options: RejectionGuardOptions) {}

  /** Records that a process which ends after more than `boundPerS` rejections in a second has rejected a call. */
  public recordRejection(processId: string, boundPerS: number): void {
    const { clock, countHosts, random } = this.options;
    const now = clock.now();
    const hosts = Math.max(1, countHosts() ?? ASSUMED_HOSTS);
    const meanMs = (1_000 * hosts) / (Math.max(1, boundPerS) * USED_SHARE);
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, meanMs * (0.5 + random())));
    this.dropPast(now);
    this.pausedUntil.set(processId, now + pauseMs);
  }

  /** Returns the end of the pause of a process. */
  public getEnd(processId: string): number {
    return this.pausedUntil.get(processId) ?? -Infinity;
  }

  /** Returns whether no process is paused. */
  public isEmpty(): boolean {
    this.dropPast(this.options.clock.now());
    return this.pausedUntil.size === 0;
  }

  private dropPast(now: number): void {
    this.pausedUntil.forEach((end, processId) => {
      if (end <= now) {
        this.pausedUntil.delete(processId);
      }
    });
  }
}
