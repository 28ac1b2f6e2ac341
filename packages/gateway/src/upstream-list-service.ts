import type * as requests from '@bramleyridge/requests';
import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';

import * as procedures from './core-procedures.js';
import type * as hostSettings from './host-settings.js';
import * as leavingEngineMonitors from './leaving-engine-monitor.js';
import * as upstreamListHistories from './upstream-list-history.js';
import * as upstreamListReaders from './upstream-list-reader.js';
import type * as ports from './ports.js';

/**
 * Minimum pause between two reads of the list by the leader, in milliseconds. An engine reclaimed at short notice is
 * listed as leaving for one to two seconds, of which the list's own lag takes 0.8 s. Each call costs a third of the
 * revenue of a short answer.
 */
const READ_PAUSE_MS = 300;

/**
 * Pause between two probes of the engines by the leader, in milliseconds. With it, the leader detects the notice of a
 * reclaimed engine after 0.1 s on average, with the list alone after 0.9 s; the engine serves for 1.5 to 2 s after the
 * notice. A tenth of a second is a third of the duration of a migration. The probes cost 0.5% of the revenue, twice as much as at 0.4 s; a net gain is not
 * established (+1.4% with a standard error of 1.3%, eight pairs of days).
 */
const PROBE_PAUSE_MS = 200;

/**
 * How long changes are collected into one new list, in milliseconds. Engines that are reclaimed together report it
 * within a few milliseconds, and each list goes to every entry host: seven lists to 194 hosts are 4 MB where one list
 * is enough.
 */
const CHANGE_BATCH_MS = 10;

/** Maximum share of the platform's call limit that the leader uses. */
const LEADER_CALL_SHARE = 0.5;

/**
 * Interval at which a host that does not lead checks whether it does, in milliseconds. Short, since a new leader has no
 * list.
 */
const LEADERSHIP_CHECK_MS = 20;

/** Maximum difference between the ends of the same cold period as computed from two reads, in milliseconds. */
const COLD_TOLERANCE_MS = 500;

interface ColdPeriod {
  readonly coldMs: number;
  readonly endsAt: number;
}

/** Dependencies of the upstream list service. */
export interface UpstreamListServiceOptions {
  readonly source: ports.UpstreamSource;
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly getSettings: () => hostSettings.HostSettings;
  /**
   * Returns the time since which this host has to read and probe, in milliseconds; undefined while it does not have to.
   */
  readonly findActiveSince: () => number | undefined;
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  /** Returns whether generations run on an engine. */
  readonly hasRuns: (service: string, engineId: string) => boolean;
  /** Called with the load that an engine states with its answer to a probe. */
  readonly onLoad: (service: string, engineId: string, load: scheduling.StatedLoad) => void;
  /** The gate of this host's probes. */
  readonly gate: requests.UpstreamGate;
}

/**
 * Maintains the list of upstreams that the leader distributes: the platform's list with the engines' own leaving
 * reports.
 */
export class UpstreamListService {
  /** Notifies when the list in force changes. */
  public readonly changed = new schemas.ChangeSignal();
  private readonly reader: upstreamListReaders.UpstreamListReader;
  /** Processes that have stated that they leave. */
  private statedLeaving = new Set<string>();
  private readonly leavingEngines: leavingEngineMonitors.LeavingEngineMonitor;
  private platformUpstreams: readonly schemas.ListedUpstream[] = [];
  private list: procedures.UpstreamList | undefined;
  private packed: Uint8Array | undefined;
  private readonly history = new upstreamListHistories.UpstreamListHistory();
  private isRebuildScheduled = false;
  private readAt = -Infinity;
  private coldPeriods = new Map<string, ColdPeriod>();
  /** When the platform's list behind the list in force was read. */
  private inForceReadAt = -Infinity;

  public constructor(private readonly options: UpstreamListServiceOptions) {
    const { clock, findActiveSince, gate, getSettings, log, probe, source } = options;
    const isActive = () => findActiveSince() !== undefined;
    this.reader = new upstreamListReaders.UpstreamListReader({
      source,
      clock,
      log,
      getAddress: () => getSettings().listAddress,
      isActive,
      getPauseMs: (calls) => this.getPauseMs(calls),
      idlePauseMs: LEADERSHIP_CHECK_MS,
      getCallsPerS: () => getSettings().listCallsPerS,
      backsOff: false,
      random: Math.random,
      onList: (list) => this.handleRead(list),
    });
    this.leavingEngines = new leavingEngineMonitors.LeavingEngineMonitor({
      probe,
      clock,
      log,
      isActive,
      pauseMs: PROBE_PAUSE_MS,
      listEngines: () => this.listEngines(),
      gate,
      onLoad: ({ service, upstreamId }, load) => options.onLoad(service, upstreamId, load),
      onChange: () => this.scheduleRebuild(),
    });
  }

  /** Starts reading the list and probing engines; both continue until stopped. */
  public run(): void {
    const { log } = this.options;
    schemas.runInBackground(() => this.reader.run(), { log, step: 'read-list' });
    schemas.runInBackground(() => this.leavingEngines.run(), { log, step: 'probe-engines' });
  }

  /** Stops both tasks. */
  public stop(): void {
    this.reader.stop();
    this.leavingEngines.stop();
  }

  /**
   * Returns the list in force; undefined until one is read in the current leadership. A list read in a former
   * leadership may be outdated by minutes.
   */
  public getList(): procedures.UpstreamList | undefined {
    const activeSince = this.options.findActiveSince();
    return activeSince !== undefined && this.inForceReadAt >= activeSince ? this.list : undefined;
  }

  /** Returns the last list as bytes, encoded once for all recipients. */
  public getPackedList(): Uint8Array | undefined {
    if (this.list !== undefined) {
      this.packed ??= procedures.packList(this.list);
    }
    return this.packed;
  }

  /** Returns the changes from a given list to the last one as bytes; undefined if the whole list should be sent. */
  public getPackedChanges(from: string): Uint8Array | undefined {
    return this.history.getPackedChanges(from);
  }

  /** Returns the age of the list in force, in milliseconds; undefined without a list. */
  public getAgeMs(): number | undefined {
    return this.getList() && this.options.clock.now() - this.inForceReadAt;
  }

  /** Returns the pause between two reads, in milliseconds; a list of many pages is read less often. */
  public getPeriodMs(): number {
    return this.getPauseMs(this.reader.getLastCallCount());
  }

  /** Records processes that have stated in answers that they leave, before the platform's list shows it. */
  public recordLeaving(processIds: readonly string[]): void {
    const added = processIds.filter((processId) => !this.statedLeaving.has(processId));
    added.forEach((processId) => this.statedLeaving.add(processId));
    if (added.length > 0) {
      this.scheduleRebuild();
    }
  }

  private handleRead({ upstreams }: procedures.UpstreamList): void {
    this.readAt = this.options.clock.now();
    // Only a new read shows which processes have ended; the list of a former leadership may lack new ones.
    const listed = new Set(upstreams.map(schemas.getProcessId));
    this.statedLeaving = new Set([...this.statedLeaving].filter((id) => listed.has(id)));
    this.platformUpstreams = this.keepFirstColdTimes(upstreams);
    this.scheduleRebuild();
  }

  /**
   * Keeps the remaining time that was first read for each cold period. It decreases with every read, and each changed
   * value would cause a new list for every host.
   */
  private keepFirstColdTimes(
    upstreams: readonly schemas.ListedUpstream[],
  ): schemas.ListedUpstream[] {
    const now = this.options.clock.now();
    const previous = this.coldPeriods;
    this.coldPeriods = new Map();
    return upstreams.map((item) => {
      if (item.coldMs === 0) {
        return item;
      }
      const known = previous.get(item.upstreamId);
      const isSame = known !== undefined && now + item.coldMs < known.endsAt + COLD_TOLERANCE_MS;
      const period = isSame ? known : { coldMs: item.coldMs, endsAt: now + item.coldMs };
      this.coldPeriods.set(item.upstreamId, period);
      return { ...item, coldMs: period.coldMs };
    });
  }

  private scheduleRebuild(): void {
    if (!this.isRebuildScheduled) {
      this.isRebuildScheduled = true;
      const { clock, log } = this.options;
      const rebuild = async () => {
        await clock.sleep(CHANGE_BATCH_MS);
        this.isRebuildScheduled = false;
        this.rebuild();
      };
      schemas.runInBackground(rebuild, { log, step: 'rebuild-list' });
    }
  }

  /** Builds a new list if the platform's list or the engines' reports have changed. */
  private rebuild(): void {
    const upstreams = this.platformUpstreams.map((item) => this.addReports(item));
    const stamp = schemas.getContentHash(upstreams);
    const isChanged = stamp !== this.getList()?.stamp;
    this.inForceReadAt = this.readAt;
    if (stamp !== this.list?.stamp) {
      this.list = { stamp, upstreams };
      this.packed = undefined;
      this.history.add(this.list);
    }
    if (isChanged) {
      this.changed.notify();
    }
  }

  /** Adds to an entry of the platform's list what its upstream has reported itself. */
  private addReports(item: schemas.ListedUpstream): schemas.ListedUpstream {
    if (this.statedLeaving.has(schemas.getProcessId(item))) {
      return { ...item, saysLeaving: true, hasStatedLeaving: true };
    }
    return this.leavingEngines.isLeaving(item.upstreamId) ? { ...item, saysLeaving: true } : item;
  }

  /** Lists the engines whose runs can be migrated and that are not listed as leaving. */
  private listEngines(): leavingEngineMonitors.MonitoredEngine[] {
    return this.platformUpstreams.flatMap(({ address, bornMs, isLeaving, service, upstreamId }) => {
      const found = this.options.findService(service);
      return found?.engine?.canMove === true && !isLeaving
        ? [
            {
              service,
              upstreamId,
              processId: schemas.getProcessId({ upstreamId, bornMs }),
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
    return Math.max(READ_PAUSE_MS, (calls * 1_000) / (listCallsPerS * LEADER_CALL_SHARE));
  }
}
