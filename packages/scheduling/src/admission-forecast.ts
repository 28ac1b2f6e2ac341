import * as callSpecs from './call-spec.js';
import type * as fairShareQueues from './fair-share-queue.js';
import * as onTimeDemands from './on-time-demand.js';
import type * as serviceCapacities from './service-capacity.js';
import * as teamLevels from './team-levels.js';
import type * as upstreamSlots from './upstream-slots.js';
import type * as waitingCalls from './waiting-call.js';

/** Share of the usual service time that is reckoned with in forecasts, so that most answers are on time. */
const FORECAST_SHARE = 1.2;

/**
 * The same for teams that get much less than their share. In a shortage, calls that will be late are refused for others
 * that can be on time; such a team is not to lose calls because its slot is free a little later than forecast.
 */
const BELOW_SHARE_FORECAST_SHARE = 0.5;

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
    const serviceMs = typicalMs * (isBelowShare ? BELOW_SHARE_FORECAST_SHARE : FORECAST_SHARE);
    const holdMs = callSpecs.getHoldMs({ dueInMs: dueAt - now, leftMs: expiresAt - now });
    return {
      spec,
      submittedAt: now,
      team,
      priority,
      cost: typicalMs,
      serviceMs,
      dueAt,
      expiresAt: Math.min(expiresAt, now + holdMs + serviceMs),
    };
  }

  /** Records that a call arrived. */
  public recordArrival({ dueAt, serviceMs }: waitingCalls.WaitingCall, now: number): void {
    if (dueAt >= now + serviceMs) {
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
