import * as schemas from '@bramleyridge/schemas';

import type * as configurationStores from './configuration-store.js';
import type * as zoneStatuses from './zone-status.js';
import type * as zoneViews from './zone-view.js';

/** Options of `SyncServer`. */
export interface SyncServerOptions {
  readonly store: configurationStores.ConfigurationStore;
  readonly view: zoneViews.ZoneView;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** The leader's name, if this host is a voter and has one. */
  readonly findLeader: () => string | undefined;
  /** The status of all zones on the leader; `undefined` on other hosts. */
  readonly findZoneStatus: () => zoneStatuses.ZoneStatus | undefined;
  readonly getEntries: () => schemas.ZoneEntries;
  /** Whether this host is the leader and holds its lease, so that its configuration is the latest. */
  readonly isLeased: () => boolean;
}

const NOTHING_UNREADABLE: schemas.UnreadableEntries = { unreadable: 0, faults: [] };

/** Answers heartbeats by long polling: at once if there are updates, else when the requested wait is over. */
export class SyncServer {
  private readonly faults: schemas.EntryFaultLog;

  public constructor(private readonly options: SyncServerOptions) {
    this.faults = new schemas.EntryFaultLog(options.log, 'heartbeat-unreadable');
  }

  /** Handles one heartbeat. */
  public async handle(req: schemas.SyncReq): Promise<schemas.SyncRes> {
    const { store, view, clock } = this.options;
    this.faults.record(req.from, req.unreadable ?? NOTHING_UNREADABLE);
    if (req.unreadable?.lacksPart) {
      // The sender would send what can't be read again at once.
      await clock.sleep(req.waitMs);
    }
    if (req.configuration !== undefined) {
      store.offer(req.configuration);
    }
    const isOwnZone = req.availabilityZone === view.getDirectory().availabilityZone;
    if (isOwnZone) {
      view.receiveHeartbeats(req.beats, req.from);
    }
    const status = this.options.findZoneStatus();
    const isRelayKnown = status === undefined || status.receiveHeartbeat(req);
    const isKnown = isRelayKnown && (!isOwnZone || view.hasHeartbeat(req.from, req.incarnation));
    const end = clock.now() + req.waitMs;
    while (!this.hasUpdates(req, isOwnZone) && isKnown && clock.now() < end) {
      await this.waitForUpdates(end - clock.now());
    }
    return this.createRes(req, isOwnZone, isKnown);
  }

  private hasUpdates(req: schemas.SyncReq, isOwnZone: boolean): boolean {
    const { store, view, getEntries } = this.options;
    const directoryChanged = isOwnZone && view.getDirectory().stamp !== req.directoryStamp;
    const entriesChanged =
      this.isEntriesSource(isOwnZone) && getEntries().stamp !== req.entriesStamp;
    return store.get().revision !== req.revision || directoryChanged || entriesChanged;
  }

  /**
   * Whether to send the entry hosts: other zones get them from the leader only, since another voter's may be outdated.
   */
  private isEntriesSource(isOwnZone: boolean): boolean {
    return isOwnZone || this.options.findZoneStatus() !== undefined;
  }

  private async waitForUpdates(ms: number): Promise<void> {
    const { store, view, clock } = this.options;
    await Promise.race([store.changed.wait(clock, ms), view.changed.wait(clock, ms)]);
  }

  private createRes(req: schemas.SyncReq, isOwnZone: boolean, isKnown: boolean): schemas.SyncRes {
    const { store, view, findLeader, getEntries } = this.options;
    const directory = view.getDirectory();
    const entries = getEntries();
    return {
      revision: store.get().revision,
      ...store.getUpdates(req.revision),
      directory: isOwnZone && directory.stamp !== req.directoryStamp ? directory : undefined,
      entries:
        this.isEntriesSource(isOwnZone) && entries.stamp !== req.entriesStamp ? entries : undefined,
      ageMs: this.options.isLeased() ? 0 : store.getAgeMs(),
      leader: findLeader(),
      needsBeats: !isKnown,
      needsConfiguration: store.get().revision < req.revision,
    };
  }
}
