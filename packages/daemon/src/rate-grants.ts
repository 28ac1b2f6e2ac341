import * as members from '@bramleyridge/members';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as peerMeshes from './peer-mesh.js';

/** Timeout of a request to another daemon, in milliseconds; a call waits for it. */
const REQUEST_TIMEOUT_MS = 60;

/** Time for which a daemon that did not answer is not asked again, in milliseconds. */
const SKIP_FAILED_MS = 500;

/** Interval at which a known limit is sent to the daemons again, in milliseconds; below the maximum age of a limit. */
const RETELL_MS = 20_000;

/** Dependencies of the rate grants. */
export interface RateGrantsOptions {
  readonly daemonId: string;
  readonly view: members.ZoneView;
  readonly mesh: peerMeshes.PeerMesh;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Grants of sends to limited upstreams among the daemons of a zone: one of them, chosen by hash, grants those to an
 * upstream. A daemon that learns of a limit tells all others.
 */
export class RateGrants implements requests.RateGrantor {
  private readonly service = new requests.RateGrantService();
  private readonly failedAt = new Map<string, number>();
  /** Times at which this daemon last told the others of a limit, by process. */
  private readonly toldAt = new Map<string, number>();

  public constructor(private readonly options: RateGrantsOptions) {}

  /** Requests a grant to send one call now; `undefined` if the daemon that grants does not answer. */
  public async requestGrant(
    limit: requests.RateLimitFacts,
  ): Promise<requests.RateGrantAnswer | undefined> {
    const { daemonId, view } = this.options;
    const { availabilityZone, members: listed } = view.getDirectory();
    const owner = members.findRateGrantor(availabilityZone, limit.processId, listed)?.daemonId;
    if (owner === daemonId) {
      return this.grant(limit);
    }
    return owner === undefined
      ? undefined
      : this.send(owner, async (peer, context) =>
          schemas.parse(
            requests.rateGrantAnswer,
            await peer.grantSend.mutate(limit, { context }),
            'read-grant',
          ),
        );
  }

  /** Tells all daemons of the zone about a limit. */
  public reportLimit(limit: requests.RateLimitFacts): void {
    const { clock, daemonId, log } = this.options;
    this.record(limit);
    this.toldAt.set(limit.processId, clock.now());
    this.listLive()
      .filter((id) => id !== daemonId)
      .forEach((id) => {
        const report = () =>
          this.send(id, (peer, context) => peer.reportLimit.mutate(limit, { context }));
        schemas.runInBackground(report, { log, step: 'report-limit', peer: id });
      });
  }

  /** Grants or refuses a send, as the daemon that grants. */
  public grant(limit: requests.RateLimitFacts): requests.RateGrantAnswer {
    const { processId } = limit;
    const now = this.options.clock.now();
    this.record(limit);
    const answer = this.service.grant(processId, now);
    if (answer.limit !== undefined && now - (this.toldAt.get(processId) ?? now) > RETELL_MS) {
      this.reportLimit(answer.limit);
    }
    this.toldAt.set(processId, this.toldAt.get(processId) ?? now);
    return answer;
  }

  /** Records what another daemon has learned about a limit. */
  public record(limit: requests.RateLimitFacts): void {
    this.service.merge(limit, this.options.clock.now());
  }

  /** Counts the daemons of the zone; `undefined` before they are known. */
  public countDaemons(): number | undefined {
    const { length } = this.listLive();
    return length === 0 ? undefined : length;
  }

  private listLive(): string[] {
    return this.options.view
      .getDirectory()
      .members.filter(({ state }) => state === 'live')
      .map(({ daemonId }) => daemonId);
  }

  private async send<T>(
    daemonId: string,
    request: (peer: peerMeshes.PeerApi, context: { deadlineMs: number }) => Promise<T>,
  ): Promise<T | undefined> {
    const { clock, log, mesh } = this.options;
    if (clock.now() - (this.failedAt.get(daemonId) ?? -Infinity) < SKIP_FAILED_MS) {
      return undefined;
    }
    try {
      return await request(mesh.get(daemonId), { deadlineMs: REQUEST_TIMEOUT_MS });
    } catch (err) {
      this.failedAt.set(daemonId, clock.now());
      log.info({ step: 'rate-grant', peer: daemonId, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
