import type * as statedLoads from './stated-load.js';

/** How long a stated slowdown is valid, in milliseconds; it changes many times a second. */
export const SLOWDOWN_TTL_MS = 400;

/**
 * How long an upstream counts as one that states its slowdown, in milliseconds. At one call a second and four
 * upstreams, a host gets an answer of each upstream every few seconds.
 */
const STATES_SLOWDOWN_TTL_MS = 60_000;

/**
 * Weight of a new answer in the moving average: with the spread of single answers (0.5) it keeps the error of the
 * average below a tenth.
 */
const ANSWER_WEIGHT = 0.05;

/**
 * Time without an answer after which the usual service time counts as unknown, in milliseconds. Otherwise an upstream
 * that once was slow would get no calls in which to show that it has recovered.
 */
const USUAL_TTL_MS = 30_000;

/** Shortest service time that is used, in milliseconds; clocks have a resolution of a millisecond. */
const MIN_SERVICE_MS = 0.1;

/** Service time that is assumed while nothing is known of any upstream of a service, in milliseconds. */
export const ASSUMED_SERVICE_MS = 100;

/** Additional expected time of a cold upstream, and for each recent failure, as a share of its service time. */
const COLD_PENALTY = 0.5;
const FAILURE_PENALTY = 0.5;

/**
 * Expected time that a call must save for it to leave its zone, in milliseconds. Latency between zones is 1 to 2 ms, and
 * traffic between zones is expensive.
 */
export const CROSS_ZONE_SAVING_MS = 10;

/** The service time of one upstream process, learned from its answers, and the slowdown that it states. */
export class ServiceTime {
  private usualMs: number | undefined;
  /** The same with the slowdowns of the time at which the answers came. */
  private averageMs = 0;
  private answers = 0;
  private answeredAt = -Infinity;
  private slowdown = 1;
  private slowdownAt = -Infinity;

  /** Records how long an answered call took, with the load stated in the answer. */
  public recordAnswer(tookMs: number, load: statedLoads.StatedLoad | undefined, now: number): void {
    if (load !== undefined) {
      this.applyLoad(load, now);
    }
    if (!Number.isFinite(tookMs) || tookMs < 0) {
      return;
    }
    const serviceMs = Math.max(MIN_SERVICE_MS, tookMs / getCrowding(load));
    const usualMs = serviceMs / (load?.slowdown ?? 1);
    // The first answer after a long time counts as much as all earlier ones.
    this.answers = this.isRecent(now) ? this.answers + 1 : Math.min(this.answers + 1, 2);
    const weight = Math.max(1 / this.answers, ANSWER_WEIGHT);
    this.usualMs = (this.usualMs ?? usualMs) * (1 - weight) + usualMs * weight;
    this.averageMs += (serviceMs - this.averageMs) * weight;
    this.answeredAt = now;
  }

  /** Applies the load that the upstream states. */
  public applyLoad({ slowdown }: statedLoads.StatedLoad, now: number): void {
    if (slowdown !== undefined) {
      this.slowdown = slowdown;
      this.slowdownAt = now;
    }
  }

  /** Returns the usual service time, without a slowdown, in milliseconds; `undefined` before the first answer. */
  public getUsualMs(): number | undefined {
    return this.usualMs;
  }

  /** Returns the usual service time if an answer has confirmed it recently, in milliseconds. */
  public getRecentUsualMs(now: number): number | undefined {
    return this.isRecent(now) ? this.usualMs : undefined;
  }

  /**
   * Returns the service time expected now: with the stated slowdown while it is valid, and else the average of recent
   * answers, in which an upstream that is always slow is slow. `undefined` if no answer is recent.
   */
  public getCurrentMs(now: number): number | undefined {
    const usualMs = this.getRecentUsualMs(now);
    if (usualMs === undefined) {
      return undefined;
    }
    return this.isSlowdownValid(now) ? usualMs * this.slowdown : this.averageMs;
  }

  /** Returns how many times as long as usual work takes there now. */
  public getSlowdown(now: number): number {
    return this.findSlowdown(now) ?? 1;
  }

  /** Returns the stated slowdown; `undefined` while none is valid. */
  public findSlowdown(now: number): number | undefined {
    return this.isSlowdownValid(now) ? this.slowdown : undefined;
  }

  /** Returns whether the upstream has stated a slowdown within the last minute. */
  public hasStatedSlowdown(now: number): boolean {
    return now - this.slowdownAt <= STATES_SLOWDOWN_TTL_MS;
  }

  private isSlowdownValid(now: number): boolean {
    return now - this.slowdownAt <= SLOWDOWN_TTL_MS;
  }

  private isRecent(now: number): boolean {
    return now - this.answeredAt <= USUAL_TTL_MS;
  }
}

/** An upstream process that could take a call. */
export interface ExpectedTimeCandidate {
  readonly serviceTime: ServiceTime;
  /** Calls in progress there, without the call to be sent. */
  readonly inFlight: number;
  /** Number of calls that it processes concurrently. */
  readonly slots: number;
  readonly isCold: boolean;
  /** Number of recent failures there, with older ones counted less. */
  readonly failures: number;
  /** Median of the usual service times of its service, in milliseconds; `undefined` if none is known. */
  readonly medianMs: number | undefined;
}

/**
 * Returns the expected time until a call sent now is answered, in milliseconds. At an upstream with all slots busy it
 * includes the wait for a slot, so that upstreams with and without a free slot can be compared.
 */
export function getExpectedMs(candidate: ExpectedTimeCandidate, now: number): number {
  const { failures, inFlight, isCold, medianMs, serviceTime, slots } = candidate;
  const unknownMs = (medianMs ?? ASSUMED_SERVICE_MS) * serviceTime.getSlowdown(now);
  const serviceMs = serviceTime.getCurrentMs(now) ?? unknownMs;
  const crowding = Math.max(1, (inFlight + 1) / Math.max(1, slots));
  const penalty = 1 + failures * FAILURE_PENALTY + (isCold ? COLD_PENALTY : 0);
  return serviceMs * crowding * penalty;
}

/** Returns the median of the usual service times of a service's upstreams, in milliseconds; `undefined` if none is known. */
export function getMedianUsualMs(
  serviceTimes: readonly ServiceTime[],
  now: number,
): number | undefined {
  const known = serviceTimes
    .map((item) => item.getRecentUsualMs(now))
    .filter((item) => item !== undefined)
    .sort((a, b) => a - b);
  return known[Math.floor((known.length - 1) / 2)];
}

/** Returns by how much waiting calls lengthen the time of an answer, by the load stated in it. */
function getCrowding(load: statedLoads.StatedLoad | undefined): number {
  if (load === undefined) {
    return 1;
  }
  // While calls wait, those that run show the actual number of slots, whatever the upstream declares.
  const slots = load.waiting > 0 ? load.running : (load.slots ?? load.running);
  return Math.max(1, (load.running + load.waiting) / Math.max(1, slots));
}
