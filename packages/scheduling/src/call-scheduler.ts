import * as admissionForecasts from './admission-forecast.js';
import type * as callSpecs from './call-spec.js';
import * as fairShareQueues from './fair-share-queue.js';
import * as retryTimes from './retry-times.js';
import * as serviceCapacities from './service-capacity.js';
import type * as waitingCalls from './waiting-call.js';

/** Interval at which all waiting calls are checked for those that can't be served in time, in milliseconds. */
const SWEEP_INTERVAL_MS = 10;

/**
 * Maximum number of waiting calls that one dispatch passes over because a slot that is free is not for them; bounds the
 * cost of a release.
 */
const MAX_PASSED_OVER = 16;

/** The Retry-After value if no upstream may take a call, in milliseconds; the list of upstreams changes within it. */
const NO_UPSTREAM_RETRY_MS = 500;

/** Share of the time that its caller has left after which a refused call is of no use to it. */
const MAX_RETRY_SHARE = 1 / 3;

/** Options of `CallScheduler`. */
export interface CallSchedulerOptions extends serviceCapacities.ServiceCapacityOptions {
  readonly getWeight: (team: string) => number;
  /** Computes when refused callers may return; by default, when the backlog will have been served. */
  readonly retryTimes?: retryTimes.RetryTimes;
}

/** The state of a service, for operators. */
export interface ServiceSummary {
  readonly running: number;
  readonly waiting: number;
  readonly upstreams: readonly {
    readonly upstreamId: string;
    readonly running: number;
    readonly limit: number;
    readonly usualMs: number | undefined;
    readonly slowdown: number;
  }[];
  readonly teams: readonly fairShareQueues.TeamShare[];
}

/** The load of one upstream or of all upstreams of a service, for logs. */
export interface ServiceLoad {
  /** Number of calls that may hold slots. */
  readonly limit: number;
  /** Number of calls that hold slots. */
  readonly inFlight: number;
  /** Time that a call is expected to take at one upstream, in milliseconds; `undefined` if it is not known. */
  readonly expectedMs: number | undefined;
  /** Slowdown that one upstream has stated; `undefined` while none is valid. */
  readonly slowdown: number | undefined;
}

/**
 * Schedules the calls of one plain service: gives each a slot at the upstream where it is expected to finish first,
 * holds it until one is free, or refuses it at once if it can't be served in time.
 */
export class CallScheduler {
  private readonly capacity: serviceCapacities.ServiceCapacity;
  private readonly queue: fairShareQueues.FairShareQueue<waitingCalls.WaitingCall>;
  private readonly waiting = new Map<string, waitingCalls.WaitingCall>();
  private readonly forecast: admissionForecasts.AdmissionForecast;
  private readonly retryTimes: retryTimes.RetryTimes;
  private nextSweepAt = -Infinity;

  public constructor(private readonly options: CallSchedulerOptions) {
    this.capacity = new serviceCapacities.ServiceCapacity(options);
    this.queue = new fairShareQueues.FairShareQueue(options.getWeight);
    this.forecast = new admissionForecasts.AdmissionForecast(this.queue, this.capacity);
    this.retryTimes = options.retryTimes ?? new retryTimes.BacklogRetryTimes(options.random);
  }

  /** Number of calls that wait for a slot. */
  public get size(): number {
    return this.queue.size;
  }

  /** Sets the upstreams that take calls. */
  public setUpstreams(upstreams: readonly callSpecs.SchedulableUpstream[]): void {
    this.capacity.setUpstreams(upstreams);
  }

  /** Takes a call; returns the calls that are settled now, which may be others. */
  public submit(spec: callSpecs.CallSpec, now: number): callSpecs.SettledCall[] {
    const call = this.forecast.createWaiting(spec, now);
    this.forecast.recordArrival(call, now);
    this.capacity.running.removeExpired(now);
    const reason = this.forecast.findRefusalReason(call, now);
    if (reason !== undefined) {
      this.queue.recordRefused(call, now);
      return [this.refuse(call, reason, now)];
    }
    this.queue.add(call, now);
    this.waiting.set(spec.callId, call);
    return this.dispatch(now);
  }

  /** Gives free slots to waiting calls and refuses those that can't be served any more. */
  public dispatch(now: number): callSpecs.SettledCall[] {
    this.capacity.running.removeExpired(now);
    const settled = [...this.grantFreeSlots(now), ...this.sweep(now)];
    this.capacity.observe(this.queue.size > 0, now);
    return settled;
  }

  /** Frees the slot of a call, or withdraws a call that waits; returns the calls that are settled by it. */
  public complete(callId: string, end: callSpecs.CallEnd, now: number): callSpecs.SettledCall[] {
    const call = this.waiting.get(callId);
    if (call !== undefined) {
      return [this.withdraw(call, now)];
    }
    return this.capacity.end(callId, end, now) ? this.dispatch(now) : [];
  }

  /** Registers a call that runs already. */
  public registerRunning(
    spec: callSpecs.CallSpec,
    upstreamId: string,
    expiresAt: number,
    now: number,
  ): void {
    if (!this.capacity.running.has(spec.callId)) {
      this.capacity.start({ ...spec, expiresAt }, upstreamId, now);
    }
  }

  /** Frees the slots of earlier processes of a host; returns their calls that waited. */
  public dropHost(hostId: string, incarnation: string, now: number): callSpecs.SettledCall[] {
    const isDropped = ({ spec }: { spec: Pick<callSpecs.CallSpec, 'hostId' | 'incarnation'> }) =>
      spec.hostId === hostId && spec.incarnation !== incarnation;
    this.capacity.running.removeWhere(isDropped);
    return [...this.waiting.values()].filter(isDropped).map((call) => this.withdraw(call, now));
  }

  /** Returns the state of the service. */
  public getSummary(now: number): ServiceSummary {
    return {
      running: this.capacity.running.size,
      waiting: this.queue.size,
      upstreams: this.capacity.list().map((item) => ({
        upstreamId: item.facts.upstreamId,
        running: item.running,
        limit: item.getLimit(),
        usualMs: item.serviceTime.getUsualMs(),
        slowdown: item.serviceTime.getSlowdown(now),
      })),
      teams: this.queue.listTeams(now),
    };
  }

  /** Returns the load of an upstream, or of all upstreams without one. */
  public getLoad(upstreamId: string | undefined, now: number): ServiceLoad {
    const upstreams = this.capacity.list();
    if (upstreamId === undefined) {
      const limit = upstreams.reduce((sum, item) => sum + item.getLimit(), 0);
      const inFlight = this.capacity.running.size;
      return { limit, inFlight, expectedMs: undefined, slowdown: undefined };
    }
    const found = upstreams.find(({ facts }) => facts.upstreamId === upstreamId);
    return {
      limit: found?.getLimit() ?? 0,
      inFlight: found?.running ?? 0,
      expectedMs: found?.serviceTime.getCurrentMs(now),
      slowdown: found?.serviceTime.findSlowdown(now),
    };
  }

  /** Refuses the waiting calls that can't be served before they expire, and in a shortage those that are late. */
  private sweep(now: number): callSpecs.SettledCall[] {
    if (this.queue.size === 0 || now < this.nextSweepAt) {
      return [];
    }
    this.nextSweepAt = now + SWEEP_INTERVAL_MS;
    const hopeless = this.queue.dropHopeless(now);
    const isLate = ({ dueAt, serviceMs }: waitingCalls.WaitingCall) => dueAt - serviceMs < now;
    hopeless.forEach(({ spec }) => this.waiting.delete(spec.callId));
    const late = this.forecast.hasSpare(now) ? [] : [...this.waiting.values()].filter(isLate);
    // All are removed before the first is refused: one that is still queued would count as backlog and, as soon as it
    // is refused, again as a caller who returns, so that all would get about the same time.
    late.forEach((call) => this.removeWaiting(call));
    return [...hopeless, ...late].map((call) => this.refuse(call, 'no-time', now));
  }

  private grantFreeSlots(now: number): callSpecs.SettledCall[] {
    const granted: callSpecs.SettledCall[] = [];
    const upstreams = this.capacity.list();
    if (this.queue.size === 0 || !this.capacity.hasRoom(upstreams, now)) {
      return granted;
    }
    let passedOver = 0;
    for (const call of this.queue.iterate(now)) {
      const chosen = this.capacity.choose(call.spec, passedOver, now);
      if (chosen === undefined) {
        passedOver += 1;
      } else {
        granted.push(this.grant(call, chosen.facts.upstreamId, now));
      }
      if (passedOver >= MAX_PASSED_OVER || !this.capacity.hasRoom(upstreams, now)) {
        break;
      }
    }
    return granted;
  }

  private grant(
    call: waitingCalls.WaitingCall,
    upstreamId: string,
    now: number,
  ): callSpecs.SettledCall {
    const { spec, submittedAt } = call;
    this.queue.take(call, now);
    this.waiting.delete(spec.callId);
    this.capacity.start(spec, upstreamId, now);
    return { kind: 'granted', spec, upstreamId, waitedMs: now - submittedAt };
  }

  private withdraw(call: waitingCalls.WaitingCall, now: number): callSpecs.SettledCall {
    const { spec, submittedAt } = call;
    this.removeWaiting(call);
    // Its caller has left, so no capacity is reserved for a return.
    return {
      kind: 'refused',
      spec,
      reason: 'no-time',
      retryAfterMs: 0,
      waitedMs: now - submittedAt,
    };
  }

  private removeWaiting(call: waitingCalls.WaitingCall): void {
    this.queue.remove(call);
    this.waiting.delete(call.spec.callId);
  }

  private refuse(
    { cost, priority, spec, submittedAt }: waitingCalls.WaitingCall,
    reason: callSpecs.SlotRefusalReason,
    now: number,
  ): callSpecs.SettledCall {
    const retryAfterMs =
      reason === 'no-upstream'
        ? NO_UPSTREAM_RETRY_MS * (0.9 + 0.2 * this.options.random())
        : this.retryTimes.reserve(
            {
              priority,
              cost,
              backlog: (this.queue.size + this.capacity.running.size) * cost,
              freeRatePerMs: this.capacity.getCallsPerMs(this.capacity.list(), now) * cost,
              maxMs: Math.max(0, spec.expiresAt - now) * MAX_RETRY_SHARE,
            },
            now,
          );
    return { kind: 'refused', spec, reason, retryAfterMs, waitedMs: now - submittedAt };
  }
}
