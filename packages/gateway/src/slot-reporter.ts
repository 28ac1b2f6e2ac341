import type * as scheduling from '@bramleyridge/scheduling';
import type * as schemas from '@bramleyridge/schemas';

import type * as slotObservers from './slot-observer.js';
import type * as teamCallCounters from './team-call-counter.js';

/** Wait up to which a slot counts as granted at once and is not logged, in milliseconds: the clock's resolution. */
const MAX_UNLOGGED_WAIT_MS = 1;

/** Separates the caller's request id from what makes the id of a send unique. */
const CALL_ID_SEPARATOR = '~';

/** Dependencies of the slot reporter. */
export interface SlotReporterOptions {
  readonly calls: teamCallCounters.TeamCallCounter;
  readonly getWeight: (team: string) => number;
  readonly log: schemas.Log;
}

/** Reports the leader's decisions about slots: all in metrics, and in the log those that took time or were refusals. */
export class SlotReporter implements slotObservers.SlotObserver {
  public constructor(private readonly options: SlotReporterOptions) {}

  public recordAsked(service: string, { priority, team }: scheduling.CallSpec): void {
    this.options.calls.count({ service, team, priority }, 'asked');
  }

  public recordSettled(
    service: string,
    settled: scheduling.SettledCall,
    getLoad: () => scheduling.ServiceLoad,
  ): void {
    const { kind, spec, waitedMs } = settled;
    const { priority, team } = spec;
    this.options.calls.count({ service, team, priority }, kind);
    if (kind === 'refused' || waitedMs > MAX_UNLOGGED_WAIT_MS) {
      this.logSlot(service, settled, getLoad());
    }
  }

  private logSlot(
    service: string,
    settled: scheduling.SettledCall,
    { expectedMs, inFlight, limit }: scheduling.ServiceLoad,
  ): void {
    const { getWeight, log } = this.options;
    const { callId, priority, team } = settled.spec;
    const result =
      settled.kind === 'granted'
        ? { upstream: settled.upstreamId, expectedMs: expectedMs && Math.round(expectedMs) }
        : { reason: settled.reason, retryAfterMs: Math.round(settled.retryAfterMs) };
    log.info({
      decision: 'slot',
      request: callId.split(CALL_ID_SEPARATOR).slice(0, -1).join(CALL_ID_SEPARATOR),
      service,
      team: team === '' ? undefined : team,
      priority,
      weight: getWeight(team),
      waitedMs: Math.round(settled.waitedMs),
      limit,
      inFlight,
      ...result,
    });
  }
}
