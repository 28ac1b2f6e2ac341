import * as decayingCounts from './decaying-count.js';
import type * as retryTimes from './retry-times.js';
import * as returnSchedules from './return-schedule.js';

/**
 * Share of the forecast rate at which slots become free that is counted on. Limits are learned, and while a limit is
 * too high the forecast is too.
 */
const RELIABLE_SHARE = 0.93;

/** Computes when refused calls of a plain service may return, from the slots that served calls take. */
export class CallReturnTimes implements retryTimes.RetryTimes {
  private readonly schedule: returnSchedules.ReturnSchedule;
  private readonly granted = new decayingCounts.DecayingCount();

  public constructor(random: () => number) {
    this.schedule = new returnSchedules.ReturnSchedule(random);
  }

  /** Records that a call got a slot. */
  public recordGranted(now: number): void {
    this.granted.add(1, now);
  }

  /** Returns the time after which a refused caller may return, in milliseconds, and reserves it. */
  public reserve(req: retryTimes.RetryRequest, now: number): number {
    const takenRatePerMs = this.granted.getRatePerMs(now) * req.cost;
    const freeRatePerMs = req.freeRatePerMs * RELIABLE_SHARE;
    return this.schedule.reserve({ ...req, freeRatePerMs, takenRatePerMs }, now);
  }
}
