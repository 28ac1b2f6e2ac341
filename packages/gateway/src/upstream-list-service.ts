import * as schemas from '@bramleyridge/schemas';

import * as procedures from './core-procedures.js';
import type * as hostSettings from './host-settings.js';
import * as leavingWatches from './leaving-engine-monitor.js';
import * as listHistories from './upstream-list-history.js';
import * as listReaders from './upstream-list-reader.js';
import type * as ports from './ports.js';

/**
 * How often the leader reads the list of upstreams, in milliseconds. An engine that is reclaimed at short notice
 * is listed as leaving for one to two seconds, of which the list's own lag takes 0.8; each call costs as much as a
 * third of a short answer earns.
 */
const LIST_MS = 300;

/**
 * How often the leader asks each engine whether it leaves, in milliseconds. It then knows 0.1 s after the notice on
 * average, of the 1.5 to 2 s for which a reclaimed engine still serves; by the list it takes 0.9 s. A tenth of a second
 * is a third of a run's way to another engine. The questions cost 0.5% of what a day's calls earn, twice as much as every
 * 0.4 s; that they earn it back is not shown (+1.4% with a standard error of 1.3%, eight pairs of days).
 */
const PROBE_PAUSE_MS = 200;

/**
 * How long changes of the list are gathered, in milliseconds. Engines that are reclaimed together say so within a few
 * milliseconds, and each list goes to every entry host: seven lists to 194 hosts are 4 MB for the news of one.
 */
const GATHER_MS = 10;

/** The share of the allowed calls to the list that the leader uses at most. */
const LIST_SHARE = 0.5;

/** How often a host that does not lead looks whether it does, in milliseconds; a new leader knows no upstreams. */
const IDLE_PAUSE_MS = 20;

/** By how much two readings of one cold time may differ, in milliseconds. */
const COLD_TOLERANCE_MS = 500;

interface ColdTime {
  readonly coldMs: number;
  readonly endsAt: number;
}

/** What the desk needs. */
export interface UpstreamListServiceOptions {
  readonly source: ports.UpstreamSource;
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly getSettings: () => hostSettings.HostSettings;
  /** Since when this host is the one that should read and ask; nothing while it is not. */
  readonly findActiveSince: () => number | undefined;
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  /** Whether generations run on an engine. */
  readonly hasRuns: (service: string, engineId: string) => boolean;
}

/** The list of upstreams as the leader hands it on: what the platform lists, and what engines say of themselves. */
export class UpstreamListService {
  /** Tells that the list is another one. */
  public readonly changed = new schemas.ChangeSignal();
  private readonly reader: listReaders.UpstreamListReader;
  private readonly leaving: leavingWatches.LeavingEngineMonitor;
  private listed: readonly schemas.ListedUpstream[] = [];
  private list: procedures.UpstreamList | undefined;
  private packed: Uint8Array | undefined;
  private readonly history = new listHistories.UpstreamListHistory();
  private isGathering = false;
  private readAt = -Infinity;
  private coldTimes = new Map<string, ColdTime>();
  /** When the platform's list was read from which the one in force was made. */
  private inForceReadAt = -Infinity;

  public constructor(private readonly options: UpstreamListServiceOptions) {
    const { clock, findActiveSince: findDueSince, getSettings, log, probe, source } = options;
    const isDue = () => findDueSince() !== undefined;
    this.reader = new listReaders.UpstreamListReader({
      source,
      clock,
      log,
      getAddress: () => getSettings().listAddress,
      isActive: isDue,
      getPauseMs: (calls) => this.getPauseMs(calls),
      idlePauseMs: IDLE_PAUSE_MS,
      getCallsPerS: () => getSettings().listCallsPerS,
      backsOff: false,
      random: Math.random,
      onList: (list) => this.take(list),
    });
    this.leaving = new leavingWatches.LeavingEngineMonitor({
      probe,
      clock,
      log,
      isActive: isDue,
      pauseMs: PROBE_PAUSE_MS,
      listEngines: () => this.listEngines(),
      onChange: () => this.renewSoon(),
    });
  }

  /** Reads the list and asks engines until stopped. */
  public run(): void {
    void this.reader.run();
    void this.leaving.run();
  }

  /** Ends both tasks. */
  public stop(): void {
    this.reader.stop();
    this.leaving.stop();
  }

  /** The list in force, once one was read. What was read in a former leadership may be old by minutes. */
  public getList(): procedures.UpstreamList | undefined {
    const dueSince = this.options.findActiveSince();
    return dueSince !== undefined && this.inForceReadAt >= dueSince ? this.list : undefined;
  }

  /** The list in force as bytes, made once for all who are told. */
  public getPackedList(): Uint8Array | undefined {
    if (this.list !== undefined) {
      this.packed ??= procedures.packList(this.list);
    }
    return this.packed;
  }

  /** What has changed in the list in force since another one, as bytes; nothing where the whole list is better. */
  public getPackedChanges(from: string): Uint8Array | undefined {
    return this.history.getPackedChanges(from);
  }

  /** How long ago it was read, in milliseconds; nothing before. */
  public getAgeMs(): number | undefined {
    return this.getList() && this.options.clock.now() - this.inForceReadAt;
  }

  /** The pause between two readings, in milliseconds; a list of many pages is read less often. */
  public getPeriodMs(): number {
    return this.getPauseMs(this.reader.getLastCallCount());
  }

  private take({ upstreams }: procedures.UpstreamList): void {
    this.readAt = this.options.clock.now();
    this.listed = this.keepColdTimes(upstreams);
    this.renewSoon();
  }

  /**
   * An upstream that is cold tells less time at each reading. While it says what it said before, what was read first
   * stays: with each change the whole list would go to every host.
   */
  private keepColdTimes(upstreams: readonly schemas.ListedUpstream[]): schemas.ListedUpstream[] {
    const now = this.options.clock.now();
    const former = this.coldTimes;
    this.coldTimes = new Map();
    return upstreams.map((item) => {
      if (item.coldMs === 0) {
        return item;
      }
      const known = former.get(item.upstreamId);
      const isSame = known !== undefined && now + item.coldMs < known.endsAt + COLD_TOLERANCE_MS;
      const time = isSame ? known : { coldMs: item.coldMs, endsAt: now + item.coldMs };
      this.coldTimes.set(item.upstreamId, time);
      return { ...item, coldMs: time.coldMs };
    });
  }

  private renewSoon(): void {
    if (!this.isGathering) {
      this.isGathering = true;
      void this.options.clock.sleep(GATHER_MS).then(() => {
        this.isGathering = false;
        this.renew();
      });
    }
  }

  /** Makes the list anew when what is listed or what engines say has changed. */
  private renew(): void {
    const upstreams = this.listed.map((item) =>
      this.leaving.isLeaving(item.upstreamId) ? { ...item, saysLeaving: true } : item,
    );
    const stamp = schemas.getContentHash(upstreams);
    const isNews = stamp !== this.getList()?.stamp;
    this.inForceReadAt = this.readAt;
    if (stamp !== this.list?.stamp) {
      this.list = { stamp, upstreams };
      this.packed = undefined;
      this.history.add(this.list);
    }
    if (isNews) {
      this.changed.notify();
    }
  }

  /** Engines whose runs can be taken over. */
  private listEngines(): leavingWatches.MonitoredEngine[] {
    return this.listed.flatMap(({ address, isLeaving, service, upstreamId }) => {
      const found = this.options.findService(service);
      return found?.engine?.canMove === true && !isLeaving
        ? [
            {
              upstreamId,
              address,
              healthPath: found.healthPath,
              hasRuns: this.options.hasRuns(service, upstreamId),
            },
          ]
        : [];
    });
  }

  private getPauseMs(calls: number): number {
    const { listCallsPerS } = this.options.getSettings();
    return Math.max(LIST_MS, (calls * 1_000) / (listCallsPerS * LIST_SHARE));
  }
}
