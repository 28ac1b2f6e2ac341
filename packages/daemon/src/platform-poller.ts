import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import type * as schemasTypes from '@bramleyridge/schemas';
import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

/** Interval between two reads of the platform's list, in milliseconds. */
const POLL_INTERVAL_MS = 1_000;

/** Time within which the platform must answer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** The largest list, in bytes. */
const MAX_LIST_BYTES = 16 * 1024 * 1024;

/** Polls the platform's list of upstreams while `isActive` returns true. */
export class PlatformPoller {
  private isStopped = false;
  private readonly agent = paths.createBoundedAgent({ connections: 1 });
  private readonly faults: schemas.EntryFaultLog;

  public constructor(
    private readonly options: {
      readonly url: string | undefined;
      readonly availabilityZone: string | undefined;
      readonly clock: schemasTypes.Clock;
      readonly log: schemasTypes.Log;
      readonly isActive: () => boolean;
      /** Notified when `isActive` may have changed. */
      readonly activeChanged: schemasTypes.ChangeSignal;
      readonly onUpstreams: (upstreams: schemasTypes.Upstream[]) => void;
    },
  ) {
    this.faults = new schemas.EntryFaultLog(options.log, 'list-entries-unreadable');
  }

  /** Polls until stopped. */
  public async run(): Promise<void> {
    const { clock, activeChanged, isActive } = this.options;
    while (!this.isStopped) {
      if (isActive()) {
        await this.poll();
        await clock.sleep(POLL_INTERVAL_MS);
      } else {
        // A daemon that becomes the relay polls at once: until then its zone may have no list of
        // upstreams.
        await activeChanged.wait(clock, POLL_INTERVAL_MS);
      }
    }
  }

  /**
   * Reads the list once. Unreadable entries are left out; when the platform does not answer with a list, the previous
   * one stays in use.
   */
  public async poll(): Promise<void> {
    const { availabilityZone, log, onUpstreams, url } = this.options;
    if (url === undefined) {
      return;
    }
    const query = availabilityZone === undefined ? '' : `?availabilityZone=${availabilityZone}`;
    try {
      const res = await undici.request(`${url}/v1/hosts${query}`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        throw new schemas.StepError({
          id: 'listRefused',
          step: 'platform-list',
          peer: url,
          args: [res.statusCode],
        });
      }
      const body = await requests.readBoundedJson(res.body, MAX_LIST_BYTES);
      const list = schemas.parse(schemas.platformList, body, 'platform-list');
      const read = schemas.parseEntries(schemas.upstream, list.upstreams);
      this.faults.record(url, read);
      onUpstreams(read.entries);
    } catch (err) {
      log.warn({ step: 'platform-list', peer: url, err: schemas.toError(err).message });
    }
  }

  /** Stops the task. */
  public stop(): void {
    this.isStopped = true;
  }
}
