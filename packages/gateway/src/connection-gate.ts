import * as perfHooks from 'node:perf_hooks';

import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

/** Interval at which the utilization of the event loop is sampled, in milliseconds. */
const SAMPLE_MS = 100;

/**
 * Utilization from which connections wait in the backlog of the listening socket, where the host can't see them, and up
 * to which there is room for more, as shares of the time.
 */
const SATURATED_SHARE = 0.95;
const ROOM_SHARE = 0.85;

/** Time for which the event loop is utilized as much until the host is saturated, in milliseconds. */
const SATURATED_MS = 400;

/** Share of the requests that a saturated host has handled which it takes next, so that what waits is served. */
const DECREASE = 0.8;

/** Factor by which the limit grows while there is room, and the pause between two steps, in milliseconds. */
const INCREASE = 1.1;
const INCREASE_PAUSE_MS = 300;

/** Lowest limit, in connections per second. */
const MIN_PER_S = 5;

/** Multiple of the offered connections from which the limit is lifted. */
const LIFT_RATIO = 2;

/** Time after the start in which no connection is closed, in milliseconds: the code is still being compiled. */
const START_MS = 3_000;

/** Dependencies of the connection gate. */
export interface ConnectionGateOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  /** Returns the share of the time since its last call in which the event loop was not idle. */
  readonly measureUtilization?: () => number;
}

/**
 * Decides which new connections a host takes. A load balancer may send most of them to one host; a host that read every
 * request then would answer none in time, and the callers on its kept connections would wait as well. A connection that
 * is closed before its request is read is retried at another host. While the event loop is never idle, no connection is
 * taken; afterwards somewhat fewer than the host has handled, and more as long as there is room.
 */
export class ConnectionGate {
  private limitPerS = Infinity;
  private isSaturated = false;
  private tokens = 0;
  private refilledAt = 0;
  /** Start of the period for which connections and requests are counted. */
  private periodStartedAt = 0;
  /** Since when the event loop was never idle; undefined if it was in the last sample. */
  private busySince: number | undefined;
  private offered = 0;
  private handled = 0;
  private isStopped = false;

  private readonly measureUtilization: () => number;

  public constructor(private readonly options: ConnectionGateOptions) {
    this.measureUtilization = options.measureUtilization ?? createUtilizationMeter();
  }

  /** Starts the sampling. */
  public start(): void {
    const { log } = this.options;
    schemas.runInBackground(() => this.run(), { log, step: 'gate-connections' });
  }

  /** Samples the utilization of the event loop until stopped. */
  public async run(): Promise<void> {
    const { clock } = this.options;
    await clock.sleep(START_MS);
    this.startPeriod();
    this.measureUtilization();
    while (!this.isStopped) {
      const startedAt = clock.now();
      await clock.sleep(SAMPLE_MS);
      this.addSample(this.measureUtilization(), startedAt);
    }
  }

  /** Stops the sampling. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Returns whether to take a new connection; otherwise it is closed before anything is read from it. */
  public admit(): boolean {
    this.offered += 1;
    const isTaken = !this.isSaturated && (this.limitPerS === Infinity || this.takeToken());
    if (!isTaken) {
      this.options.metrics.count('connectionsClosed', { reason: 'saturated' });
    }
    return isTaken;
  }

  /** Records that the first request of a connection is handled. */
  public recordFirstRequest(): void {
    this.handled += 1;
  }

  private takeToken(): boolean {
    const now = this.options.clock.now();
    const refill = ((now - this.refilledAt) * this.limitPerS) / 1_000;
    this.refilledAt = now;
    // A burst of the connections of two samples at most, which the next samples show.
    this.tokens = Math.min(1 + (this.limitPerS * 2 * SAMPLE_MS) / 1_000, this.tokens + refill);
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private addSample(utilization: number, startedAt: number): void {
    const now = this.options.clock.now();
    if (utilization < SATURATED_SHARE) {
      this.busySince = undefined;
      this.isSaturated = false;
      this.increase(utilization, now);
      return;
    }
    if (this.busySince === undefined) {
      this.busySince = startedAt;
      this.startPeriod();
    }
    if (!this.isSaturated && now - this.busySince >= SATURATED_MS) {
      const handledPerS = (this.handled * 1_000) / Math.max(SAMPLE_MS, now - this.periodStartedAt);
      this.isSaturated = true;
      this.setLimit(Math.max(MIN_PER_S, Math.min(this.limitPerS, handledPerS * DECREASE)));
    }
  }

  private increase(utilization: number, now: number): void {
    const periodMs = now - this.periodStartedAt;
    const hasRoom = utilization <= ROOM_SHARE;
    if (this.limitPerS === Infinity || !hasRoom || periodMs < INCREASE_PAUSE_MS) {
      return;
    }
    const offeredPerS = (this.offered * 1_000) / periodMs;
    const next = this.limitPerS * INCREASE + 1;
    this.setLimit(next > offeredPerS * LIFT_RATIO ? Infinity : next);
    this.startPeriod();
  }

  private setLimit(limitPerS: number): void {
    if (this.limitPerS === Infinity || limitPerS === Infinity) {
      const connectionsPerS = limitPerS === Infinity ? 'unlimited' : Math.round(limitPerS);
      this.options.log.info({ decision: 'limit-connections', connectionsPerS });
      this.refilledAt = this.options.clock.now();
      this.tokens = 0;
    }
    this.limitPerS = limitPerS;
  }

  private startPeriod(): void {
    this.periodStartedAt = this.options.clock.now();
    this.offered = 0;
    this.handled = 0;
  }
}

function createUtilizationMeter(): () => number {
  let last = perfHooks.performance.eventLoopUtilization();
  return () => {
    const current = perfHooks.performance.eventLoopUtilization();
    const { utilization } = perfHooks.performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}
