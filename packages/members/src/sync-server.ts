import type * as schemas from '@bramleyridge/schemas';

import type * as configurationStores from './configuration-store.js';
import type * as zoneStatuses from './zone-status.js';
import type * as zoneViews from './zone-view.js';

/** What the answer needs besides the store and the view. */
export interface SyncServerOptions {
  readonly store: configurationStores.ConfigurationStore;
  readonly view: zoneViews.ZoneView;
  readonly clock: schemas.Clock;
  /** The leader's name when this daemon is a voter that knows it. */
  readonly findLeader: () => string | undefined;
  /** Where the leader keeps what every zone's relay tells it; nothing on other daemons. */
  readonly findZoneStatus: () => zoneStatuses.ZoneStatus | undefined;
  readonly getEntries: () => schemas.ZoneEntries;
  /** Whether this daemon leads under a lease, so that what it has in force is the newest. */
  readonly isLeased: () => boolean;
}

/** Answers heartbeats: at once when there is news, else when the asker's wait is over. */
export class SyncServer {
  public constructor(private readonly options: SyncServerOptions) {}

  /** One heartbeat. */
  public async handle(req: schemas.SyncReq): Promise<schemas.SyncRes> {
    const { store, view, clock } = this.options;
    if (req.configuration !== undefined) {
      store.offer(req.configuration);
    }
    const isOwnZone = req.availabilityZone === view.getDirectory().availabilityZone;
    if (isOwnZone) {
      view.receiveHeartbeats(req.beats, req.from);
    }
    const status = this.options.findZoneStatus();
    const isTold = status === undefined || status.receiveHeartbeat(req);
    const isKnown = isTold && (!isOwnZone || view.hasHeartbeat(req.from, req.incarnation));
    const end = clock.now() + req.waitMs;
    while (!this.hasNews(req, isOwnZone) && isKnown && clock.now() < end) {
      await this.waitForNews(end - clock.now());
    }
    return this.createRes(req, isOwnZone, isKnown);
  }

  private hasNews(req: schemas.SyncReq, isOwnZone: boolean): boolean {
    const { store, view, getEntries } = this.options;
    const directoryIsNew = isOwnZone && view.getDirectory().stamp !== req.directoryStamp;
    const entriesAreNew =
      this.isEntriesSource(isOwnZone) && getEntries().stamp !== req.entriesStamp;
    return store.get().revision !== req.revision || directoryIsNew || entriesAreNew;
  }

  /** Other zones get the list of entries from the leader only: another voter's may be older. */
  private isEntriesSource(isOwnZone: boolean): boolean {
    return isOwnZone || this.options.findZoneStatus() !== undefined;
  }

  private async waitForNews(ms: number): Promise<void> {
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
