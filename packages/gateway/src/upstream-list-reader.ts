import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';
import type * as ports from './ports.js';

/** Timeout for one page of the list, in milliseconds. */
const PAGE_TIMEOUT_MS = 1_500;

/** Time from the start of a read during which refused pages are requested again, in milliseconds. */
const MAX_REFUSED_WAIT_MS = 8_000;

/** Pause before a refused page is requested again, as a multiple of the mean interval that the call limit allows. */
const REFUSED_PAUSE_FACTOR = 2;

/** Maximum number of times that the pause is doubled while reads fail. */
const MAX_BACKOFF_DOUBLINGS = 5;

/** Minimum age at which an entry host reads the list itself because no leader distributes it, in milliseconds. */
export const STALE_MS = 2_000;

/** Number of reads missed by the leader after which a list is stale; the leader reads a long list less often. */
const STALE_PERIODS = 3;

/** Returns the age above which a list is stale, given the pause between the leader's reads, both in milliseconds. */
export function getStaleMs(periodMs: number): number {
  return Math.max(STALE_MS, STALE_PERIODS * periodMs);
}

/** Dependencies of a list reader. */
export interface UpstreamListReaderOptions {
  readonly source: ports.UpstreamSource;
  readonly getAddress: () => string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Returns whether this host should read the list. */
  readonly isActive: () => boolean;
  /** Returns the pause after a read that took the given number of calls, in milliseconds. */
  readonly getPauseMs: (calls: number) => number;
  /**
   * Pause between two checks of `isActive` while it returns false, in milliseconds; defaults to the pause between
   * reads.
   */
  readonly idlePauseMs?: number;
  /** Returns the number of calls per second that the platform allows for all hosts together. */
  readonly getCallsPerS: () => number;
  /**
   * Whether this host ends a read and backs off when the platform refuses a call, because others read the same list.
   * If hundreds of hosts retried, they would use up the call limit, and the leader would never get to the last page.
   */
  readonly backsOff: boolean;
  readonly random: () => number;
  readonly onList: (list: procedures.UpstreamList) => void;
}

/** Reads the platform's list of upstreams periodically while this host is responsible for it. */
export class UpstreamListReader {
  private isStopped = false;
  private isFailing = false;
  private lastCallCount = 1;
  private readonly faults: schemas.EntryFaultLog;
  /** Number of consecutive failed reads. */
  private failures = 0;

  public constructor(private readonly options: UpstreamListReaderOptions) {
    this.faults = new schemas.EntryFaultLog(options.log, 'list-entries-unreadable');
  }

  /** Reads until stopped. */
  public async run(): Promise<void> {
    const { clock, getPauseMs, idlePauseMs, isActive, log } = this.options;
    while (!this.isStopped) {
      const wasActive = isActive();
      if (wasActive) {
        await schemas.runRound(() => this.readOnce(), { log, step: 'read-list' });
      }
      const pauseMs = getPauseMs(this.lastCallCount);
      await clock.sleep(wasActive ? pauseMs * this.getBackoffFactor() : (idlePauseMs ?? pauseMs));
    }
  }

  /** Returns the number of calls that the last successful read took; 1 before the first. */
  public getLastCallCount(): number {
    return this.lastCallCount;
  }

  /** Stops the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Reads the list once; after a failure the previous list stays in use. */
  private async readOnce(): Promise<void> {
    const { getAddress, log, source, onList } = this.options;
    const peer = getAddress();
    const { end, monitor, signal } = this.createReadLimits();
    try {
      const read = await source.list(peer, signal, monitor);
      this.lastCallCount = read.calls;
      this.failures = 0;
      const { faults = [], unreadable } = read;
      this.faults.record(peer, { faults, unreadable });
      const upstreams = keepLatestStarts(read.upstreams);
      onList({ stamp: schemas.getContentHash(upstreams), upstreams });
      if (this.isFailing) {
        log.info({ event: 'list-regained', peer });
      }
      this.isFailing = false;
    } catch (err) {
      if (!this.isFailing) {
        log.warn({ event: 'list-lost', peer, err: schemas.toError(err).message });
      }
      this.isFailing = true;
      this.failures += 1;
    } finally {
      end();
    }
  }

  private getBackoffFactor(): number {
    if (!this.options.backsOff || this.failures === 0) {
      return 1;
    }
    return 2 ** Math.min(this.failures, MAX_BACKOFF_DOUBLINGS) * (0.5 + this.options.random());
  }

  /** Creates the limits of one read: it ends when a page takes too long or refused pages have waited too long. */
  private createReadLimits() {
    const { clock, getCallsPerS, backsOff } = this.options;
    const abort = new AbortController();
    const timer = setTimeout(
      () =>
        abort.abort(
          new schemas.StepError({ id: 'deadline', step: 'read-list', args: [PAGE_TIMEOUT_MS] }),
        ),
      PAGE_TIMEOUT_MS,
    );
    const refusedUntil = clock.now() + MAX_REFUSED_WAIT_MS;
    const awaitRetryAllowed = async () => {
      if (backsOff || clock.now() > refusedUntil) {
        return false;
      }
      await clock.sleep((REFUSED_PAUSE_FACTOR * 1_000) / getCallsPerS());
      return true;
    };
    const recordPage = () => {
      timer.refresh();
    };
    const monitor: ports.ListReadMonitor = {
      recordPage,
      awaitRetryAllowed,
    };
    return { signal: abort.signal, monitor, end: () => clearTimeout(timer) };
  }
}

/** Keeps, of entries with the same id, the one that started last; the others belong to processes that have exited. */
function keepLatestStarts(upstreams: readonly schemas.ListedUpstream[]): schemas.ListedUpstream[] {
  const byId = new Map<string, schemas.ListedUpstream>();
  upstreams.forEach((item) => {
    const known = byId.get(item.upstreamId);
    if (known === undefined || !schemas.hasRestarted(item, known)) {
      byId.set(item.upstreamId, item);
    }
  });
  return [...byId.values()];
}
