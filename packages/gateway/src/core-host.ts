import * as path from 'node:path';

import * as consensus from '@bramleyridge/consensus';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as coreGreeters from './core-discovery.js';
import * as coreGroups from './core-group.js';
import * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as coreTables from './core-host-registry.js';
import * as entryNews from './entry-update-service.js';
import * as entryTables from './entry-host-registry.js';
import * as evacuationOrders from './evacuation-service.js';
import * as hostSettings from './host-settings.js';
import * as leaderClients from './leader-client.js';
import * as listDesks from './upstream-list-service.js';
import * as operatorDesks from './operator-service.js';
import * as poolDesks from './placement-service.js';
import type * as ports from './ports.js';
import * as retryShares from './retry-shares.js';
import * as routedStores from './routed-configuration-store.js';
import type * as settingsWatches from './settings-watcher.js';
import * as suspectDesks from './suspect-registry.js';
import * as suspectRelays from './suspect-relay.js';

/** How long a core host may take to answer another, in milliseconds; a slow disk's sync of 150 ms is in it. */
const PEER_DEADLINE_MS = 500;

/** What a core host needs besides its settings. */
export interface CoreHostOptions {
  readonly settings: settingsWatches.SettingsWatcher;
  readonly codec: ports.DocumentCodec;
  readonly source: ports.UpstreamSource;
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  readonly random: () => number;
}

/** A core host: keeps what operators declare, and as the leader tells entry hosts what is new. */
export class CoreHost {
  public readonly operatorService: operatorDesks.OperatorService;
  public readonly evacuations: evacuationOrders.EvacuationService;
  private readonly coreId: string;
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly table: coreTables.CoreHostRegistry;
  private readonly entries: entryTables.EntryHostRegistry;
  private readonly group: coreGroups.CoreGroup;
  private readonly greeter: coreGreeters.CoreDiscovery;
  private readonly pools: poolDesks.PlacementService;
  private readonly suspects: suspectDesks.SuspectRegistry;
  private readonly relay: suspectRelays.SuspectRelay;
  private readonly store: routedStores.RoutedConfigurationStore;
  private readonly lists: listDesks.UpstreamListService;
  private readonly news: entryNews.EntryUpdateService;
  private readonly server: peers.PeerServer;

  public constructor(private readonly options: CoreHostOptions) {
    const { clock, codec, log, random, source } = options;
    const settings = options.settings.get();
    this.coreId = hostSettings.getCoreId(settings.ipAddress, settings.peerPort);
    this.table = new coreTables.CoreHostRegistry(this.coreId, clock);
    this.entries = new entryTables.EntryHostRegistry(clock);
    this.group = new coreGroups.CoreGroup({
      coreId: this.coreId,
      availabilityZone: settings.availabilityZone,
      founders: settings.isFirstStart ? hostSettings.listSeedIds(settings) : [],
      voterSlotCount: 2 * settings.lossesToBear + 1,
      openFiles: () => openFolder(settings.dataFolder ?? ''),
      mesh: this.mesh,
      registry: this.table,
      clock,
      log,
      random,
    });
    this.greeter = new coreGreeters.CoreDiscovery({
      coreId: this.coreId,
      availabilityZone: settings.availabilityZone,
      group: this.group,
      registry: this.table,
      mesh: this.mesh,
      listSeeds: () => hostSettings.listSeedIds(options.settings.get()),
      clock,
      log,
    });
    const { coreId, group, mesh, table } = this;
    const leader = new leaderClients.LeaderClient({ coreId, group, table, mesh, clock, log });
    const { acknowledgeMs } = settings.bounds;
    this.operatorService = new operatorDesks.OperatorService({
      group,
      leader,
      codec,
      log,
      acknowledgeMs,
    });
    this.evacuations = new evacuationOrders.EvacuationService({
      group,
      leader,
      listZones: () => hostSettings.listZones(options.settings.get()),
      clock,
      log,
    });
    this.suspects = new suspectDesks.SuspectRegistry({
      clock,
      log,
      metrics: options.metrics,
      quarantine: this.group.quarantine,
      propose: (entry) => this.group.getLeadership().propose(entry),
    });
    this.relay = new suspectRelays.SuspectRelay({
      coreId,
      findLeader: () => group.findRecentLeader(),
      leaderHandlers: this.createSuspectDuties(),
      mesh,
      clock,
      log,
    });
    this.store = new routedStores.RoutedConfigurationStore(codec, log);
    this.store.markReady();
    this.pools = new poolDesks.PlacementService({
      clock,
      findService: (name) => this.findService(name),
      findUpstreams: () => this.lists.getList()?.upstreams,
      isEvacuated: (zone) => this.group.evacuations.has(zone),
      getEvacuationRevision: () => this.group.evacuations.get().revision,
      coldBounds: settings.bounds,
      retryLimiter: {
        maxGrants: Math.floor(settings.bounds.retrySlack * retryShares.GRANTED_SHARE),
        maxGrantsForNewLeader: Math.floor(
          settings.bounds.retrySlack * retryShares.FIRST_WINDOW_GRANTED_SHARE,
        ),
        windowMs: settings.bounds.retryWindowMs,
      },
    });
    this.lists = new listDesks.UpstreamListService({
      source,
      probe: options.probe,
      clock,
      log,
      getSettings: () => options.settings.get(),
      findActiveSince: () =>
        this.group.isLeading() ? this.group.getLeadership().startedAt : undefined,
      findService: (name) => this.findService(name),
      hasRuns: (service, engineId) => this.pools.hasRuns(service, engineId),
    });
    const { entries, lists, suspects } = this;
    this.news = new entryNews.EntryUpdateService({
      group,
      registry: table,
      entries,
      lists,
      suspects,
      clock,
    });
    this.server = new peers.PeerServer(procedures.createCoreRouter(this.createHandlers()), {
      host: settings.ipAddress,
      port: settings.peerPort,
      keyring: undefined,
      log,
    });
  }

  private watchLevels(): void {
    const { metrics } = this.options;
    metrics.watch('isLeading', () => Number(this.group.isLeading()));
    metrics.watch('term', () => this.group.voter?.term ?? 0);
    metrics.watch('seats', () => this.group.voter?.entries.getVoters().length ?? 0);
    metrics.watch('seatsSilent', () => this.findLeadership()?.listLaggingVoters().length ?? -1);
    metrics.watch('lossesBorne', () => this.findLeadership()?.countTolerableLosses() ?? -1);
    metrics.watch('zonesEvacuated', () => this.group.evacuations.get().zones.length);
    metrics.watch('entryHosts', () => this.entries.count());
    metrics.watch('configurationVersion', () => this.group.state.get()?.version ?? -1);
  }

  private findLeadership(): consensus.Leadership | undefined {
    return this.group.voter?.leadership;
  }

  /** Listens to peers and takes part in the log. */
  public async start(): Promise<void> {
    this.watchLevels();
    await this.server.listen();
    void this.greeter.run();
    void this.group.run();
    void this.news.run();
    this.lists.run();
    this.options.log.info({ event: 'started', role: 'core', peer: this.coreId });
  }

  /** Gives the seat away where a spare host can take it, then ends every task; a leader's place goes to another. */
  public async stop(): Promise<void> {
    this.options.log.info({ event: 'stopping', role: 'core', isLeading: this.group.isLeading() });
    const left = this.group.membership.leave();
    this.greeter.announceAll();
    await left;
    this.kill();
  }

  /** Ends every task at once. */
  public kill(): void {
    this.greeter.stop();
    this.news.stop();
    this.lists.stop();
    this.group.stop();
    this.server.close();
    this.mesh.close();
  }

  private createHandlers(): procedures.CoreHandlers {
    const { operatorService: desk, group } = this;
    return {
      genesis: async () => group.getIdentity(),
      vote: (req) => group.getVoter().handleVote(req),
      append: (req) => group.getVoter().handleAppend(req),
      snapshot: (req) => group.getVoter().handleSnapshot(req),
      hello: async (req) => this.greeter.handleHello(req),
      news: (req) => this.news.answer(req),
      place: (req) => this.place(req),
      awaitHandOver: async (req) => {
        this.checkLeading('hand-over');
        return this.pools.awaitMigration(req);
      },
      release: async (req) => this.pools.release(req),
      noteRun: async (note) => this.pools.noteRun(note),
      borrowRetry: async ({ service }) => {
        this.checkLeading('borrow-retry');
        const { startedAt, term } = group.getLeadership();
        return { isLent: this.pools.grantRetry(service, { term, since: startedAt }) };
      },
      ...this.createSuspectDuties(),
      relaySuspects: (req) => this.relay.report(req),
      relayPermit: (req) => this.relay.permit(req),
      awaitRelayed: (req) => this.relay.awaitChanges(req),
      declare: (document) => desk.declareAsLeader(document),
      read: () => desk.readAsLeader(),
      evacuate: (entry) => this.evacuations.proposeAsLeader(entry),
      readEvacuations: () => this.evacuations.readAsLeader(),
    };
  }

  /** Only the leader keeps the account; what a former one knew is told anew by the entry hosts. */
  private async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    this.checkLeading('place');
    const res = await this.pools.place(req);
    const refused = res.isUnknown === true ? 'unknown' : 'no-room';
    const result = res.placed === undefined ? refused : 'placed';
    this.options.metrics.count('generationsPlaced', { result });
    return res;
  }

  /** What this host does with suspects as the leader; rejects where it does not lead. */
  private createSuspectDuties(): Pick<
    procedures.CoreHandlers,
    'reportSuspects' | 'shareSuspects' | 'permitSuspect'
  > {
    return {
      reportSuspects: async (req) => {
        const term = this.leadSuspects('report-suspects');
        this.suspects.report(req);
        return { term };
      },
      shareSuspects: async ({ suspects }) => {
        const term = this.leadSuspects('share-suspects');
        this.suspects.merge(suspects);
        return { term };
      },
      permitSuspect: async (req) => {
        this.leadSuspects('permit-suspect');
        return this.suspects.permitWithFacts(req);
      },
    };
  }

  private checkLeading(step: string): void {
    if (!this.group.isLeading()) {
      this.pools.clear();
      throw new schemas.StepError({ id: 'notLeader', step });
    }
    this.pools.startLeading(this.group.getLeadership().term);
  }

  private findService(name: string): schemas.RoutedService | undefined {
    const document = this.group.state.get();
    if (document !== undefined) {
      this.store.offer(document);
    }
    return this.store.findTable()?.findService(name);
  }

  /** Sees to it that the account of suspects has what the log holds before it is used in a term; gives the term. */
  private leadSuspects(step: string): number {
    this.checkLeading(step);
    const { term } = this.group.getLeadership();
    this.suspects.startLeading(term);
    return term;
  }
}

async function openFolder(folder: string): Promise<consensus.FileStorage> {
  const files = new consensus.DirectoryStorage(path.join(folder, 'log'));
  await files.open();
  return files;
}
