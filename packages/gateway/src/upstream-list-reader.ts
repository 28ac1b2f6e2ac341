import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';
import type * as ports from './ports.js';

/** How long the platform may take to answer with a page of the list, in milliseconds. */
const PAGE_MS = 1_500;

/** How long one reading may wait in all for pages that were refused at first, in milliseconds. */
const REFUSED_MS = 8_000;

/** The pause before a refused page is asked for again, in times of the pause between two calls that are allowed. */
const REFUSED_PAUSES = 2;

/** How often the pause is doubled at most while readings fail. */
const MOST_DOUBLINGS = 5;

/** Beyond which age the list is read by an entry host itself, in milliseconds: no leader hands it on. */
export const STALE_MS = 2_000;

/** How many of the leader's readings have to be missing before that, where it reads a long list less often. */
const STALE_PERIODS = 3;

/** Beyond which age a list is stale that the leader reads at some period, both in milliseconds. */
export function getStaleMs(periodMs: number): number {
  return Math.max(STALE_MS, STALE_PERIODS * periodMs);
}

/** What a reader of the list needs. */
export interface UpstreamListReaderOptions {
  readonly source: ports.UpstreamSource;
  readonly getAddress: () => string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Whether this host is the one that should read. */
  readonly isActive: () => boolean;
  /** The pause between two readings, in milliseconds, after one that took so many calls. */
  readonly getPauseMs: (calls: number) => number;
  /** The pause between two looks whether it should read, in milliseconds; left out, that of two readings. */
  readonly idlePauseMs?: number;
  /** How many calls the platform allows in a second, from all hosts. */
  readonly getCallsPerS: () => number;
  /**
   * Whether others read the same list, so that this host gives way when the platform refuses a call: hundreds of hosts that
   * ask on use the allowed calls up, and the one that reads for all of them never gets to the last page.
   */
  readonly backsOff: boolean;
  readonly random: () => number;
  readonly onList: (list: procedures.UpstreamList) => void;
}

/** Reads the platform's list of upstreams again and again while this host is the one that should. */
export class UpstreamListReader {
  private isStopped = false;
  private isFailing = false;
  private calls = 1;
  private unreadable = 0;
  /** Readings in a row that failed. */
  private failures = 0;

  public constructor(private readonly options: UpstreamListReaderOptions) {}

  /** Reads until stopped. */
  public async run(): Promise<void> {
    const { clock, getPauseMs, idlePauseMs, isActive: isDue } = this.options;
    while (!this.isStopped) {
      const wasDue = isDue();
      if (wasDue) {
        await this.readOnce();
      }
      const pauseMs = getPauseMs(this.calls);
      await clock.sleep(wasDue ? pauseMs * this.getPauseFactor() : (idlePauseMs ?? pauseMs));
    }
  }

  /** How many calls the last reading took. */
  public getLastCallCount(): number {
    return this.calls;
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Reads once; a platform that does not answer leaves what was known. */
  private async readOnce(): Promise<void> {
    const { getAddress, log, source, onList: take } = this.options;
    const peer = getAddress();
    const { end, reading, signal } = this.createReading();
    try {
      const read = await source.list(peer, signal, reading);
      this.calls = read.calls;
      this.failures = 0;
      this.noteUnreadable(read.unreadable, peer);
      const upstreams = keepLatestStarts(read.upstreams);
      take({ stamp: schemas.getContentHash(upstreams), upstreams });
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

  private getPauseFactor(): number {
    if (!this.options.backsOff || this.failures === 0) {
      return 1;
    }
    return 2 ** Math.min(this.failures, MOST_DOUBLINGS) * (0.5 + this.options.random());
  }

  /** A reading ends when a page takes too long, or when refused ones have to wait for too long. */
  private createReading() {
    const { clock, getCallsPerS, backsOff: givesWay } = this.options;
    const abort = new AbortController();
    const timer = setTimeout(
      () =>
        abort.abort(new schemas.StepError({ id: 'deadline', step: 'read-list', args: [PAGE_MS] })),
      PAGE_MS,
    );
    const refusedUntil = clock.now() + REFUSED_MS;
    const awaitRefused = async () => {
      if (givesWay || clock.now() > refusedUntil) {
        return false;
      }
      await clock.sleep((REFUSED_PAUSES * 1_000) / getCallsPerS());
      return true;
    };
    const notePage = () => {
      timer.refresh();
    };
    const reading: ports.ListReadMonitor = {
      recordPage: notePage,
      awaitRetryAllowed: awaitRefused,
    };
    return { signal: abort.signal, reading, end: () => clearTimeout(timer) };
  }

  /** Notes entries that could not be read when their number changes; another writer may leave them for long. */
  private noteUnreadable(unreadable: number, peer: string): void {
    if (unreadable !== this.unreadable) {
      this.options.log.warn({ event: 'list-entries-unreadable', count: unreadable, peer });
    }
    this.unreadable = unreadable;
  }
}

/** Of entries with the same name the one that started last; the others are of processes that ended. */
function keepLatestStarts(upstreams: readonly schemas.ListedUpstream[]): schemas.ListedUpstream[] {
  const byId = new Map<string, schemas.ListedUpstream>();
  upstreams.forEach((item) => {
    const known = byId.get(item.upstreamId);
    if (known === undefined || !schemas.isReborn(item, known)) {
      byId.set(item.upstreamId, item);
    }
  });
  return [...byId.values()];
}
