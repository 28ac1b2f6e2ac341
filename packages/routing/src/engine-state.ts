import * as scheduling from '@bramleyridge/scheduling';

import type * as engineOccupancies from './engine-occupancy.js';
import * as enginePaces from './engine-pace.js';
import type * as placedRuns from './placed-run.js';
import type * as placementSpecs from './placement-spec.js';
import * as prefillBacklogs from './prefill-backlog.js';
import * as recentSends from './recent-sends.js';

/**
 * Weight of a failure as a share of memory, and the time after which half of it remains, in
 * milliseconds.
 */
const FAILURE_PENALTY = 0.4;
const FAILURE_HALF_LIFE_MS = 3_000;

/** Time for which a step with a chunk of a prompt lasts relative to one without: 16 ms and 8 ms. */
const PREFILL_STEP_RATIO = 2;

/** The pace of a stream on one engine, as its host has measured it. */
export interface StreamPace {
  /** Mean time between two events so far, in milliseconds. */
  readonly msPerEvent: number;
  /** Number of events so far. */
  readonly events: number;
  /** Longest time between two events so far, in milliseconds. */
  readonly longestGapMs: number;
}

/** The usual speeds of the engines of one pool. */
export interface PoolRates {
  readonly prefillRate: prefillBacklogs.PrefillRate;
  readonly usualEventTime: enginePaces.UsualEventTime;
}

/** The state of one engine in the ledger. */
export class EngineState {
  /** Prompts whose prefill is not complete yet. */
  public readonly backlog: prefillBacklogs.PrefillBacklog;
  /** The speed of the engine. */
  public readonly pace: enginePaces.EnginePace;
  /** How many generations it is sent after some that got no answer. */
  public readonly trials: scheduling.HostTrials;
  private readonly sends: recentSends.RecentSends;
  private failures: number;
  private failedAt: number;

  /** Creates the state of a listed engine and keeps what was recorded in its former state. */
  public constructor(
    public readonly engine: placementSpecs.LedgerEngine,
    /** The runs and backups on the engine. */
    public readonly occupancy: engineOccupancies.EngineOccupancy,
    rates: PoolRates,
    former: EngineState | undefined,
  ) {
    this.backlog = former?.backlog ?? new prefillBacklogs.PrefillBacklog(rates.prefillRate);
    this.pace = former?.pace ?? new enginePaces.EnginePace(rates.usualEventTime);
    this.sends = former?.sends ?? new recentSends.RecentSends();
    this.trials = former?.trials ?? new scheduling.HostTrials();
    if (former === undefined) {
      occupancy.setFactor(1);
    }
    this.failures = former?.failures ?? 0;
    this.failedAt = former?.failedAt ?? 0;
  }

  /** Records that a generation is sent to the engine. */
  public recordSend(now: number, callId = ''): void {
    this.sends.record(now);
    this.trials.recordSend({ callId, hostId: '' }, now);
  }

  /**
   * Whether the engine sustains one more new generation now. It may be cold before any host detects
   * it, so a limit always applies.
   */
  public canAcceptSend(now: number): boolean {
    if (!this.trials.isOpen(now)) {
      return false;
    }
    const { coldUntil = -Infinity, sendsPerS } = this.engine;
    if (sendsPerS === undefined) {
      return true;
    }
    return this.sends.count(now) < (now < coldUntil ? sendsPerS.cold : sendsPerS.most);
  }

  /**
   * Records the first event of a generation. While the pool states slowdowns, a prompt that was
   * alone tells the speed of the engine, and the pool's rate is learned without slow engines.
   */
  public recordFirstEvent(callId: string, now: number, isStating: boolean): void {
    const { backlog, pace } = this;
    this.trials.recordEnd({ callId, hostId: '' }, true, now);
    const factor = pace.getFactor() ?? 1;
    const prefill = backlog.recordFirstEvent(callId, now, (since) =>
      isStating ? pace.getMeanSlowdown(since, now) * factor : 1,
    );
    if (isStating && prefill?.wasAlone === true) {
      pace.recordPrefill(prefill.expectedMs, prefill.tookMs, now);
      this.setPaced(true);
    }
  }

  /** Returns what the pace of a run is measured from that produces its first event here now. */
  public getPaceStart(now: number): placedRuns.PaceStart {
    return { at: now, busyMs: this.backlog.getBusyMs(now) };
  }

  /**
   * Records the pace of a stream, without the time that prefills of other prompts added; only while
   * the pool states slowdowns.
   */
  public recordStream(
    { events, msPerEvent }: StreamPace,
    start: placedRuns.PaceStart,
    now: number,
  ): void {
    const busyMs = this.backlog.getBusyMs(now) - start.busyMs;
    const busyShare = Math.min(1, Math.max(0, busyMs / Math.max(1, now - start.at)));
    // It is a share of the time; steps with a chunk last longer, so they are a smaller share of the steps.
    const stepShare = busyShare / (PREFILL_STEP_RATIO - busyShare * (PREFILL_STEP_RATIO - 1));
    const ratio = 1 + stepShare * (PREFILL_STEP_RATIO - 1);
    this.pace.recordStream(msPerEvent / ratio, events, now);
    this.setPaced(true);
  }

  /** Sets whether the memory forecast is made at the engine's own speed. */
  public setPaced(isPaced: boolean): void {
    this.occupancy.setFactor(isPaced ? (this.pace.getFactor() ?? 1) : 1);
  }

  /**
   * Returns the time that a new prompt waits until its prefill starts, in milliseconds, at the
   * engine's own speed or at the usual one.
   */
  public getBacklogMs(now: number, isPaced: boolean): number {
    if (this.backlog.isEmpty) {
      return 0;
    }
    const { pace } = this;
    const slowness = isPaced ? (pace.getFactor() ?? 1) * pace.getSlowdown(now) : 1;
    return this.backlog.getMs(now, slowness);
  }

  /** Records a generation that the engine aborted. */
  public recordFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** Returns the penalty for recent failures, as a share of memory. Older failures count less. */
  public getFailurePenalty(now: number): number {
    return this.getFailures(now) * FAILURE_PENALTY;
  }

  private getFailures(now: number): number {
    if (this.failures === 0) {
      return 0;
    }
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
