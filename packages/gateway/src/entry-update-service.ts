import type * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as procedures from './core-procedures.js';
import type * as coreTables from './core-host-registry.js';
import type * as entryTables from './entry-host-registry.js';
import type * as listDesks from './upstream-list-service.js';
import type * as suspectDesks from './suspect-registry.js';
import * as suspectLinks from './suspect-client.js';

/**
 * How long a leader leads before it tells how many entry hosts there are, in milliseconds: each of them has asked by then.
 * Told of fewer, every host would take a larger share of retries and of calls to cold upstreams than it has.
 */
const COUNT_MS = 1_500;

/** How often it is looked whether this host has lost the lead, in milliseconds. */
const LEAD_CHECK_MS = 50;

/** Where news for entry hosts comes from. */
export interface EntryUpdateServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly registry: coreTables.CoreHostRegistry;
  readonly entries: entryTables.EntryHostRegistry;
  readonly lists: listDesks.UpstreamListService;
  readonly suspects: suspectDesks.SuspectRegistry;
  readonly clock: schemas.Clock;
}

/** Tells entry hosts what they lack: any core host what the log holds, the leader also what it knows besides. */
export class EntryUpdateService {
  private readonly leadLost = new schemas.ChangeSignal();
  private isStopped = false;

  public constructor(private readonly options: EntryUpdateServiceOptions) {}

  /** Watches whether this host loses the lead, until stopped. */
  public async run(): Promise<void> {
    const { clock, group } = this.options;
    while (!this.isStopped) {
      const wasLeading = group.isLeading();
      await clock.sleep(LEAD_CHECK_MS);
      if (wasLeading && !group.isLeading()) {
        this.leadLost.notify();
      }
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Answers an entry host: at once when there is news, else when its wait is over. */
  public async answer(req: procedures.UpdatesReq): Promise<procedures.UpdatesRes> {
    const { clock, entries, group, lists, suspects } = this.options;
    entries.recordRequest(req.hostId);
    const end = clock.now() + req.waitMs;
    const wasLeading = group.isLeading();
    // A host that waited on a leader without the lead would not look for another one, nor hear of suspects.
    const isHeld = () => clock.now() < end && (!wasLeading || group.isLeading());
    while (!this.hasNews(req) && isHeld()) {
      await Promise.race([
        this.leadLost.wait(clock, end - clock.now()),
        group.state.changed.wait(clock, end - clock.now()),
        lists.changed.wait(clock, end - clock.now()),
        suspects.changed.wait(clock, end - clock.now()),
        group.evacuations.changed.wait(clock, end - clock.now()),
      ]);
    }
    return this.create(req);
  }

  private hasNews(req: procedures.UpdatesReq): boolean {
    const version = this.options.group.state.get()?.version ?? -1;
    return (
      version > req.version ||
      this.findNewEvacuations(req) !== undefined ||
      this.findNewList(req) !== undefined ||
      this.findSuspectNews(req) !== undefined
    );
  }

  private create(req: procedures.UpdatesReq): procedures.UpdatesRes {
    const { entries, group, lists, registry: table } = this.options;
    const document = group.state.get();
    const isLeading = group.isLeading();
    const list = this.findNewList(req);
    const hasChanges = req.takesChanges === true && list !== undefined;
    const packedChanges = hasChanges ? lists.getPackedChanges(req.listStamp) : undefined;
    const isWhole = list !== undefined && packedChanges === undefined;
    const isPacked = req.takesPacked === true && isWhole;
    return {
      document: document !== undefined && document.version > req.version ? document : undefined,
      list: isWhole && !isPacked ? list : undefined,
      packedList: isPacked ? lists.getPackedList() : undefined,
      packedChanges,
      listAgeMs: isLeading ? lists.getAgeMs() : undefined,
      listPeriodMs: isLeading ? lists.getPeriodMs() : undefined,
      isCurrent: group.isCurrent(),
      leader: group.voter?.leader,
      cores: table.listAll(),
      entryHosts: this.isCounted() ? entries.count() : undefined,
      suspects: this.findSuspectNews(req),
      evacuations: this.findNewEvacuations(req),
      quarantined:
        isLeading || req.suspects?.term !== suspectLinks.NO_TERM
          ? undefined
          : group.quarantine.list(),
    };
  }

  private isCounted(): boolean {
    const { clock, group } = this.options;
    return group.isLeading() && clock.now() - group.getLeadership().startedAt >= COUNT_MS;
  }

  private findSuspectNews(req: procedures.UpdatesReq): procedures.SuspectUpdates | undefined {
    const { group, suspects } = this.options;
    if (req.suspects === undefined || !group.isLeading()) {
      return undefined;
    }
    const { term } = group.getLeadership();
    suspects.startLeading(term);
    return suspects.findUpdates(req.suspects, term);
  }

  private findNewEvacuations(req: procedures.UpdatesReq): intents.EvacuatedZones | undefined {
    const facts = this.options.group.evacuations.get();
    const known = req.evacuationRevision ?? facts.revision;
    return facts.revision > known ? facts : undefined;
  }

  private findNewList(req: procedures.UpdatesReq): procedures.UpstreamList | undefined {
    const list = this.options.lists.getList();
    const isNew = this.options.group.isLeading() && list?.stamp !== req.listStamp;
    return isNew ? list : undefined;
  }
}
