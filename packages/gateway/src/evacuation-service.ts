import type * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as leaderClients from './leader-client.js';

/**
 * Time limit of one order, in milliseconds; an operator without an answer resends it to another host after a second.
 */
const ORDER_TIMEOUT_MS = 1_000;

/** Dependencies of the evacuation service. */
export interface EvacuationServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly leader: leaderClients.LeaderClient;
  /** Returns the availability zones of the deployment; undefined if the settings do not list them. */
  readonly listZones: () => readonly string[] | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Executes operators' evacuation orders for availability zones, on whichever core host receives them. */
export class EvacuationService {
  public constructor(private readonly options: EvacuationServiceOptions) {}

  /**
   * Evacuates a zone, so that it gets no new work, or ends its evacuation; resolves once a majority has synced the
   * entry. The signal aborts when the operator disconnects: the order may have been resent, and revoked, through
   * another host.
   */
  public async setEvacuated(
    availabilityZone: string,
    isEvacuated: boolean,
    signal: AbortSignal,
  ): Promise<intents.EvacuatedZones> {
    this.checkZone(availabilityZone);
    const { clock, log } = this.options;
    const deadlineAt = clock.now() + ORDER_TIMEOUT_MS;
    let facts = await this.read(deadlineAt, signal);
    while (facts.zones.includes(availabilityZone) !== isEvacuated) {
      if (clock.now() >= deadlineAt) {
        throw createConflict();
      }
      const { revision } = facts;
      await this.propose(
        { availabilityZone, isEvacuated, expectedRevision: revision },
        deadlineAt,
        signal,
      );
      facts = await this.read(deadlineAt, signal);
    }
    log.info({ decision: 'evacuate', availabilityZone, isEvacuated, revision: facts.revision });
    return facts;
  }

  /** Proposes an order to the replicated log, as the leader. */
  public async proposeAsLeader(entry: intents.EvacuationEntry): Promise<intents.EvacuationResult> {
    const { result } = await this.options.group.getLeadership().propose(entry);
    return result as intents.EvacuationResult;
  }

  /** Returns the evacuated zones, as the leader, after a majority has confirmed its leadership. */
  public async readAsLeader(): Promise<intents.EvacuatedZones> {
    await this.options.group.getLeadership().barrier();
    return this.options.group.evacuations.get();
  }

  private read(deadlineAt: number, signal: AbortSignal): Promise<intents.EvacuatedZones> {
    const { clock, leader } = this.options;
    return leader.request(
      () => this.readAsLeader(),
      (api, options) => api.readEvacuations.mutate(undefined, options),
      deadlineAt - clock.now(),
      signal,
    );
  }

  private async propose(
    evacuation: intents.EvacuationEntry['evacuation'],
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, leader } = this.options;
    await leader.request(
      () => this.proposeAsLeader({ evacuation }),
      (api, options) => api.evacuate.mutate({ evacuation }, options),
      deadlineAt - clock.now(),
      signal,
    );
  }

  private checkZone(availabilityZone: string): void {
    const zones = this.options.listZones();
    if (zones === undefined || zones.includes(availabilityZone)) {
      return;
    }
    throw new schemas.Refusal({
      id: 'noZone',
      step: 'evacuate',
      status: 404,
      outcome: 'not-run',
      args: [availabilityZone, zones.join(', ')],
    });
  }
}

function createConflict(): schemas.Refusal {
  return new schemas.Refusal({
    id: 'orderOvertaken',
    step: 'evacuate',
    status: 503,
    outcome: 'unknown',
  });
}
