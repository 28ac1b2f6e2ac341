import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as coreHostRegistries from './core-host-registry.js';

/**
 * Timeout of a request that is forwarded to the leader, in milliseconds. Operators retry on another host after a second
 * without an answer, and a failed leader must be detected before that.
 */
const REQUEST_TIMEOUT_MS = 800;

/** Pause before the next search for a leader, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Options of a request to another host. */
export interface RequestOptions {
  readonly context: { readonly deadlineMs: number };
}

/** Dependencies of the leader client. */
export interface LeaderClientOptions {
  readonly coreId: string;
  readonly group: coreGroups.CoreGroup;
  readonly registry: coreHostRegistries.CoreHostRegistry;
  readonly mesh: coreMeshes.CorePeers;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Sends requests to the leader of the core hosts, which may be this host. */
export class LeaderClient {
  public constructor(private readonly options: LeaderClientOptions) {}

  /**
   * Sends a request to the leader and repeats it until it is answered, the time limit passes or the signal aborts. It may
   * be executed more than once, so it must be idempotent.
   */
  public async request<T>(
    local: () => Promise<T>,
    remote: (api: coreMeshes.CoreApi, options: RequestOptions) => Promise<T>,
    durationMs: number,
    signal?: AbortSignal,
  ): Promise<T> {
    const { clock, coreId, mesh } = this.options;
    const deadlineAt = clock.now() + durationMs;
    let lastError: unknown;
    while (clock.now() < deadlineAt) {
      for (const candidate of this.listLeaders()) {
        signal?.throwIfAborted();
        try {
          return candidate === coreId
            ? await local()
            : await remote(mesh.get(candidate), { context: { deadlineMs: REQUEST_TIMEOUT_MS } });
        } catch (err) {
          lastError = err;
        }
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
    const { message } = schemas.toError(lastError);
    this.options.log.warn({ event: 'leader-lost', step: 'ask-leader', err: message });
    throw new schemas.Refusal({
      id: 'notLeader',
      step: 'ask-leader',
      status: 503,
      outcome: 'unknown',
      cause: lastError,
    });
  }

  /**
   * Lists the hosts to try: only this host if it leads, else all others with the known leader first. A host without a
   * voter slot gets no heartbeats, so it may have no leader on record.
   */
  private listLeaders(): string[] {
    const { coreId, group, registry } = this.options;
    if (group.voter?.leadership !== undefined) {
      return [coreId];
    }
    const leader = group.voter?.leader ?? registry.leaderHint;
    const others = registry.listOthers();
    return leader === undefined ? others : [leader, ...others.filter((id) => id !== leader)];
  }
}
