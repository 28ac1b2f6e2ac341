import type * as schemasTypes from '@bramleyridge/schemas';
import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

/** How often the platform's list is read, in milliseconds. */
const POLL_INTERVAL_MS = 1_000;

/** How long an answer may take, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Reads the platform's list of upstreams while this daemon is the one that should. */
export class PlatformPoller {
  private isStopped = false;

  public constructor(
    private readonly options: {
      readonly url: string | undefined;
      readonly availabilityZone: string | undefined;
      readonly clock: schemasTypes.Clock;
      readonly log: schemasTypes.Log;
      readonly isActive: () => boolean;
      /** Tells that it may have become due. */
      readonly activeChanged: schemasTypes.ChangeSignal;
      readonly onUpstreams: (upstreams: schemasTypes.Upstream[]) => void;
    },
  ) {}

  /** Reads until stopped. */
  public async run(): Promise<void> {
    const { clock, activeChanged, isActive } = this.options;
    while (!this.isStopped) {
      if (isActive()) {
        await this.poll();
        await clock.sleep(POLL_INTERVAL_MS);
      } else {
        // A daemon that becomes the relay reads at once: until then its zone may know no upstreams at all.
        await activeChanged.wait(clock, POLL_INTERVAL_MS);
      }
    }
  }

  /** Reads the list once; a platform that does not answer leaves what was known. */
  public async poll(): Promise<void> {
    const { availabilityZone, log, onUpstreams, url } = this.options;
    if (url === undefined) {
      return;
    }
    const query = availabilityZone === undefined ? '' : `?availabilityZone=${availabilityZone}`;
    try {
      const res = await undici.request(`${url}/v1/hosts${query}`, {
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      const list = schemas.parse(schemas.platformList, await res.body.json(), 'platform-list');
      onUpstreams(list.upstreams);
    } catch (err) {
      log.warn({ step: 'platform-list', peer: url, err: schemas.toError(err).message });
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }
}
