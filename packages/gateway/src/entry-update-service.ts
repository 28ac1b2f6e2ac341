import type * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as procedures from './core-procedures.js';
import type * as coreHostRegistries from './core-host-registry.js';
import type * as entryHostRegistries from './entry-host-registry.js';
import type * as upstreamListServices from './upstream-list-service.js';
import type * as rateLimitServices from './rate-limit-service.js';
import type * as suspectRegistries from './suspect-registry.js';
import * as packedDocuments from './packed-documents.js';
import * as suspectClients from './suspect-client.js';

/**
 * Time after which a new leader reports the number of entry hosts, in milliseconds: each of them has polled it by then.
 * With a lower number, every host would use more than its share of the retries and of the calls to cold upstreams.
 */
const COUNT_DELAY_MS = 1_500;

/** Interval of the check whether this host has lost the leadership, in milliseconds. */
const LEADERSHIP_CHECK_INTERVAL_MS = 50;

/** Length of a document that is sent whole, in characters. */
const MAX_WHOLE_LENGTH = 16 * 1024;

/** Longest time for which a poll waits for updates, in milliseconds. */
const MAX_WAIT_MS = 10_000;

/** Options of `EntryUpdateService`. */
export interface EntryUpdateServiceOptions {
  readonly group: coreGroups.CoreGroup;
  readonly coreRegistry: coreHostRegistries.CoreHostRegistry;
  readonly entryRegistry: entryHostRegistries.EntryHostRegistry;
  readonly upstreamList: upstreamListServices.UpstreamListService;
  readonly suspects: suspectRegistries.SuspectRegistry;
  readonly rateLimits: rateLimitServices.RateLimitService;
  readonly clock: schemas.Clock;
}

/**
 * Answers the polls of entry hosts: any core host sends what the log holds, the leader also its state outside the log.
 */
export class EntryUpdateService {
  private readonly leadershipLost = new schemas.ChangeSignal();
  private readonly documents: packedDocuments.PackedDocuments;
  /** Signals that end the polls that wait, by host. */
  private readonly polls = new Map<string, schemas.ChangeSignal>();
  private isStopped = false;

  public constructor(private readonly options: EntryUpdateServiceOptions) {
    this.documents = new packedDocuments.PackedDocuments(options.clock);
  }

  /** Monitors whether this host loses the leadership, until stopped. */
  public async run(): Promise<void> {
    const { clock, group } = this.options;
    while (!this.isStopped) {
      const wasLeading = group.isLeading();
      await clock.sleep(LEADERSHIP_CHECK_INTERVAL_MS);
      if (wasLeading && !group.isLeading()) {
        this.leadershipLost.notify();
      }
    }
  }

  /** Stops the monitoring. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Answers an entry host's poll: at once if there are updates, otherwise when its wait is over. */
  public async answer(req: procedures.UpdatesReq): Promise<procedures.UpdatesRes> {
    const { clock, entryRegistry, group, rateLimits, upstreamList, suspects } = this.options;
    entryRegistry.recordPoll(req.hostId, req.relay);
    const end = clock.now() + Math.min(req.waitMs, MAX_WAIT_MS);
    const wasLeading = group.isLeading();
    const replaced = this.replacePoll(req.hostId);
    const isLatest = () => this.polls.get(req.hostId) === replaced;
    // An entry host that waited on a former leader would neither look for the new one nor receive updates on suspects.
    const mayHold = () => isLatest() && clock.now() < end && (!wasLeading || group.isLeading());
    const signals = [
      replaced,
      this.leadershipLost,
      group.state.changed,
      upstreamList.changed,
      suspects.changed,
      rateLimits.changed,
      group.evacuations.changed,
    ];
    while (!this.hasUpdates(req) && mayHold()) {
      await schemas.ChangeSignal.waitAny(signals, clock, end - clock.now());
    }
    if (isLatest()) {
      this.polls.delete(req.hostId);
    }
    return this.createAnswer(req);
  }

  /** Ends the former poll of a host, which waits for one at a time, and returns the signal that ends the new one. */
  private replacePoll(hostId: string): schemas.ChangeSignal {
    this.polls.get(hostId)?.notify();
    const replaced = new schemas.ChangeSignal();
    this.polls.set(hostId, replaced);
    return replaced;
  }

  private hasUpdates(req: procedures.UpdatesReq): boolean {
    return (
      this.findNewDocument(req) !== undefined ||
      this.findNewEvacuations(req) !== undefined ||
      this.findNewList(req) !== undefined ||
      this.findSuspectUpdates(req) !== undefined ||
      this.findRateLimitUpdates(req) !== undefined
    );
  }

  private createAnswer(req: procedures.UpdatesReq): procedures.UpdatesRes {
    const { entryRegistry, group, upstreamList, coreRegistry } = this.options;
    const document = this.findNewDocument(req);
    const isInParts =
      req.takesDocumentParts === true && (document?.text.length ?? 0) > MAX_WHOLE_LENGTH;
    const isLeading = group.isLeading();
    const list = this.findNewList(req);
    const hasChanges = req.takesChanges === true && list !== undefined;
    const packedChanges = hasChanges ? upstreamList.getPackedChanges(req.listStamp) : undefined;
    const isWhole = list !== undefined && packedChanges === undefined;
    const isPacked = req.takesPacked === true && isWhole;
    return {
      document: isInParts ? undefined : document,
      documentPart: document && isInParts ? this.documents.getFirstPart(document) : undefined,
      list: isWhole && !isPacked ? list : undefined,
      packedList: isPacked ? upstreamList.getPackedList() : undefined,
      packedChanges,
      listAgeMs: isLeading ? upstreamList.getAgeMs() : undefined,
      listPeriodMs: isLeading ? upstreamList.getPeriodMs() : undefined,
      isCurrent: group.isCurrent(),
      leader: group.voter?.leader,
      cores: coreRegistry.listHeard(),
      entryHosts: this.hasCompleteCount() ? entryRegistry.count() : undefined,
      suspects: this.findSuspectUpdates(req),
      rateLimits: this.findRateLimitUpdates(req),
      evacuations: this.findNewEvacuations(req),
      relays: this.findNewRelays(req),
      quarantined:
        isLeading || req.suspects?.term !== suspectClients.NO_TERM
          ? undefined
          : group.quarantine.list(),
    };
  }

  /** Returns a part of a document, if this host has that. */
  public getDocumentPart(req: procedures.DocumentPartReq): procedures.DocumentPartRes {
    return { part: this.documents.findPart(req, this.options.group.state.get()) };
  }

  /** Returns the document if the host neither has it nor has begun to fetch it. */
  private findNewDocument(req: procedures.UpdatesReq): intents.DeclaredDocument | undefined {
    const document = this.options.group.state.get();
    const known = Math.max(req.version, req.fetchedVersion ?? -1);
    return document !== undefined && document.version > known ? document : undefined;
  }

  private hasCompleteCount(): boolean {
    const { clock, group } = this.options;
    return group.isLeading() && clock.now() - group.getLeadership().startedAt >= COUNT_DELAY_MS;
  }

  private findSuspectUpdates(req: procedures.UpdatesReq): procedures.SuspectUpdates | undefined {
    const { group, suspects } = this.options;
    if (req.suspects === undefined || !group.isLeading()) {
      return undefined;
    }
    const { term } = group.getLeadership();
    suspects.startLeading(term);
    return suspects.findUpdates(req.suspects, term);
  }

  private findRateLimitUpdates(
    req: procedures.UpdatesReq,
  ): procedures.RateLimitUpdates | undefined {
    return req.rateLimits && this.options.rateLimits.findUpdates(req.rateLimits);
  }

  private findNewEvacuations(req: procedures.UpdatesReq): intents.EvacuatedZones | undefined {
    const facts = this.options.group.evacuations.get();
    const known = req.evacuationRevision ?? facts.revision;
    return facts.revision > known ? facts : undefined;
  }

  /** Returns the relays of a host if they differ from those that it has; `undefined` until all hosts have polled. */
  private findNewRelays(req: procedures.UpdatesReq): procedures.RelayList | undefined {
    if (req.relayStamp === undefined || !this.hasCompleteCount()) {
      return undefined;
    }
    const list = this.options.entryRegistry.listRelays(req.hostId);
    return list.stamp === req.relayStamp ? undefined : list;
  }

  private findNewList(req: procedures.UpdatesReq): procedures.UpstreamList | undefined {
    const list = this.options.upstreamList.getList();
    const isNew = this.options.group.isLeading() && list?.stamp !== req.listStamp;
    return isNew ? list : undefined;
  }
}
