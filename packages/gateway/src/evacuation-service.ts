import type * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as leaderClients from './leader-client.js';

/** How long an order is tried, in milliseconds: an operator without an answer sends it to another host after a second. */
const ORDER_MS = 1_000;

/** What taking orders needs. */
export interface EvacuationServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly leader: leaderClients.LeaderClient;
  /** The availability zones of the deployment; nothing where the settings don't name them. */
  readonly listZones: () => readonly string[] | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Takes operators' orders on availability zones, at whichever core host the operator reached. */
export class EvacuationService {
  public constructor(private readonly options: EvacuationServiceOptions) {}

  /**
   * Orders that a zone gets no new work, or takes work again; resolves once a majority has synced it. The signal tells
   * that the operator has left: the order may have been sent again, and withdrawn, through another host.
   */
  public async setEvacuated(
    availabilityZone: string,
    isEvacuated: boolean,
    signal: AbortSignal,
  ): Promise<intents.EvacuatedZones> {
    this.checkZone(availabilityZone);
    const { clock, log } = this.options;
    const end = clock.now() + ORDER_MS;
    let facts = await this.read(end, signal);
    while (facts.zones.includes(availabilityZone) !== isEvacuated) {
      if (clock.now() >= end) {
        throw createConflict();
      }
      const { revision } = facts;
      await this.propose(
        { availabilityZone, isEvacuated, expectedRevision: revision },
        end,
        signal,
      );
      facts = await this.read(end, signal);
    }
    log.info({ decision: 'evacuate', availabilityZone, isEvacuated, revision: facts.revision });
    return facts;
  }

  /** Puts an order into the log, as the leader. */
  public async proposeAsLeader(entry: intents.EvacuationEntry): Promise<intents.EvacuationResult> {
    const { result } = await this.options.group.getLeadership().propose(entry);
    return result as intents.EvacuationResult;
  }

  /** Which zones are evacuated, as the leader; a majority confirms first that it still leads. */
  public async readAsLeader(): Promise<intents.EvacuatedZones> {
    await this.options.group.getLeadership().barrier();
    return this.options.group.evacuations.get();
  }

  private read(end: number, signal: AbortSignal): Promise<intents.EvacuatedZones> {
    const { clock, leader } = this.options;
    return leader.request(
      () => this.readAsLeader(),
      (api, options) => api.readEvacuations.mutate(undefined, options),
      end - clock.now(),
      signal,
    );
  }

  private async propose(
    evacuation: intents.EvacuationEntry['evacuation'],
    end: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, leader } = this.options;
    await leader.request(
      () => this.proposeAsLeader({ evacuation }),
      (api, options) => api.evacuate.mutate({ evacuation }, options),
      end - clock.now(),
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
