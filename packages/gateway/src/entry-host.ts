import type * as http from 'node:http';

import * as intents from '@bramleyridge/intents';
import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as callAdmissions from './call-admission.js';
import * as coreLinks from './update-poller.js';
import * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as crashGuards from './crash-guard.js';
import * as entryListReaders from './entry-list-reader.js';
import * as faceServers from './http-listener.js';
import * as hostSettings from './host-settings.js';
import type * as listReaders from './upstream-list-reader.js';
import * as poolClients from './placement-client.js';
import type * as ports from './ports.js';
import * as relayClients from './suspect-relay-client.js';
import * as retryShares from './retry-shares.js';
import * as routedFlows from './routed-flow.js';
import * as routedStores from './routed-configuration-store.js';
import type * as settingsWatches from './settings-watcher.js';
import * as suspectLinks from './suspect-client.js';
import * as upstreamDirectories from './upstream-directory.js';
import * as upstreamPickers from './upstream-picker.js';

/** How long a connection to an upstream may take to be made, in milliseconds; the farthest takes under 10. */
const CONNECT_MS = 150;

/** How long a core host may take to answer, in milliseconds, where the question does not say. */
const PEER_DEADLINE_MS = 500;

/** Connections that are kept to one upstream at most; calls beyond wait for one, a few milliseconds. */
const KEPT_CONNECTIONS = 16;

/** How many entry hosts there are taken to be before the leader has told. */
const ASSUMED_ENTRY_HOSTS = 16;

/**
 * How long the balancer may still send new connections after readiness fails, in milliseconds: it asks once a
 * second and takes a host out after two misses.
 */
const BALANCER_LAG_MS = 3_000;

/** What a caller is told to wait before it goes to another host, in seconds. */
const STOPPING_RETRY_S = 0.1;

/** How long connections that are not idle may take to end after the last call, in milliseconds. */
const CLOSE_MS = 200;

/** What an entry host needs besides its settings. */
export interface EntryHostOptions {
  readonly settings: settingsWatches.SettingsWatcher;
  readonly wire: ports.CallWire;
  readonly codec: ports.DocumentCodec;
  readonly source: ports.UpstreamSource;
  readonly engines: ports.EngineControl;
  /** The path at which the balancer asks whether this host is ready. */
  readonly readyPath: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  readonly random: () => number;
}

/** An entry host: admits, sends and delivers the calls of its callers. */
export class EntryHost {
  public readonly store: routedStores.RoutedConfigurationStore;
  public readonly directory: upstreamDirectories.UpstreamDirectory;
  private readonly evacuations = new intents.EvacuationState();
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly link: coreLinks.UpdatePoller;
  private readonly reader: listReaders.UpstreamListReader;
  private readonly client: requests.UpstreamClient;
  private readonly shares: retryShares.RetryShares;
  private readonly suspects: suspectLinks.SuspectClient;
  private readonly picker: upstreamPickers.UpstreamPicker;
  private readonly flow: routedFlows.RoutedFlow;
  private readonly drain: requests.Drain;
  private readonly callers: faceServers.HttpListener;
  private readonly readiness: faceServers.HttpListener;
  /** Until when calls are taken, on this host's clock. */
  private takesUntil = Infinity;
  /** How many entry hosts there are, as a leader has told. */
  private entryHosts: number | undefined;
  /** The pause between two readings of the list by the leader, in milliseconds. */
  private listPeriodMs = 0;
  private stopping: Promise<void> | undefined;

  public constructor(private readonly options: EntryHostOptions) {
    const { clock, codec, log, random, source, wire } = options;
    const settings = options.settings.get();
    const { availabilityZone } = settings;
    this.store = new routedStores.RoutedConfigurationStore(codec, log);
    this.directory = new upstreamDirectories.UpstreamDirectory(
      clock,
      log,
      (zone) => this.evacuations.has(zone),
      (zone) => options.settings.get().regions?.[zone],
    );
    this.client = new requests.UpstreamClient({
      connectMs: CONNECT_MS,
      connections: KEPT_CONNECTIONS,
    });
    this.drain = new requests.Drain(clock);
    this.link = this.createLink();
    const pools = new poolClients.PlacementClient({
      mesh: this.mesh,
      findLeader: () => this.link.findLeader(),
      clock,
      log,
    });
    this.shares = new retryShares.RetryShares(
      clock,
      () => ({ ...options.settings.get().bounds, entryHosts: this.entryHosts }),
      (service) => pools.requestRetry(service),
      options.metrics,
    );
    this.suspects = new suspectLinks.SuspectClient({
      mesh: this.mesh,
      findLeader: () => this.link.findLeader(),
      hostId: settings.hostId,
      relays: this.createRelays(settings.hostId),
      clock,
      log,
    });
    const guard = new crashGuards.CrashGuard({
      suspects: this.suspects,
      directory: this.directory,
      endCheck: new requests.ProcessExitDetector(clock),
      clock,
      log,
      metrics: options.metrics,
    });
    this.picker = new upstreamPickers.UpstreamPicker({
      directory: this.directory,
      placer: pools,
      availabilityZone,
      coldShare: new routing.ColdSendQuota(settings.hostId, () => this.entryHosts),
      clock,
      log,
      random,
    });
    this.flow = new routedFlows.RoutedFlow({
      wire,
      admission: new callAdmissions.CallAdmission(this.store, wire, clock, random),
      directory: this.directory,
      picker: this.picker,
      client: this.client,
      guard,
      engines: options.engines,
      findBudget: (service) => this.shares.find(service),
      availabilityZone,
      clock,
      log,
      metrics: options.metrics,
    });
    this.reader = entryListReaders.createEntryListReader({
      source,
      directory: this.directory,
      clock,
      log,
      random,
      getSettings: () => options.settings.get(),
      reachesLeader: () => this.link.reachesLeader(),
      countEntryHosts: () => this.entryHosts ?? ASSUMED_ENTRY_HOSTS,
      getPeriodMs: () => this.listPeriodMs,
    });
    this.callers = new faceServers.HttpListener((req, res) => this.serve(req, res));
    this.readiness = new faceServers.HttpListener((req, res) => this.showReady(req, res));
    this.watchLevels();
  }

  /** Listens and serves as soon as it knows what is in force; gives the callers' port. */
  public async start(): Promise<number> {
    const settings = this.options.settings.get();
    void this.link.run();
    void this.reader.run();
    await this.readiness.listen(settings.readyAddress ?? `${settings.ipAddress}:0`);
    const port = await this.callers.listen(settings.callerAddress ?? `${settings.ipAddress}:0`);
    this.options.log.info({ event: 'started', role: 'entry', peer: settings.hostId });
    return port;
  }

  /** Whether the balancer may send callers here. */
  public isReady(): boolean {
    const isStopping = this.drain.isDraining();
    return this.store.findTable() !== undefined && this.directory.hasList() && !isStopping;
  }

  /** A planned stop: readiness fails first, and every call is finished. */
  public stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Ends at once, as a killed process does; for failure tests. */
  public kill(): void {
    this.end();
    this.callers.kill();
    this.readiness.kill();
  }

  private async stopGracefully(): Promise<void> {
    const { log } = this.options;
    log.info({ event: 'stopping', role: 'entry', active: this.drain.getActive() });
    this.drain.begin();
    this.takesUntil = this.options.clock.now() + BALANCER_LAG_MS;
    await this.drain.waitIdle(BALANCER_LAG_MS);
    await this.callers.close(CLOSE_MS);
    this.readiness.kill();
    this.end();
    log.info({ event: 'stopped', role: 'entry' });
  }

  private end(): void {
    this.link.stop();
    this.suspects.stop();
    this.reader.stop();
    this.mesh.close();
    void this.client.close();
  }

  private watchLevels(): void {
    const { metrics } = this.options;
    metrics.watch('activeCalls', () => this.drain.getActive());
    metrics.watch('configurationVersion', () => this.store.getVersion());
    metrics.watch('listAgeMs', () => this.directory.getAgeMs());
    metrics.watch('zonesEvacuated', () => this.evacuations.get().zones.length);
    metrics.watch('upstreamsLive', () => this.directory.countLive());
  }

  private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (this.drain.isDraining()) {
      res.setHeader('connection', 'close');
    }
    // A caller on a kept connection does not see the balancer. A draft that it sends late in the stop would be cut
    // when the stop's time is over; told that it has not run, the caller goes to another host at once.
    if (this.options.clock.now() > this.takesUntil) {
      this.refuse(req, res, createStopping());
      return;
    }
    const leave = this.drain.enter();
    void this.flow
      .handle(req, res)
      .catch((err: unknown) => this.refuse(req, res, err))
      .finally(() => (res.writableFinished || res.destroyed ? leave() : res.once('close', leave)));
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
    const refusal = requests.toRefusal(err);
    if (res.headersSent) {
      res.destroy();
      return;
    }
    const mayReadRest = refusal.id !== 'bodyTooLarge' && refusal.id !== 'bodyTooSlow';
    requests.sendRefusal(req, res, refusal, mayReadRest);
  }

  private showReady(req: http.IncomingMessage, res: http.ServerResponse): void {
    const isPath = req.url === this.options.readyPath;
    const status = this.isReady() ? 200 : 503;
    requests.sendJson(res, isPath ? status : 404, { version: this.store.getVersion() });
  }

  private createRelays(hostId: string): relayClients.SuspectRelayClient {
    const { clock, log } = this.options;
    const { link, mesh } = this;
    return new relayClients.SuspectRelayClient({
      mesh,
      hostId,
      listCores: () => link.listCores(),
      reachesLeader: () => link.reachesLeader(),
      leaderChanged: link.leaderChanged,
      clock,
      log,
    });
  }

  private createLink(): coreLinks.UpdatePoller {
    const { clock, log, random, settings } = this.options;
    return new coreLinks.UpdatePoller({
      mesh: this.mesh,
      listSeeds: () => hostSettings.listSeedIds(settings.get()),
      clock,
      log,
      random,
      createRequest: (waitMs) => ({
        hostId: settings.get().hostId,
        version: this.store.getVersion(),
        listStamp: this.directory.getStamp(),
        waitMs,
        takesPacked: true,
        takesChanges: true,
        suspects: this.suspects.getReceivedRevision(),
        evacuationRevision: this.evacuations.get().revision,
      }),
      onUpdates: (news, isTrusted) => this.takeNews(news, isTrusted),
    });
  }

  private takeNews(news: procedures.UpdatesRes, isTrusted: boolean): void {
    if (news.document !== undefined) {
      this.store.offer(news.document);
    }
    if (news.evacuations !== undefined) {
      this.takeEvacuations(news.evacuations);
    }
    if (isTrusted) {
      this.store.markReady();
    }
    const list = procedures.findList(news);
    const changes = procedures.findListChanges(news);
    if (list !== undefined) {
      this.directory.applyList(list, news.listAgeMs ?? 0);
    } else if (changes !== undefined) {
      this.directory.applyChanges(changes, news.listAgeMs ?? 0);
    } else if (news.listAgeMs !== undefined) {
      this.directory.confirmCurrent(news.listAgeMs);
    }
    this.suspects.applyQuarantined(news.quarantined ?? []);
    if (news.suspects !== undefined) {
      this.suspects.applyUpdates(news.suspects);
    }
    this.listPeriodMs = news.listPeriodMs ?? this.listPeriodMs;
    this.entryHosts = news.entryHosts ?? this.entryHosts;
    const limits = this.store.findTable()?.config.limits;
    if (limits !== undefined) {
      this.callers.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
    }
  }

  private takeEvacuations(facts: intents.EvacuatedZones): void {
    if (this.evacuations.restore(facts)) {
      this.options.log.info({ event: 'evacuations-in-force', ...facts });
    }
  }
}

function createStopping(): schemas.Refusal {
  return new schemas.Refusal({
    id: 'draining',
    step: 'admit',
    status: 503,
    outcome: 'not-run',
    retryAfterS: STOPPING_RETRY_S,
  });
}
