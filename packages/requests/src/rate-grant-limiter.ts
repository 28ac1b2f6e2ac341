/** Maximum number of grants that accumulate while nobody requests any. */
const MAX_SAVED_GRANTS = 2;

/** Time after the last request at which a bucket is dropped, in milliseconds. */
const IDLE_DROP_MS = 60_000;

/** Answer to a request for a grant to send one call. */
export interface RateGrant {
  readonly isGranted: boolean;
  /** Time until the limit has room again, in milliseconds; 0 if granted. */
  readonly waitMs: number;
}

interface Bucket {
  tokens: number;
  refilledAt: number;
}

/**
 * Grants sends to upstreams that limit their rate, for all hosts: one token bucket for each process. A bucket starts
 * empty, so that a grantor which has replaced another needs no record of the grants of its predecessor.
 */
export class RateGrantLimiter {
  private readonly buckets = new Map<string, Bucket>();

  /** Starts to count for a process; no effect if it is known. */
  public start(processId: string, now: number): void {
    this.findBucket(processId, now);
  }

  /** Grants one send, or refuses it. */
  public grant(processId: string, callsPerS: number, now: number): RateGrant {
    return this.take(processId, callsPerS, now, 1);
  }

  /** Grants one send that can be left out, such as a probe; it takes only what calls have left unused. */
  public grantIdle(processId: string, callsPerS: number, now: number): RateGrant {
    return this.take(processId, callsPerS, now, MAX_SAVED_GRANTS);
  }

  /** Drops all buckets. */
  public clear(): void {
    this.buckets.clear();
  }

  private take(processId: string, callsPerS: number, now: number, needed: number): RateGrant {
    const bucket = this.refill(processId, callsPerS, now);
    if (bucket.tokens < needed) {
      return { isGranted: false, waitMs: ((needed - bucket.tokens) * 1_000) / callsPerS };
    }
    bucket.tokens -= 1;
    return { isGranted: true, waitMs: 0 };
  }

  private refill(processId: string, callsPerS: number, now: number): Bucket {
    const bucket = this.findBucket(processId, now);
    const added = ((now - bucket.refilledAt) * callsPerS) / 1_000;
    bucket.tokens = Math.min(MAX_SAVED_GRANTS, bucket.tokens + added);
    bucket.refilledAt = now;
    return bucket;
  }

  private findBucket(processId: string, now: number): Bucket {
    const known = this.buckets.get(processId);
    if (known !== undefined) {
      return known;
    }
    this.dropIdle(now);
    const bucket = { tokens: 0, refilledAt: now };
    this.buckets.set(processId, bucket);
    return bucket;
  }

  private dropIdle(now: number): void {
    [...this.buckets]
      .filter(([, { refilledAt }]) => now - refilledAt > IDLE_DROP_MS)
      .forEach(([processId]) => this.buckets.delete(processId));
  }
}
