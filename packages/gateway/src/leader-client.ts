import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as coreTables from './core-host-registry.js';

/**
 * How long the leader may take over an order that another host hands it, in milliseconds: operators ask elsewhere
 * after a second without an answer, and a leader that has died must be found out before that.
 */
const LEADER_MS = 800;

/** The pause before a leader is looked for again, in milliseconds. */
const PAUSE_MS = 50;

/** How a question to another host is limited. */
export interface RequestOptions {
  readonly context: { readonly deadlineMs: number };
}

/** What the client needs. */
export interface LeaderClientOptions {
  readonly coreId: string;
  readonly group: coreGroups.CoreGroup;
  readonly table: coreTables.CoreHostRegistry;
  readonly mesh: coreMeshes.CorePeers;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Asks the leader of the core hosts, whichever of them that is; this host too may be it. */
export class LeaderClient {
  public constructor(private readonly options: LeaderClientOptions) {}

  /** Asks until the time is over or the signal aborts; what is asked must bear being asked again. */
  public async request<T>(
    here: () => Promise<T>,
    there: (api: coreMeshes.CoreApi, options: RequestOptions) => Promise<T>,
    durationMs: number,
    signal?: AbortSignal,
  ): Promise<T> {
    const { clock, coreId, mesh } = this.options;
    const end = clock.now() + durationMs;
    let last: unknown;
    while (clock.now() < end) {
      for (const candidate of this.listLeaders()) {
        signal?.throwIfAborted();
        try {
          return candidate === coreId
            ? await here()
            : await there(mesh.get(candidate), { context: { deadlineMs: LEADER_MS } });
        } catch (err) {
          last = err;
        }
      }
      await clock.sleep(PAUSE_MS);
    }
    const { message } = schemas.toError(last);
    this.options.log.warn({ event: 'leader-lost', step: 'ask-leader', err: message });
    throw new schemas.Refusal({
      id: 'notLeader',
      step: 'ask-leader',
      status: 503,
      outcome: 'unknown',
      cause: last,
    });
  }

  /** The leader that this host knows of; else everyone, since a host without a seat hears no leader. */
  private listLeaders(): string[] {
    const { coreId, group, table } = this.options;
    if (group.voter?.leadership !== undefined) {
      return [coreId];
    }
    const leader = group.voter?.leader ?? table.leaderHint;
    const others = table.listOthers();
    return leader === undefined ? others : [leader, ...others.filter((id) => id !== leader)];
  }
}
