import type * as callSpecs from './call-spec.js';
import * as concurrencyLimits from './concurrency-limit.js';
import * as decayingCounts from './decaying-count.js';
import * as hostTrials from './host-trials.js';
import type * as runningCalls from './running-calls.js';
import * as serviceTimes from './service-time.js';
import type * as statedLoads from './stated-load.js';

/** Time for which a load that an upstream stated counts, in milliseconds. Its calls take about as long. */
const STATED_LOAD_TTL_MS = 400;

/** Number of ends that are assumed to be successes, so that one failure of few calls does not look like an outage. */
const ASSUMED_SUCCESSES = 4;

/** Time over which the calls to a cold upstream are counted, in milliseconds. */
const COLD_WINDOW_MS = 1_000;

/** Time over which the rejections of a brittle upstream are counted, and for which it is then spared, in milliseconds. */
const REJECTION_WINDOW_MS = 1_000;

/** Share of the rejections that a brittle upstream bears at which it is spared. */
const REJECTION_SHARE = 0.5;

/** What the slots of one upstream depend on besides itself. */
export interface UpstreamSlotsOptions {
  /** Counts the calls that hold slots there. */
  readonly countRunning: () => number;
  /** Share of the limit that may be used here; `undefined` if all calls to the upstream are scheduled here. */
  readonly getLimitShare: (() => number) | undefined;
}

/** The slots of one upstream process: how many calls it may have, and what their answers showed about it. */
export class UpstreamSlots {
  public readonly serviceTime = new serviceTimes.ServiceTime();
  private readonly trials: hostTrials.HostTrials;
  private readonly limit: concurrencyLimits.ConcurrencyLimit;
  private stated = { others: 0, at: -Infinity };
  private readonly ends = new decayingCounts.DecayingCount();
  private readonly failures = new decayingCounts.DecayingCount();
  private coldSends: number[] = [];
  private rejections: number[] = [];
  private pausedUntil = -Infinity;

  public constructor(
    public facts: callSpecs.SchedulableUpstream,
    private readonly options: UpstreamSlotsOptions,
  ) {
    this.limit = new concurrencyLimits.ConcurrencyLimit({ declaredSlots: facts.slots });
    this.trials = new hostTrials.HostTrials(options.getLimitShare && (() => 1));
  }

  /** Number of calls that hold slots. */
  public get running(): number {
    return this.options.countRunning();
  }

  /** Returns the number of calls that may hold slots, at least 1. */
  public getLimit(): number {
    return Math.max(1, Math.floor(this.getLimitPart()));
  }

  /** Returns whether a slot is free. */
  public hasRoom(now: number, countsOthers: boolean): boolean {
    const inFlight = this.running + (countsOthers ? this.getOthers(now) : 0);
    return inFlight < this.getLimit() && this.getOpenAt(now) <= now && this.trials.isOpen(now);
  }

  /** Returns whether its last call got no answer, and no host has had one since. */
  public isOnTrial(now: number): boolean {
    return this.trials.isOn(now);
  }

  /** Returns whether a call of a host may be sent, as far as it depends on calls that got no answer. */
  public mayReceive(hostId: string, now: number): boolean {
    return this.trials.mayReceive(hostId, now);
  }

  /** Returns the time from which it takes calls: the end of a pause, or the next call to a cold upstream. */
  public getOpenAt(now: number): number {
    const { coldCallsPerS } = this.facts;
    const oldest = this.coldSends[0];
    const isColdFull =
      coldCallsPerS !== undefined &&
      this.isCold(now) &&
      this.coldSends.filter((at) => now - at < COLD_WINDOW_MS).length >= coldCallsPerS;
    const pausedUntil = Math.max(this.pausedUntil, this.trials.getPauseEnd());
    return isColdFull && oldest !== undefined
      ? Math.max(pausedUntil, oldest + COLD_WINDOW_MS)
      : pausedUntil;
  }

  /** Returns the number of calls per millisecond that it can answer. */
  public getCallsPerMs(typicalMs: number, now: number): number {
    const { coldCallsPerS } = this.facts;
    const usualMs = this.serviceTime.getRecentUsualMs(now) ?? typicalMs;
    const callsPerMs = this.getLimitPart() / (usualMs * this.serviceTime.getSlowdown(now));
    return coldCallsPerS !== undefined && this.isCold(now)
      ? Math.min(callsPerMs, coldCallsPerS / 1_000)
      : callsPerMs;
  }

  /** Returns whether it has started recently. */
  public isCold(now: number): boolean {
    return this.facts.coldUntil > now;
  }

  /** Returns the share of the calls that ended recently in a failure; older ones count less. */
  public getFailureShare(now: number): number {
    return this.failures.get(now) / (this.ends.get(now) + ASSUMED_SUCCESSES);
  }

  /** Records that a call is sent. */
  public recordSend(call: hostTrials.TriedCall, now: number): void {
    this.trials.recordSend(call, now);
    if (this.facts.coldCallsPerS !== undefined && this.isCold(now)) {
      this.coldSends = this.coldSends.filter((at) => now - at < COLD_WINDOW_MS);
      this.coldSends.push(now);
    }
  }

  /** Records how a call ended. */
  public recordEnd(
    { inFlight, spec }: runningCalls.RunningCall,
    end: callSpecs.CallEnd,
    now: number,
  ): void {
    const { load, result, tookMs } = end;
    const isAnswer = result === 'answered' || result === 'not-run' ? true : undefined;
    this.trials.recordEnd(spec, end.hasAnswered ?? isAnswer, now);
    if (result === 'answered') {
      this.limit.recordAnswer(tookMs, inFlight, now);
      this.serviceTime.recordAnswer(tookMs, load, now);
    } else if (result === 'not-run') {
      this.limit.recordShed(now);
    } else if (result === 'failed') {
      this.failures.add(1, now);
    }
    if (result === 'answered' || result === 'failed') {
      this.ends.add(1, now);
    }
    if (load !== undefined) {
      this.applyLoad(load, now);
    }
    this.pauseIfShared(end, now);
    if (result === 'not-run') {
      this.spareIfBrittle(now);
    }
  }

  /** Pauses an upstream that has turned away so many calls that a few more in this second would end it. */
  private spareIfBrittle(now: number): void {
    const { maxRejectionsPerS } = this.facts;
    if (maxRejectionsPerS === undefined) {
      return;
    }
    this.rejections = this.rejections.filter((at) => now - at < REJECTION_WINDOW_MS);
    this.rejections.push(now);
    if (this.rejections.length >= maxRejectionsPerS * REJECTION_SHARE) {
      this.pausedUntil = now + REJECTION_WINDOW_MS;
    }
  }

  private applyLoad(load: statedLoads.StatedLoad, now: number): void {
    this.limit.applyLoad(load, now);
    this.serviceTime.applyLoad(load, now);
    this.stated = { others: Math.max(0, load.running + load.waiting - this.running), at: now };
  }

  /**
   * Pauses where this scheduler's share of the limit is less than a slot and the upstream shows a queue. Its calls then
   * keep a distance that makes its share of the slots: hosts without a leader would otherwise send one call each to an
   * upstream that can take a few in all.
   */
  private pauseIfShared({ load, result, tookMs }: callSpecs.CallEnd, now: number): void {
    const part = this.getLimitPart();
    if (this.options.getLimitShare === undefined || part >= 1) {
      return;
    }
    const hasQueue = (load?.waiting ?? 0) > 0 || this.limit.value < this.facts.slots;
    if (result === 'not-run' || (result === 'answered' && hasQueue)) {
      this.pausedUntil = now + (this.serviceTime.getUsualMs() ?? tookMs) / part;
    }
  }

  private getOthers(now: number): number {
    return now - this.stated.at < STATED_LOAD_TTL_MS ? this.stated.others : 0;
  }

  private getLimitPart(): number {
    const { maxRejectionsPerS, ownedSlots, slots } = this.facts;
    if (ownedSlots !== undefined) {
      return ownedSlots;
    }
    // A brittle upstream must not turn calls away, and may let none wait.
    const limit =
      maxRejectionsPerS === undefined ? this.limit.value : Math.min(this.limit.value, slots);
    return limit * (this.options.getLimitShare?.() ?? 1);
  }
}
