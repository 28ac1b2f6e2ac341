import * as schemas from '@bramleyridge/schemas';

import * as recentSends from './recent-sends.js';

/**
 * Fraction of a cold upstream's rate that hosts share in fallback placement, without the leader. The
 * leader allocates the rest.
 */
const SHARED_FRACTION = 0.4;

/** Number of values of a 32-bit hash. */
const HASH_VALUES = 2 ** 32;

/** A cold upstream, as seen by a host in fallback placement. */
export interface ColdUpstream {
  readonly upstreamId: string;
  /** Calls per second that it sustains while it is cold, from all hosts together. */
  readonly callsPerS: number;
}

/**
 * This host's quota of calls to cold upstreams. Hosts cannot coordinate in time, so each takes an
 * equal share based on the number of hosts. Where that share is less than one call, a hash selects
 * a few of the hosts for each upstream: if every host sent one call, hundreds would arrive at once.
 */
export class ColdSendQuota {
  private readonly sendsByUpstream = new Map<string, recentSends.RecentSends>();

  public constructor(
    private readonly hostId: string,
    /** Number of hosts; `undefined` before it is known. */
    private readonly countHosts: () => number | undefined,
  ) {}

  /** Number of upstreams with recent sends. */
  public get size(): number {
    return this.sendsByUpstream.size;
  }

  /** Whether this host may send a call to a cold upstream now. */
  public canSend({ callsPerS, upstreamId }: ColdUpstream, now: number): boolean {
    const hosts = this.countHosts();
    if (hosts === undefined) {
      return false;
    }
    const share = (callsPerS * SHARED_FRACTION) / hosts;
    const sent = this.sendsByUpstream.get(upstreamId)?.count(now) ?? 0;
    if (share >= 1) {
      return sent < Math.floor(share);
    }
    const position = schemas.getHash32(`${this.hostId}/${upstreamId}`) / HASH_VALUES;
    return position < share && sent === 0;
  }

  /** Records that this host sends a call to a cold upstream. */
  public recordSend(upstreamId: string, now: number): void {
    const recent = this.sendsByUpstream.get(upstreamId) ?? new recentSends.RecentSends();
    this.dropStale(now);
    this.sendsByUpstream.set(upstreamId, recent);
    recent.record(now);
  }

  /**
   * Drops entries without a recent send. Upstreams are added and removed for as long as the host
   * runs, so the entries would accumulate.
   */
  private dropStale(now: number): void {
    this.sendsByUpstream.forEach((sends, upstreamId) => {
      if (sends.count(now) === 0) {
        this.sendsByUpstream.delete(upstreamId);
      }
    });
  }
}
