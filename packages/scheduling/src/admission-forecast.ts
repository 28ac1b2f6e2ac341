import * as callSpecs from './call-spec.js';
import type * as fairShareQueues from './fair-share-queue.js';
import * as onTimeDemands from './on-time-demand.js';
import type * as serviceCapacities from './service-capacity.js';
import * as teamLevels from './team-levels.js';
import type * as upstreamSlots from './upstream-slots.js';
import type * as waitingCalls from './waiting-call.js';

/**
 * Share of the typical service time that a fast answer takes. Teams that get much less than their share are forecast with
 * it, others with what most answers take: in a shortage, calls that will be late are refused for others that can be on
 * time, and such a team is not to lose calls because its slot is free a little later than forecast.
 */
const FAST_ANSWER_SHARE = 0.5;

/** Time for which a call is on its way between the hosts and to its caller, in milliseconds. */
const DELIVERY_MS = 10;

/** Forecasts whether calls can be served in time, from the work ahead of them and the rate at which slots are freed. */
export class AdmissionForecast {
  private readonly demand = new onTimeDemands.OnTimeDemand();
  private readonly levels: teamLevels.TeamLevels;

  public constructor(
    private readonly queue: fairShareQueues.FairShareQueue<waitingCalls.WaitingCall>,
    private readonly capacity: serviceCapacities.ServiceCapacity,
  ) {
    this.levels = new teamLevels.TeamLevels((now) => queue.listTeams(now));
  }

  /** Creates the request of a call for the queue. */
  public createWaiting(spec: callSpecs.CallSpec, now: number): waitingCalls.WaitingCall {
    const { dueAt, expiresAt, priority, team } = spec;
    const typicalMs = this.capacity.getTypicalMs(now);
    const isBelowShare = this.levels.isBelowShare(team, now);
    const share = isBelowShare ? FAST_ANSWER_SHARE : this.capacity.spread.get();
    const serviceMs = typicalMs * share;
    const holdMs = callSpecs.getHoldMs({ dueInMs: dueAt - now, leftMs: expiresAt - now });
    return {
      spec,
      submittedAt: now,
      team,
      priority,
      cost: typicalMs,
      serviceMs,
      dueAt: dueAt - DELIVERY_MS,
      expiresAt: Math.min(expiresAt, now + holdMs + serviceMs),
    };
  }

  /** Records that a call arrived; one that could be on time with a fast answer counts. */
  public recordArrival({ cost, dueAt }: waitingCalls.WaitingCall, now: number): void {
    if (dueAt >= now + cost * FAST_ANSWER_SHARE) {
      this.demand.record(now);
    }
  }

  /** Returns why a call that has just arrived is refused at once; `undefined` if it may wait. */
  public findRefusalReason(
    call: waitingCalls.WaitingCall,
    now: number,
  ): callSpecs.SlotRefusalReason | undefined {
    const allowed = this.capacity.listAllowed(call.spec);
    if (allowed.length === 0) {
      return 'no-upstream';
    }
    if (this.queue.size === 0 && this.capacity.hasRoom(allowed, now)) {
      return undefined;
    }
    const endsAt = now + this.forecastWaitMs(call, allowed, now) + call.serviceMs;
    const isInTime = endsAt <= call.expiresAt && (endsAt <= call.dueAt || this.hasSpare(now));
    return isInTime ? undefined : 'no-time';
  }

  /** Returns whether slots become free faster than calls arrive that can be on time. */
  public hasSpare(now: number): boolean {
    const callsPerMs = this.capacity.getCallsPerMs(this.capacity.list(), now);
    return this.demand.getRatePerMs(now) < callsPerMs;
  }

  private forecastWaitMs(
    call: waitingCalls.WaitingCall,
    allowed: readonly upstreamSlots.UpstreamSlots[],
    now: number,
  ): number {
    const callsPerMs = this.capacity.getCallsPerMs(allowed, now);
    if (callsPerMs === 0) {
      return Math.min(...allowed.map((item) => item.getOpenAt(now))) - now;
    }
    return this.queue.estimateWaitMs(call, callsPerMs * this.capacity.getTypicalMs(now), now);
  }
}
