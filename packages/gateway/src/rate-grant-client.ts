import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** Timeout of a request for a grant or of a report, in milliseconds; calls wait for grants. */
const REQUEST_TIMEOUT_MS = 60;

/** Cursor before the first contact with a core host. */
const NO_CURSOR: procedures.RateLimitCursor = { source: '', revision: -1 };

/** Dependencies of the rate grant client. */
export interface RateGrantClientOptions {
  readonly hostId: string;
  readonly mesh: coreMeshes.CorePeers;
  readonly listCores: () => readonly string[];
  readonly findLeader: () => string | undefined;
  /** Sends a request to the leader; `undefined` if there is none or it does not answer. */
  readonly requestLeader: <T>(
    send: (api: coreMeshes.CoreApi) => Promise<T>,
  ) => Promise<T | undefined>;
  readonly log: schemas.Log;
}

/** This host's requests to core hosts about limited upstreams. */
export class RateGrantClient implements requests.RateGrantor {
  private cursor = NO_CURSOR;

  public constructor(private readonly options: RateGrantClientOptions) {}

  /** Returns the position in the changes of the core host that answered last. */
  public getCursor(): procedures.RateLimitCursor {
    return this.cursor;
  }

  /** Requests a grant to send one call now; `undefined` if the leader does not answer. */
  public async requestGrant(
    limit: requests.RateLimitFacts,
  ): Promise<requests.RateGrantAnswer | undefined> {
    const { hostId, requestLeader } = this.options;
    const context = { deadlineMs: REQUEST_TIMEOUT_MS };
    return requestLeader((api) => api.grantSend.mutate({ hostId, limit }, { context }));
  }

  /** Reports a limit to the leader, or to all core hosts while there is none. */
  public reportLimit(limit: requests.RateLimitFacts): void {
    const { findLeader, listCores } = this.options;
    const leader = findLeader();
    (leader === undefined ? listCores() : [leader]).forEach((coreId) => {
      void this.sendLimits(coreId, [limit]);
    });
  }

  /** Reports that an upstream leaves to the leader; if the report is lost, the list shows it somewhat later. */
  public async reportLeaving({ processId, upstreamId }: requests.GatedUpstream): Promise<void> {
    const { hostId, requestLeader } = this.options;
    const context = { deadlineMs: REQUEST_TIMEOUT_MS };
    const processIds = [processId ?? upstreamId];
    await requestLeader((api) => api.reportLeaving.mutate({ hostId, processIds }, { context }));
  }

  /** Applies a core host's updates; one that this host did not poll before gets all limits that this host knows. */
  public applyUpdates(
    { limits, revision, source }: procedures.RateLimitUpdates,
    gate: requests.UpstreamGate,
  ): void {
    const isNewSource = source !== this.cursor.source;
    this.cursor = { source, revision };
    gate.mergeLimits(limits);
    const known = gate.listLimits();
    if (isNewSource && known.length > 0) {
      void this.sendLimits(source, known);
    }
  }

  /** Sends limits; if they are lost, requests for grants still hold them. */
  private async sendLimits(coreId: string, limits: requests.RateLimitFacts[]): Promise<void> {
    const { hostId, log, mesh } = this.options;
    const context = { deadlineMs: REQUEST_TIMEOUT_MS };
    try {
      await mesh.get(coreId).reportLimits.mutate({ hostId, limits }, { context });
    } catch (err) {
      log.info({ step: 'report-limits', peer: coreId, err: schemas.toError(err).message });
    }
  }
}
