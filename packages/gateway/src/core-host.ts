import * as path from 'node:path';

import * as consensus from '@bramleyridge/consensus';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as coreGroups from './core-group.js';
import * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as coreTables from './core-table.js';
import * as entryTables from './entry-table.js';
import * as hostSettings from './host-settings.js';
import * as leavingWatches from './leaving-watch.js';
import * as listReaders from './list-reader.js';
import * as operatorDesks from './operator-desk.js';
import * as poolDesks from './pool-desk.js';
import type * as ports from './ports.js';
import * as retryShares from './retry-shares.js';
import * as routedStores from './routed-store.js';
import type * as settingsWatches from './settings-watch.js';

/** How long a core host may take to answer another, in milliseconds; a slow disk's sync of 150 ms is in it. */
const PEER_DEADLINE_MS = 500;

/** How often core hosts greet each other, in milliseconds. */
const HELLO_MS = 400;

/**
 * How often the leader reads the list of upstreams, in milliseconds. An engine that is reclaimed at short notice
 * is listed as leaving for one to two seconds, of which the list's own lag takes 0.8; each call costs as much as a
 * third of a short answer earns.
 */
const LIST_MS = 300;

/**
 * How often the leader asks each engine whether it leaves, in milliseconds. It then knows 0.1 s after the notice on
 * average, of the 1.5 to 2 s for which a reclaimed engine still serves; by the list it takes 0.9 s. A tenth of a second
 * is a third of a run's way to another engine: asked every 0.4 s, 51 of 1,210 drafts were lost with their engines, at
 * 0.2 s 45. The questions cost 0.2% of what a day's calls earn.
 */
const PROBE_PAUSE_MS = 200;

/** The share of the allowed calls to the list that the leader uses at most. */
const LIST_SHARE = 0.5;

/** What a core host needs besides its settings. */
export interface CoreHostOptions {
  readonly settings: settingsWatches.SettingsWatch;
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
  public readonly desk: operatorDesks.OperatorDesk;
  private readonly coreId: string;
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly table: coreTables.CoreTable;
  private readonly entries: entryTables.EntryTable;
  private readonly group: coreGroups.CoreGroup;
  private readonly pools: poolDesks.PoolDesk;
  private readonly store: routedStores.RoutedStore;
  private readonly reader: listReaders.ListReader;
  private readonly server: peers.PeerServer;
  private readonly leaving: leavingWatches.LeavingWatch;
  private readonly listChanged = new schemas.ChangeSignal();
  private listed: readonly schemas.ListedUpstream[] = [];
  private list: procedures.UpstreamList | undefined;
  private listReadAt = -Infinity;
  private isStopped = false;

  public constructor(private readonly options: CoreHostOptions) {
    const { clock, codec, log, random, source } = options;
    const settings = options.settings.get();
    this.coreId = hostSettings.getCoreId(settings.ipAddress, settings.peerPort);
    this.table = new coreTables.CoreTable(this.coreId, clock);
    this.entries = new entryTables.EntryTable(clock);
    this.group = new coreGroups.CoreGroup({
      coreId: this.coreId,
      founders: settings.isFirstStart ? hostSettings.listSeedIds(settings) : [],
      wantedSeats: 2 * settings.lossesToBear + 1,
      openFiles: () => openFolder(settings.dataFolder ?? ''),
      mesh: this.mesh,
      table: this.table,
      clock,
      log,
      random,
    });
    this.desk = new operatorDesks.OperatorDesk({
      coreId: this.coreId,
      group: this.group,
      table: this.table,
      mesh: this.mesh,
      codec,
      clock,
      log,
      acknowledgeMs: settings.bounds.acknowledgeMs,
    });
    this.store = new routedStores.RoutedStore(codec, log);
    this.store.markReady();
    this.pools = new poolDesks.PoolDesk({
      clock,
      findService: (name) => this.findService(name),
      listUpstreams: () => this.list?.upstreams ?? [],
      retryPot: {
        most: Math.floor(settings.bounds.retrySlack * retryShares.LENT_PART),
        mostAtFirst: Math.floor(settings.bounds.retrySlack * retryShares.LENT_AT_FIRST_PART),
        windowMs: settings.bounds.retryWindowMs,
      },
    });
    this.reader = new listReaders.ListReader({
      source,
      clock,
      log,
      getAddress: () => options.settings.get().listAddress,
      isDue: () => this.group.isLeading(),
      getPauseMs: (calls) => this.getListPauseMs(calls),
      take: (list) => this.takeList(list),
    });
    this.leaving = new leavingWatches.LeavingWatch({
      probe: options.probe,
      clock,
      log,
      isDue: () => this.group.isLeading(),
      pauseMs: PROBE_PAUSE_MS,
      listEngines: () => this.listEngines(),
      onChange: () => this.renewList(),
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
    metrics.watch('entryHosts', () => this.entries.count());
    metrics.watch('configurationVersion', () => this.group.state.get()?.version ?? -1);
  }

  /** Listens to peers and takes part in the log. */
  public async start(): Promise<void> {
    this.watchLevels();
    this.table.learn(hostSettings.listSeedIds(this.options.settings.get()));
    await this.server.listen();
    void this.group.run();
    void this.reader.run();
    void this.leaving.run();
    void this.greet();
    this.options.log.info({ event: 'started', role: 'core', peer: this.coreId });
  }

  /** Ends every task; a leader gives its place up, and the others elect another. */
  public stop(): void {
    this.options.log.info({ event: 'stopping', role: 'core', isLeading: this.group.isLeading() });
    this.isStopped = true;
    this.reader.stop();
    this.leaving.stop();
    this.group.stop();
    this.server.close();
    this.mesh.close();
  }

  private createHandlers(): procedures.CoreHandlers {
    const { desk, group, table } = this;
    return {
      genesis: async () => group.getIdentity(),
      vote: (req) => group.getVoter().handleVote(req),
      append: (req) => group.getVoter().handleAppend(req),
      snapshot: (req) => group.getVoter().handleSnapshot(req),
      hello: async ({ coreId, known, voterId }) => {
        table.hear(coreId, voterId);
        table.learn(known);
        return { known: table.listAll(), leader: group.voter?.leader };
      },
      news: (req) => this.answerNews(req),
      place: (req) => this.place(req),
      awaitHandOver: async (req) => {
        this.checkLeading('hand-over');
        return this.pools.awaitHandOver(req);
      },
      release: async (req) => this.pools.release(req),
      noteRun: async (note) => this.pools.noteRun(note),
      borrowRetry: async ({ service }) => {
        this.checkLeading('borrow-retry');
        const { startedAt, term } = group.getLeadership();
        return { isLent: this.pools.lendRetry(service, { term, since: startedAt }) };
      },
      declare: (document) => desk.declareHere(document),
      read: () => desk.readHere(),
    };
  }

  /** Only the leader keeps the account; what a former one knew is told anew by the entry hosts. */
  private async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    this.checkLeading('place');
    const res = await this.pools.place(req);
    const result = res.placed === undefined ? 'no-room' : 'placed';
    this.options.metrics.count('generationsPlaced', { result });
    return res;
  }

  private checkLeading(step: string): void {
    if (!this.group.isLeading()) {
      this.pools.clear();
      throw new schemas.StepError({ id: 'notLeader', step });
    }
  }

  private findService(name: string): schemas.RoutedService | undefined {
    const document = this.group.state.get();
    if (document !== undefined) {
      this.store.offer(document);
    }
    return this.store.findTable()?.findService(name);
  }

  /** Answers an entry host: at once when there is news, else when its wait is over. */
  private async answerNews(req: procedures.NewsReq): Promise<procedures.NewsRes> {
    const { clock } = this.options;
    this.entries.hear(req.hostId);
    const end = clock.now() + req.waitMs;
    while (!this.hasNews(req) && clock.now() < end) {
      await Promise.race([
        this.group.state.changed.wait(clock, end - clock.now()),
        this.listChanged.wait(clock, end - clock.now()),
      ]);
    }
    return this.createNews(req);
  }

  private hasNews(req: procedures.NewsReq): boolean {
    const version = this.group.state.get()?.version ?? -1;
    return version > req.version || this.findNewList(req) !== undefined;
  }

  private createNews(req: procedures.NewsReq): procedures.NewsRes {
    const document = this.group.state.get();
    const isLeading = this.group.isLeading();
    const hasList = isLeading && this.list !== undefined;
    return {
      document: document !== undefined && document.version > req.version ? document : undefined,
      list: this.findNewList(req),
      listAgeMs: hasList ? this.options.clock.now() - this.listReadAt : undefined,
      isCurrent: this.group.isCurrent(),
      leader: this.group.voter?.leader,
      cores: this.table.listAll(),
      entryHosts: isLeading ? this.entries.count() : undefined,
    };
  }

  private findNewList(req: procedures.NewsReq): procedures.UpstreamList | undefined {
    const isNew = this.group.isLeading() && this.list?.stamp !== req.listStamp;
    return isNew ? this.list : undefined;
  }

  private takeList({ upstreams }: procedures.UpstreamList): void {
    this.listReadAt = this.options.clock.now();
    this.listed = upstreams;
    this.renewList();
  }

  /** Hands on the list with what engines say themselves, when either has changed. */
  private renewList(): void {
    const upstreams = this.listed.map((item) =>
      this.leaving.isLeaving(item.upstreamId) ? { ...item, saysLeaving: true } : item,
    );
    const stamp = schemas.getContentHash(upstreams);
    if (stamp !== this.list?.stamp) {
      this.list = { stamp, upstreams };
      this.listChanged.notify();
    }
  }

  /** Engines that are asked whether they leave: those whose runs can be taken over. */
  private listEngines(): leavingWatches.WatchedEngine[] {
    return this.listed.flatMap(({ address, isLeaving, service, upstreamId }) => {
      const found = this.findService(service);
      return found?.engine?.canMove === true && !isLeaving
        ? [{ upstreamId, address, healthPath: found.healthPath }]
        : [];
    });
  }

  private getListPauseMs(calls: number): number {
    const { listCallsPerS } = this.options.settings.get();
    return Math.max(LIST_MS, (calls * 1_000) / (listCallsPerS * LIST_SHARE));
  }

  private async greet(): Promise<void> {
    const { clock, settings } = this.options;
    while (!this.isStopped) {
      this.table.learn(hostSettings.listSeedIds(settings.get()));
      this.table.listOthers().forEach((coreId) => {
        void this.greetOne(coreId);
      });
      await clock.sleep(HELLO_MS);
    }
  }

  private async greetOne(coreId: string): Promise<void> {
    try {
      const { voterId } = this.group.getIdentity();
      const known = this.table.listAll();
      const res = await this.mesh.get(coreId).hello.mutate({ coreId: this.coreId, voterId, known });
      this.table.learn(res.known);
      this.table.leaderHint = res.leader ?? this.table.leaderHint;
    } catch (err) {
      this.options.log.debug({ step: 'greet', peer: coreId, err: schemas.toError(err).message });
    }
  }
}

async function openFolder(folder: string): Promise<consensus.FileLayer> {
  const files = new consensus.FolderFiles(path.join(folder, 'log'));
  await files.open();
  return files;
}
