import * as schemas from '@bramleyridge/schemas';

import * as recentSends from './recent-sends.js';

/** The part of a cold upstream's rate that hosts without a common account share; the rest is the leader's to give. */
const SHARED_PART = 0.4;

/** The number of values of a 32-bit hash. */
const HASH_VALUES = 2 ** 32;

/** A cold upstream, as a host that has no common account sees it. */
export interface ColdUpstream {
  readonly upstreamId: string;
  /** The calls a second that it bears while it is cold, from all hosts together. */
  readonly callsPerS: number;
}

/**
 * This host's share of the calls that cold upstreams bear. Hosts cannot ask each other in time, so each keeps an equal
 * part by the number of hosts. Where that is less than one call, each upstream has only some of the hosts, told by a hash:
 * if every host sent one call, hundreds would arrive at once.
 */
export class ColdSendQuota {
  private readonly sends = new Map<string, recentSends.RecentSends>();

  public constructor(
    private readonly hostId: string,
    /** How many hosts there are; nothing before that was told. */
    private readonly countHosts: () => number | undefined,
  ) {}

  /** How many upstreams have an account. */
  public get size(): number {
    return this.sends.size;
  }

  /** Whether this host may send a call to a cold upstream now. */
  public canSend({ callsPerS, upstreamId }: ColdUpstream, now: number): boolean {
    const hosts = this.countHosts();
    if (hosts === undefined) {
      return false;
    }
    const share = (callsPerS * SHARED_PART) / hosts;
    const sent = this.sends.get(upstreamId)?.count(now) ?? 0;
    if (share >= 1) {
      return sent < Math.floor(share);
    }
    const rank = schemas.getHash32(`${this.hostId}/${upstreamId}`) / HASH_VALUES;
    return rank < share && sent === 0;
  }

  /** Notes that this host sends a call to a cold upstream. */
  public recordSend(upstreamId: string, now: number): void {
    const known = this.sends.get(upstreamId) ?? new recentSends.RecentSends();
    this.dropOver(now);
    this.sends.set(upstreamId, known);
    known.record(now);
  }

  /** Upstreams come and go for as long as the host runs; those without a send of late need no account. */
  private dropOver(now: number): void {
    this.sends.forEach((sends, upstreamId) => {
      if (sends.count(now) === 0) {
        this.sends.delete(upstreamId);
      }
    });
  }
}
