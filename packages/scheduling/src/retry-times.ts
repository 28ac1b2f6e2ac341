/** Shortest time after which a refused caller may return, in milliseconds. */
export const MIN_RETRY_MS = 100;

/** Share of the computed time by which times differ, so that callers don't return together. */
const JITTER_SHARE = 0.1;

/** A refused call, for which the time of its return is computed. */
export interface RetryRequest {
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Capacity that it takes, in milliseconds of service time. */
  readonly cost: number;
  /** Capacity that the calls take that run or wait, in milliseconds of service time. */
  readonly backlog: number;
  /** Capacity that becomes free, in milliseconds of service time per millisecond. */
  readonly freeRatePerMs: number;
  /** Longest time that the caller keeps to, in milliseconds. */
  readonly maxMs: number;
}

/** Computes when refused callers may return. */
export interface RetryTimes {
  /** Returns the time after which a refused caller may return, in milliseconds. */
  reserve(req: RetryRequest, now: number): number;
}

/** Lets refused callers return when the present backlog will have been served. */
export class BacklogRetryTimes implements RetryTimes {
  public constructor(private readonly random: () => number) {}

  public reserve({ backlog, cost, freeRatePerMs, maxMs }: RetryRequest): number {
    const servedMs = freeRatePerMs > 0 ? (backlog + cost) / freeRatePerMs : maxMs;
    const retryMs = Math.max(MIN_RETRY_MS / (1 - JITTER_SHARE), Math.min(servedMs, maxMs));
    return retryMs * (1 + JITTER_SHARE * (2 * this.random() - 1));
  }
}
