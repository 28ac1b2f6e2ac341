import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** Timeout of a request for a grant or of a report, in milliseconds; calls wait for grants. */
const REQUEST_TIMEOUT_MS = 60;

/** Cursor before the first contact with a core host. */
const NO_CURSOR: procedures.RateLimitCursor = { source: '', revision: -1 };

/** Time for which a leader that did not answer is sent no requests, in milliseconds. */
const SKIP_FAILED_MS = 500;

/** Dependencies of the rate grant client. */
export interface RateGrantClientOptions {
  readonly hostId: string;
  readonly mesh: coreMeshes.CorePeers;
  readonly listCores: () => readonly string[];
  readonly findLeader: () => string | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Options of a request to a core host. */
interface RequestOptions {
  readonly context: { readonly deadlineMs: number };
}

/** This host's requests to core hosts about what upstreams have stated. */
export class RateGrantClient implements requests.RateGrantor {
  private cursor = NO_CURSOR;
  private skipUntil = -Infinity;

  public constructor(private readonly options: RateGrantClientOptions) {}

  /** Returns the position in the changes of the core host that answered last. */
  public getCursor(): procedures.RateLimitCursor {
    return this.cursor;
  }

  /** Requests a grant to send one call now; `undefined` if the leader does not answer. */
  public async requestGrant(
    limit: requests.RateLimitFacts,
  ): Promise<requests.RateGrantAnswer | undefined> {
    const { clock, findLeader, hostId } = this.options;
    const leader = findLeader();
    if (leader === undefined || clock.now() < this.skipUntil) {
      return undefined;
    }
    const answer = await this.request(leader, (api, options) =>
      api.grantSend.mutate({ hostId, limit }, options),
    );
    if (answer === undefined) {
      this.skipUntil = clock.now() + SKIP_FAILED_MS;
    }
    return answer;
  }

  /** Reports a limit; if the report is lost, the next request for a grant holds the same. */
  public reportLimit(limit: requests.RateLimitFacts): void {
    const { log } = this.options;
    schemas.runInBackground(() => this.sendLimit(limit), { log, step: 'report-limit' });
  }

  /** Reports to the leader that upstream processes leave; a lost report is repeated when the leader's list lacks them. */
  public reportLeaving(processIds: string[]): void {
    const { findLeader, hostId, log } = this.options;
    const peer = findLeader();
    if (peer !== undefined) {
      const report = () =>
        this.request(peer, (api, options) =>
          api.reportLeaving.mutate({ hostId, processIds }, options),
        );
      schemas.runInBackground(report, { log, step: 'report-leaving', peer });
    }
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
      const task = { log: this.options.log, step: 'report-limits', peer: source };
      schemas.runInBackground(() => this.sendLimits(source, known), task);
    }
  }

  /** Sends a limit to the leader, or to all core hosts while none answers. */
  private async sendLimit(limit: requests.RateLimitFacts): Promise<void> {
    const { findLeader, listCores } = this.options;
    const leader = findLeader();
    if (leader !== undefined && (await this.sendLimits(leader, [limit]))) {
      return;
    }
    const others = listCores().filter((coreId) => coreId !== leader);
    await Promise.all(others.map((coreId) => this.sendLimits(coreId, [limit])));
  }

  /** Sends limits to a core host; returns whether it has them. */
  private async sendLimits(coreId: string, limits: requests.RateLimitFacts[]): Promise<boolean> {
    const { hostId } = this.options;
    const answer = await this.request(coreId, async (api, options) => {
      await api.reportLimits.mutate({ hostId, limits }, options);
      return true;
    });
    return answer === true;
  }

  private async request<T>(
    coreId: string,
    send: (api: coreMeshes.CoreApi, options: RequestOptions) => Promise<T>,
  ): Promise<T | undefined> {
    const { log, mesh } = this.options;
    try {
      return await send(mesh.get(coreId), { context: { deadlineMs: REQUEST_TIMEOUT_MS } });
    } catch (err) {
      log.info({ step: 'rate-grant', peer: coreId, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
