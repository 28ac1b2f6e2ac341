import * as serviceTimes from './service-time.js';
import type * as statedLoads from './stated-load.js';

/** Limit at the start for an upstream that declares no slots. */
const ASSUMED_SLOTS = 4;

/** Maximum limit of an upstream that declares no slots. */
const MAX_UNDECLARED_LIMIT = 256;

/** Round trip between two hosts in different zones, in milliseconds; latency is 1 to 2 ms each way. */
const ROUND_TRIP_MS = 4;

/**
 * Minimum number of answers in a window. With a spread of 0.5 of single answers, the logarithm of their geometric mean
 * has a spread of 0.13.
 */
const MIN_WINDOW_ANSWERS = 16;

/** Minimum number of answers while the limit is halved, when throughput may be lower. */
const MIN_HALVED_ANSWERS = 10;

/**
 * Latency relative to another one from which a queue is suspected. One waiting call beside two that run gives 1.5; two
 * windows without a queue differ by 1.35 in one of fifteen cases, so a single check is no proof.
 */
const SUSPECTED_LATENCY_RATIO = 1.35;

/**
 * Sum of the logarithms of the latency ratios of successive checks, divided by the square root of their number, from which
 * a queue is confirmed. It is 3.5 times the spread of a check without a queue (0.2).
 */
const CONFIRMING_EVIDENCE = 0.7;

/** Maximum number of successive checks; a queue that they do not confirm is too short to matter. */
const MAX_CHECKS = 3;

/**
 * Number of answers between two checks for a queue: the least one after a queue was confirmed and at the start, twice as
 * many after each check that confirmed none. A check without a queue costs the time of 10 to 15 answers, and a few of a
 * hundred miss a queue as long as the number of running calls.
 */
const MIN_ANSWERS_BETWEEN_CHECKS = 60;
const MAX_ANSWERS_BETWEEN_CHECKS = 480;

/** Weights of a window in the usual latency. Slow periods end within a second, so lower values count more. */
const HIGHER_LATENCY_WEIGHT = 0.2;
const LOWER_LATENCY_WEIGHT = 0.5;

/** Number of successive windows without a queue before the limit increases. */
const WINDOWS_BEFORE_INCREASE = 2;

/** The same for a limit at which a queue stood or a call was shed; each attempt costs a shed call or a queue. */
const WINDOWS_BEFORE_FULL = 8;

/** Share by which the limit increases, and by which it decreases after a call was shed; at least one call. */
const STEP = 0.1;

/** Shortest latency that is used, in milliseconds; clocks have a resolution of a millisecond. */
const MIN_LATENCY_MS = 1;

/** `halved` and `restored` are the two parts of a check for a queue. */
type Phase = 'steady' | 'halved' | 'restored';

/**
 * Limits the calls in progress at one upstream process to those that it runs at once. The declared slots are the first
 * estimate. Latency above the usual one is a sign of a queue, as in Brakmo and Peterson, "TCP Vegas" (1995), or of an
 * upstream that has become slower. To distinguish them, the limit is halved for some answers: only a queue becomes
 * shorter by that.
 */
export class ConcurrencyLimit {
  private limit: number;
  private phase: Phase = 'steady';
  private slots: number | undefined;
  /** Logarithm of the usual latency in milliseconds. */
  private usual: number | undefined;
  /** Logarithms of the latency before the limit was halved and while it was. */
  private before = 0;
  private halved = 0;
  private checks = 0;
  private evidence = 0;
  private answersSinceCheck = 0;
  private answersBetweenChecks = MIN_ANSWERS_BETWEEN_CHECKS;
  private isCheckDue = true;
  private changedAt = -Infinity;
  private firstAnswers: number;
  private windowSum = 0;
  private windowCount = 0;
  private mostInFlight = 0;
  private leastWaiting = Infinity;
  private quietWindows = 0;
  /** Limit at which a queue stood or a call was shed last. */
  private fullAt = Infinity;
  private slowdown = 1;
  private slowdownAt = -Infinity;

  public constructor({ declaredSlots }: { readonly declaredSlots: number | undefined }) {
    this.slots = declaredSlots;
    this.limit = Math.max(1, Math.floor(declaredSlots ?? ASSUMED_SLOTS));
    this.firstAnswers = this.limit;
  }

  /** The number of calls that may be in progress, at least 1. */
  public get value(): number {
    return this.phase === 'halved' ? this.getHalf() : this.limit;
  }

  /**
   * Records how long an answered call took, and the calls in progress when it was sent, including itself. A load stated
   * with the answer is applied first.
   */
  public recordAnswer(tookMs: number, inFlight: number, now: number): void {
    // A call that was sent before the last change shows the latency under the former limit.
    if (!Number.isFinite(tookMs) || tookMs < 0 || now - tookMs < this.changedAt) {
      return;
    }
    this.answersSinceCheck += 1;
    // The first calls were sent while others were not yet in progress, so they show no queue.
    if (this.firstAnswers > 0) {
      this.firstAnswers -= 1;
      return;
    }
    const isSlowdownFresh = now - this.slowdownAt <= serviceTimes.SLOWDOWN_TTL_MS;
    const latencyMs = tookMs / (isSlowdownFresh ? this.slowdown : 1);
    this.windowSum += Math.log(Math.max(MIN_LATENCY_MS, latencyMs));
    this.windowCount += 1;
    this.mostInFlight = Math.max(this.mostInFlight, inFlight);
    if (this.windowCount >= this.getWindowAnswers()) {
      this.endWindow(now);
    }
  }

  /** Records that the upstream refused a call because it is full. */
  public recordShed(now: number): void {
    // Calls that were sent together are refused together and count once.
    const usualMs =
      this.usual === undefined ? serviceTimes.ASSUMED_SERVICE_MS : Math.exp(this.usual);
    if (now - this.changedAt >= usualMs) {
      this.decrease(this.limit - this.getStep(), now);
    }
  }

  /** Applies the load that the upstream states. */
  public applyLoad(load: statedLoads.StatedLoad, now: number): void {
    this.slots ??= load.slots;
    this.leastWaiting = Math.min(this.leastWaiting, load.waiting);
    if (load.slowdown !== undefined) {
      this.slowdown = load.slowdown;
      this.slowdownAt = now;
    }
  }

  private endWindow(now: number): void {
    const latency = this.windowSum / this.windowCount;
    const waiting = Number.isFinite(this.leastWaiting) ? this.leastWaiting : 0;
    const isFullyUsed = this.mostInFlight >= this.value;
    this.clearWindow();
    if (waiting > 0) {
      this.decrease(this.limit - Math.max(1, waiting / 2), now);
    } else if (this.phase === 'halved') {
      this.halved = latency;
      this.change('restored', now);
    } else if (this.phase === 'restored') {
      this.endCheck(latency, now);
    } else if (isFullyUsed && this.limit > 1 && this.shouldCheck(latency)) {
      this.before = latency;
      this.change('halved', now);
    } else {
      this.recordUsual(latency);
      this.quietWindows += 1;
      if (isFullyUsed) {
        this.increase();
      }
    }
  }

  private shouldCheck(latency: number): boolean {
    const isSuspected =
      this.usual !== undefined && latency - this.usual > Math.log(SUSPECTED_LATENCY_RATIO);
    const isOld = this.answersSinceCheck >= this.answersBetweenChecks;
    return this.isCheckDue || isSuspected || isOld;
  }

  /**
   * Ends a check. The latency has to be higher both before and after the limit was halved: a slow period that begins or
   * ends during the check raises one of the two only.
   */
  private endCheck(latency: number, now: number): void {
    const full = Math.min(this.before, latency);
    this.checks += 1;
    this.evidence += full - this.halved;
    this.answersSinceCheck = 0;
    const mean = this.evidence / this.checks;
    const isSuspected = mean > Math.log(SUSPECTED_LATENCY_RATIO);
    if (isSuspected && mean * Math.sqrt(this.checks) > CONFIRMING_EVIDENCE) {
      this.usual = this.halved;
      this.isCheckDue = true;
      this.answersBetweenChecks = MIN_ANSWERS_BETWEEN_CHECKS;
      const estimated = Math.round(this.limit * Math.exp(-mean));
      this.decrease(Math.max(this.getHalf(), Math.min(this.limit - 1, estimated)), now);
    } else if (isSuspected && this.checks < MAX_CHECKS) {
      this.before = latency;
      this.change('halved', now);
    } else {
      this.phase = 'steady';
      this.usual = latency;
      this.checks = 0;
      this.evidence = 0;
      this.isCheckDue = false;
      const next = this.answersBetweenChecks * 2;
      this.answersBetweenChecks = Math.min(next, MAX_ANSWERS_BETWEEN_CHECKS);
    }
  }

  private decrease(limit: number, now: number): void {
    this.fullAt = this.limit;
    this.limit = Math.max(1, Math.floor(limit));
    this.quietWindows = 0;
    this.checks = 0;
    this.evidence = 0;
    this.clearWindow();
    this.change('steady', now);
  }

  private increase(): void {
    const next = Math.min(this.limit + this.getStep(), Math.max(this.limit, this.getMaximum()));
    const isNextFull = next >= this.fullAt;
    if (this.quietWindows >= (isNextFull ? WINDOWS_BEFORE_FULL : WINDOWS_BEFORE_INCREASE)) {
      this.quietWindows = 0;
      this.fullAt = isNextFull ? Infinity : this.fullAt;
      this.limit = next;
    }
  }

  private change(phase: Phase, now: number): void {
    this.phase = phase;
    this.changedAt = now;
  }

  private clearWindow(): void {
    this.windowSum = 0;
    this.windowCount = 0;
    this.mostInFlight = 0;
    this.leastWaiting = Infinity;
  }

  private recordUsual(latency: number): void {
    const former = this.usual ?? latency;
    const weight = latency < former ? LOWER_LATENCY_WEIGHT : HIGHER_LATENCY_WEIGHT;
    this.usual = former + (latency - former) * weight;
  }

  private getWindowAnswers(): number {
    return this.phase === 'halved'
      ? Math.max(MIN_HALVED_ANSWERS, this.value)
      : Math.max(MIN_WINDOW_ANSWERS, this.limit);
  }

  private getHalf(): number {
    return Math.ceil(this.limit / 2);
  }

  private getStep(): number {
    return Math.max(1, Math.floor(this.limit * STEP));
  }

  /** Returns the declared slots and the calls that keep them busy during a round trip between hosts. */
  private getMaximum(): number {
    if (this.slots === undefined) {
      return MAX_UNDECLARED_LIMIT;
    }
    const usualMs = Math.max(ROUND_TRIP_MS, Math.exp(this.usual ?? 0));
    return Math.round(this.slots * (1 + ROUND_TRIP_MS / usualMs));
  }
}
