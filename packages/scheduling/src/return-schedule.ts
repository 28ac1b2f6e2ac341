import * as decayingCounts from './decaying-count.js';

/** Minimum time after which a refused caller may return, in milliseconds; an earlier return costs more than it finds. */
const MIN_RETURN_MS = 100;

/** Maximum deviation from the computed time, as a share of it; callers with equal times would return together. */
const JITTER_SHARE = 0.1;

/**
 * Time after the stated one for which a reservation is still counted, in milliseconds: the caller's return takes a
 * round trip, and only then is it part of the backlog.
 */
const RETURN_GRACE_MS = 50;

/** Step in which reservations expire, in milliseconds; a quarter of the minimum time, so that none is off by much. */
const BUCKET_MS = 25;

/**
 * Ratio between the costs of two size classes. Calls of one class keep their order of arrival; with a smaller ratio, a
 * call would wait for many others that are hardly smaller.
 */
const SIZE_CLASS_RATIO = 4;

/**
 * Share of the reservations of larger calls of the same priority that a small call waits for. If it waited for none, the
 * larger callers would find the capacity taken that was stated to them; if it waited for all, it would return as late as
 * they do.
 */
const LARGER_SHARE = 0.5;

/**
 * Share of the rate at which capacity becomes free that is planned for returning callers. The rest takes up the jitter
 * and calls that are served without having been refused.
 */
const PLANNED_SHARE = 0.9;

/**
 * Minimum share of the rate that is planned for returning callers. Calls that were not refused before may take all the
 * rest; below it, returning callers would be given no time at all.
 */
const MIN_PLANNED_SHARE = 0.2;

/**
 * Maximum time that is stated while the rate is 0 or unknown, in milliseconds. The rate is known a few seconds after a
 * start, and a caller with much time left must not wait for a third of it.
 */
const UNKNOWN_RATE_MAX_MS = 2_000;

/**
 * Minimum share of the maximum time that is stated to callers for whom no time is free. An early return would find
 * nothing, and the rest spreads them.
 */
const MIN_SPREAD_SHARE = 0.5;

/** A caller that is refused for lack of capacity. */
export interface ReturnRequest {
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Capacity that the call needs. */
  readonly cost: number;
  /** Capacity needed by the waiting calls that are served before it, in the unit of `cost`. */
  readonly backlog: number;
  /** Capacity that becomes free per millisecond; 0 or not finite if it is unknown. */
  readonly freeRatePerMs: number;
  /** Capacity that all served calls have lately taken per millisecond; by default, only returning callers take any. */
  readonly takenRatePerMs?: number;
  /** Maximum time to which the caller keeps, in milliseconds. */
  readonly maxMs: number;
}

/** Reservations of callers of one priority and size class, by the step in which they expire. */
class Lane {
  /** Capacity reserved by the callers that are still expected. */
  public reserved = 0;
  private readonly buckets = new Map<number, number>();

  public constructor(
    private readonly priority: number,
    private readonly sizeClass: number,
  ) {}

  /** Returns the share of its reservations that a caller of the given kind waits for. */
  public getShareAhead(priority: number, sizeClass: number): number {
    if (this.priority !== priority) {
      return this.priority < priority ? 1 : 0;
    }
    return this.sizeClass <= sizeClass ? 1 : LARGER_SHARE;
  }

  /** Reserves capacity for a caller. */
  public add(cost: number, expiresAt: number): void {
    const index = Math.ceil(expiresAt / BUCKET_MS);
    this.buckets.set(index, (this.buckets.get(index) ?? 0) + cost);
    this.reserved += cost;
  }

  /** Drops the reservations that have expired and returns their sum. */
  public expire(now: number): number {
    let expired = 0;
    for (const [index, cost] of this.buckets) {
      if (index * BUCKET_MS <= now) {
        this.buckets.delete(index);
        this.reserved -= cost;
        expired += cost;
      }
    }
    if (this.buckets.size === 0) {
      // Differences of rounding must not remain.
      this.reserved = 0;
    }
    return expired;
  }
}

/**
 * States to refused callers when to return, so that there is capacity for those who do: each gets the time by which the
 * backlog and the callers who were given a time before it will have been served.
 */
export class ReturnSchedule {
  private readonly lanes = new Map<string, Lane>();
  /** Reservations that have expired, whose callers have returned or do not return. */
  private readonly expired = new decayingCounts.DecayingCount();
  private expiredAt = -Infinity;

  public constructor(private readonly random: () => number) {}

  /**
   * Returns the time after which a refused caller may return, in milliseconds, and reserves it. A caller that can't be
   * served within the time to which it keeps gets no reservation, since those of others would then exceed the capacity.
   */
  public reserve(req: ReturnRequest, now: number): number {
    this.expire(now);
    const dueMs = this.findDueMs(req, now);
    if (dueMs === undefined || dueMs > req.maxMs) {
      return this.spread(dueMs === undefined ? UNKNOWN_RATE_MAX_MS : Infinity, req.maxMs);
    }
    const afterMs = Math.max(dueMs, MIN_RETURN_MS * (1 + JITTER_SHARE * this.random()));
    this.findLane(req).add(req.cost, now + afterMs + RETURN_GRACE_MS);
    return afterMs;
  }

  /** Returns the time by which there is capacity for the caller, with jitter; `undefined` if the rate is not known. */
  private findDueMs(req: ReturnRequest, now: number): number | undefined {
    const { backlog, cost, freeRatePerMs, priority } = req;
    if (!Number.isFinite(freeRatePerMs) || freeRatePerMs <= 0) {
      return undefined;
    }
    const sizeClass = getSizeClass(cost);
    let ahead = backlog + cost;
    this.lanes.forEach((lane) => {
      ahead += lane.reserved * lane.getShareAhead(priority, sizeClass);
    });
    const plannedMs = ahead / this.getPlannedRatePerMs(req, now);
    return plannedMs * (1 + JITTER_SHARE * (2 * this.random() - 1));
  }

  /** Returns the rate that is planned for returning callers: others continue to take what they lately did. */
  private getPlannedRatePerMs(
    { freeRatePerMs, takenRatePerMs = 0 }: ReturnRequest,
    now: number,
  ): number {
    const takenByOthers = Math.max(0, takenRatePerMs - this.expired.getRatePerMs(now));
    return Math.max(
      freeRatePerMs * PLANNED_SHARE - takenByOthers,
      freeRatePerMs * MIN_PLANNED_SHARE,
    );
  }

  /** Returns a random time for a caller for whom no time is free. */
  private spread(limitMs: number, maxMs: number): number {
    const share = MIN_SPREAD_SHARE + (1 - MIN_SPREAD_SHARE) * this.random();
    const afterMs = Math.min(limitMs, maxMs) * share;
    return Math.max(afterMs, MIN_RETURN_MS * (1 + JITTER_SHARE * this.random()));
  }

  private findLane({ cost, priority }: ReturnRequest): Lane {
    const sizeClass = getSizeClass(cost);
    const key = `${priority}/${sizeClass}`;
    const lane = this.lanes.get(key) ?? new Lane(priority, sizeClass);
    this.lanes.set(key, lane);
    return lane;
  }

  /** Drops the reservations of callers that have returned or do not return. */
  private expire(now: number): void {
    if (now - this.expiredAt < BUCKET_MS) {
      return;
    }
    this.expiredAt = now;
    this.lanes.forEach((lane, key) => {
      this.expired.add(lane.expire(now), now);
      if (lane.reserved === 0) {
        this.lanes.delete(key);
      }
    });
  }
}

function getSizeClass(cost: number): number {
  return Math.floor(Math.log(Math.max(cost, Number.MIN_VALUE)) / Math.log(SIZE_CLASS_RATIO));
}
