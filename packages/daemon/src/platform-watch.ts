import type * as schemasTypes from '@bramleyridge/schemas';
import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

/** How often the platform's list is read, in milliseconds. */
const POLL_MS = 1_000;

/** How long an answer may take, in milliseconds. */
const ANSWER_MS = 2_000;

/** Reads the platform's list of upstreams while this daemon is the one that should. */
export class PlatformWatch {
  private isStopped = false;

  public constructor(
    private readonly options: {
      readonly url: string | undefined;
      readonly availabilityZone: string | undefined;
      readonly clock: schemasTypes.Clock;
      readonly log: schemasTypes.Log;
      readonly isDue: () => boolean;
      /** Tells that it may have become due. */
      readonly dueChanged: schemasTypes.ChangeSignal;
      readonly take: (upstreams: schemasTypes.Upstream[]) => void;
    },
  ) {}

  /** Reads until stopped. */
  public async run(): Promise<void> {
    const { clock, dueChanged, isDue } = this.options;
    while (!this.isStopped) {
      if (isDue()) {
        await this.readOnce();
        await clock.sleep(POLL_MS);
      } else {
        // A daemon that becomes the relay reads at once: until then its zone may know no upstreams at all.
        await dueChanged.wait(clock, POLL_MS);
      }
    }
  }

  /** Reads the list once; a platform that does not answer leaves what was known. */
  public async readOnce(): Promise<void> {
    const { availabilityZone, log, take, url } = this.options;
    if (url === undefined) {
      return;
    }
    const query = availabilityZone === undefined ? '' : `?availabilityZone=${availabilityZone}`;
    try {
      const res = await undici.request(`${url}/v1/hosts${query}`, {
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      const list = schemas.parse(schemas.platformList, await res.body.json(), 'platform-list');
      take(list.upstreams);
    } catch (err) {
      log.warn({ step: 'platform-list', peer: url, err: schemas.toError(err).message });
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }
}
