import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import * as intents from '@bramleyridge/intents';
import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as callAdmissions from './call-admission.js';
import * as callSchedulingServices from './call-scheduling-service.js';
import * as updatePollers from './update-poller.js';
import type * as connectionGates from './connection-gate.js';
import * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as crashGuards from './crash-guard.js';
import * as documentFetchers from './document-fetcher.js';
import * as entryListReaders from './entry-list-reader.js';
import * as httpListeners from './http-listener.js';
import * as hostSettings from './host-settings.js';
import type * as upstreamListReaders from './upstream-list-reader.js';
import * as relayServers from './relay-server.js';
import * as plannedStops from './planned-stop.js';
import * as placementClients from './placement-client.js';
import type * as ports from './ports.js';
import * as suspectRelayClients from './suspect-relay-client.js';
import * as rateGrantClients from './rate-grant-client.js';
import * as retryShares from './retry-shares.js';
import * as routedFlows from './routed-flow.js';
import * as routedConfigurationStores from './routed-configuration-store.js';
import * as schedulableUpstreams from './schedulable-upstreams.js';
import type * as settingsWatchers from './settings-watcher.js';
import * as slotClients from './slot-client.js';
import * as suspectClients from './suspect-client.js';
import * as teamWeights from './team-weights.js';
import * as upstreamDirectories from './upstream-directory.js';
import * as upstreamPickers from './upstream-picker.js';

/** Connect timeout to an upstream, in milliseconds; the farthest upstream needs under 10. */
const CONNECT_TIMEOUT_MS = 150;

/** Default deadline of a request to a core host, in milliseconds. */
const PEER_DEADLINE_MS = 500;

/** Maximum number of connections kept to one upstream; further calls wait a few milliseconds for one. */
const MAX_CONNECTIONS = 16;

/**
 * Maximum number of connections that this host relays for others. Each costs some processor time for each event of its
 * stream, beside this host's own calls.
 */
const MAX_TUNNELS = 48;

/** Share of the time for a planned stop in which the connections that this host relays for others may end. */
const RELAY_STOP_SHARE = 0.75;

/** Share of the time for a planned stop after which calls that still run are answered; the rest is for their answers. */
const ANSWER_STOP_SHARE = 0.95;

/** Share of the time for a planned stop in which new calls are accepted, at most. */
const ACCEPT_STOP_SHARE = 0.5;

/** Share of the time for a planned stop in which callers must finish what they send or take their answers. */
const STALL_STOP_SHARE = 0.5;

/** Assumed number of entry hosts until the leader has reported it. */
const ASSUMED_ENTRY_HOSTS = 16;

/**
 * Time for which the load balancer may still send new connections after readiness fails, in milliseconds: it
 * probes once a second and removes a host after two failures.
 */
const BALANCER_LAG_MS = 3_000;

/** Time for which connections that are not idle may stay open after the last call, in milliseconds. */
const CLOSE_GRACE_MS = 200;

/** Options of `EntryHost`. */
export interface EntryHostOptions {
  readonly settings: settingsWatchers.SettingsWatcher;
  readonly wire: ports.CallWire;
  readonly codec: ports.DocumentCodec;
  readonly source: ports.UpstreamSource;
  readonly engines: ports.EngineControl;
  /** Path of the load balancer's readiness probe. */
  readonly readyPath: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  readonly random: () => number;
  /** Opens the connections to upstreams; TCP connections by default. */
  readonly dialer?: paths.UpstreamDialer | undefined;
  /**
   * Decides which new connections of callers the host takes; all by default. It goes by the utilization of the process,
   * which must be this host's alone.
   */
  readonly gate?: connectionGates.ConnectionGate | undefined;
}

/** An entry host: admits calls, sends them to upstreams and delivers the answers. */
export class EntryHost {
  public readonly store: routedConfigurationStores.RoutedConfigurationStore;
  public readonly directory: upstreamDirectories.UpstreamDirectory;
  private readonly evacuations = new intents.EvacuationState();
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly poller: updatePollers.UpdatePoller;
  private readonly documents: documentFetchers.DocumentFetcher;
  private readonly listReader: upstreamListReaders.UpstreamListReader;
  private readonly rateGrants: rateGrantClients.RateGrantClient;
  private readonly held: requests.HeldBytes;
  private readonly gate: requests.UpstreamGate;
  private readonly links: paths.UpstreamLinks;
  private readonly tunnels: paths.TunnelService;
  private readonly relayServer: relayServers.RelayServer;
  private readonly client: requests.UpstreamClient;
  private readonly shares: retryShares.RetryShares;
  private readonly suspects: suspectClients.SuspectClient;
  private readonly picker: upstreamPickers.UpstreamPicker;
  private readonly flow: routedFlows.RoutedFlow;
  private readonly drain: requests.Drain;
  private readonly plannedStop: plannedStops.PlannedStop;
  private readonly callerListener: httpListeners.HttpListener;
  private readonly readinessListener: httpListeners.HttpListener;
  /** Time until which calls are accepted, on this host's clock. */
  private acceptsUntil = Infinity;
  /** Number of entry hosts, as reported by a leader. */
  private entryHosts: number | undefined;
  /** The hosts that relay connections for this one. */
  private relays: procedures.RelayList = { stamp: '', relays: [] };
  /** Interval at which the leader reads the list, in milliseconds; 0 until a leader has reported it. */
  private listPeriodMs = 0;
  /** Version from which on this host may serve; `undefined` until a core host has told it what is in force. */
  private readyVersion: number | undefined;
  private stopping: Promise<void> | undefined;

  public constructor(private readonly options: EntryHostOptions) {
    const { clock, codec, log, random, source, wire } = options;
    const settings = options.settings.get();
    const { availabilityZone } = settings;
    this.store = new routedConfigurationStores.RoutedConfigurationStore(codec, log);
    this.directory = new upstreamDirectories.UpstreamDirectory(
      clock,
      log,
      (zone) => this.evacuations.has(zone),
      (zone) => options.settings.get().regions?.[zone],
    );
    this.drain = new requests.Drain(clock);
    this.plannedStop = new plannedStops.PlannedStop(clock);
    this.held = new requests.HeldBytes(() =>
      hostSettings.getHeldBytesLimit(options.settings.get()),
    );
    this.poller = this.createPoller();
    this.documents = this.createDocumentFetcher();
    const placement = new placementClients.PlacementClient({
      hostId: settings.hostId,
      mesh: this.mesh,
      findLeader: () => this.poller.findLeader(),
      clock,
      log,
    });
    this.rateGrants = new rateGrantClients.RateGrantClient({
      hostId: settings.hostId,
      mesh: this.mesh,
      listCores: () => this.poller.listCores(),
      findLeader: () => this.poller.findLeader(),
      clock,
      log,
    });
    this.gate = new requests.UpstreamGate({
      grantor: this.rateGrants,
      share: new requests.LeaderlessRateShare(settings.hostId, () => this.entryHosts),
      clock,
      log,
      random,
      countHosts: () => this.entryHosts,
      count: (decision) => options.metrics.count('limitedSends', { decision }),
      onLeaving: (upstream) => {
        this.directory.noteLeaving(upstream);
        this.rateGrants.reportLeaving([upstream.processId]);
      },
    });
    this.links = this.createLinks();
    options.engines.connectOver?.(this.links);
    this.tunnels = new paths.TunnelService({
      links: this.links,
      isListed: (address) => this.directory.findByAddress(address) !== undefined,
      maxTunnels: MAX_TUNNELS,
      record: (result) => options.metrics.count('tunnelsRelayed', { result }),
    });
    this.relayServer = new relayServers.RelayServer({
      ...settings,
      maxConnections: hostSettings.getRelayConnections(settings),
      tunnels: this.tunnels,
      log,
      onClosed: (reason) => options.metrics.count('peerConnectionsClosed', { reason }),
    });
    this.client = new requests.UpstreamClient({
      links: this.links,
      gate: this.gate,
      readNotice: (head) => wire.readNotice(head),
    });
    this.shares = new retryShares.RetryShares(
      clock,
      () => ({ ...options.settings.get().bounds, entryHosts: this.entryHosts }),
      (service) => placement.requestRetry(service),
      options.metrics,
    );
    this.suspects = new suspectClients.SuspectClient({
      mesh: this.mesh,
      findLeader: () => this.poller.findLeader(),
      hostId: settings.hostId,
      relays: this.createRelayClient(settings.hostId),
      clock,
      log,
    });
    const guard = new crashGuards.CrashGuard({
      suspects: this.suspects,
      directory: this.directory,
      exitDetector: new requests.ProcessExitDetector(clock, (address) =>
        this.links.isListening(address),
      ),
      clock,
      log,
      metrics: options.metrics,
    });
    const slots = this.createSlotClient();
    this.picker = new upstreamPickers.UpstreamPicker({
      findSlots: (service) => (this.isScheduled(service) ? slots : undefined),
      directory: this.directory,
      findOwnedSlots: (service) =>
        schedulableUpstreams.findOwnedSlots(this.directory, service, this.getSchedule(service)),
      placer: placement,
      gate: this.gate,
      availabilityZone,
      coldSendQuota: new routing.ColdSendQuota(settings.hostId, () => this.entryHosts),
      clock,
      log,
      random,
    });
    this.flow = new routedFlows.RoutedFlow({
      wire,
      admission: new callAdmissions.CallAdmission(this.store, wire, clock, random),
      held: this.held,
      stop: this.plannedStop,
      directory: this.directory,
      picker: this.picker,
      client: this.client,
      gate: this.gate,
      guard,
      engines: options.engines,
      findBudget: (service) => this.shares.find(service),
      availabilityZone,
      isSharing: () => options.settings.get().capacitySharing !== undefined,
      getLeavingBoundMs: () => options.settings.get().bounds.leavingMs,
      clock,
      log,
      metrics: options.metrics,
    });
    this.listReader = entryListReaders.createEntryListReader({
      source,
      directory: this.directory,
      clock,
      log,
      random,
      getSettings: () => options.settings.get(),
      reachesLeader: () => this.poller.reachesLeader(),
      countEntryHosts: () => this.entryHosts ?? ASSUMED_ENTRY_HOSTS,
      getPeriodMs: () => this.listPeriodMs,
    });
    this.callerListener = new httpListeners.HttpListener((req, res) => this.serve(req, res), {
      name: 'callers',
      log,
      limits: hostSettings.getCallerLimits(options.settings.get()),
      findRoom: () => this.findCallerRoom(),
      gate: options.gate,
      onClosed: (reason) => options.metrics.count('connectionsClosed', { reason }),
    });
    this.readinessListener = new httpListeners.HttpListener(
      (req, res) => this.answerReadinessProbe(req, res),
      { name: 'readiness', log },
    );
    this.registerGauges();
  }

  /** Starts listening; calls are served as soon as a configuration is in force. Returns the callers' port. */
  public async start(): Promise<number> {
    const { log } = this.options;
    const settings = this.options.settings.get();
    await this.relayServer.start();
    schemas.runInBackground(() => this.poller.run(), { log, step: 'updates' });
    schemas.runInBackground(() => this.listReader.run(), { log, step: 'read-list' });
    await this.readinessListener.listen(settings.readyAddress ?? `${settings.ipAddress}:0`);
    const port = await this.callerListener.listen(
      settings.callerAddress ?? `${settings.ipAddress}:0`,
    );
    log.info({ event: 'started', role: 'entry', peer: settings.hostId });
    return port;
  }

  /** Returns whether the load balancer may send callers to this host. */
  public isReady(): boolean {
    const isStopping = this.drain.isDraining();
    return this.store.findTable() !== undefined && this.directory.hasList() && !isStopping;
  }

  /** Counts the other entry hosts that this host may connect through. */
  public countRelays(): number {
    return this.relays.relays.length;
  }

  /** Counts the connections to upstreams that this host relays for others now. */
  public countRelayed(): number {
    return this.tunnels.countOpen();
  }

  /** Stops gracefully: readiness fails first, and running calls finish. */
  public stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Stops at once, like a killed process; for failure tests. */
  public kill(): void {
    this.end();
    this.callerListener.kill();
    this.readinessListener.kill();
  }

  private async stopGracefully(): Promise<void> {
    const { log } = this.options;
    log.info({ event: 'stopping', role: 'entry', active: this.drain.getActive() });
    this.drain.begin();
    const settings = this.options.settings.get();
    const { stopMs } = settings.bounds;
    const now = this.options.clock.now();
    this.acceptsUntil = now + Math.min(BALANCER_LAG_MS, stopMs * ACCEPT_STOP_SHARE);
    const endsAt = now + stopMs * ANSWER_STOP_SHARE;
    this.plannedStop.begin({ acceptsUntil: this.acceptsUntil, endsAt });
    const limits = hostSettings.getCallerLimits(settings);
    const stallMs = Math.min(limits.stallMs, stopMs * STALL_STOP_SHARE);
    this.callerListener.setLimits({ ...limits, stallMs });
    const relayed = this.tunnels.drain(this.options.clock, stopMs * RELAY_STOP_SHARE);
    await this.drain.waitIdle(BALANCER_LAG_MS);
    await relayed;
    await this.callerListener.close(CLOSE_GRACE_MS);
    this.readinessListener.kill();
    this.end();
    log.info({ event: 'stopped', role: 'entry' });
  }

  private end(): void {
    this.poller.stop();
    this.documents.stop();
    this.suspects.stop();
    this.listReader.stop();
    this.mesh.close();
    this.relayServer.close();
    const { log } = this.options;
    schemas.runInBackground(() => this.client.close(), { log, step: 'close-links' });
  }

  private registerGauges(): void {
    const { metrics } = this.options;
    metrics.registerGauge('callerConnections', () => this.callerListener.countConnections());
    metrics.registerGauge('activeCalls', () => this.drain.getActive());
    metrics.registerGauge('heldBytes', () => this.held.getBytes());
    metrics.registerGauge('configurationVersion', () => this.store.getVersion());
    metrics.registerGauge('listAgeMs', () => this.directory.getAgeMs());
    metrics.registerGauge('zonesEvacuated', () => this.evacuations.get().zones.length);
    metrics.registerGauge('upstreamsLive', () => this.directory.countLive());
    metrics.registerGauge('pathsBlocked', () => this.links.state.listBlocked().length);
    metrics.registerGauge('isCutOff', () => Number(this.links.state.isCutOff()));
    metrics.registerGauge('tunnelsOpen', () => this.links.countTunnels());
    metrics.registerGauge('tunnelsHeld', () => this.tunnels.countOpen());
    metrics.registerGauge('servicesBrittle', () => this.gate.countBrittle());
    metrics.registerGauge('upstreamsLimited', () => this.gate.countLimits());
    metrics.registerGauge('upstreamsResting', () => this.gate.countRests());
    metrics.registerGauge('upstreamsLeaving', () => this.gate.countLeaving());
  }

  private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (this.drain.isDraining()) {
      res.setHeader('connection', 'close');
    }
    // The load balancer can't redirect a caller with a kept-alive connection. A long generation that such a caller
    // starts late in the stop would be cut off when the process ends; refused as not run, it can go to another host at
    // once.
    if (this.options.clock.now() > this.acceptsUntil) {
      this.refuse(req, res, plannedStops.createStoppingRefusal());
      return;
    }
    const done = this.drain.enter();
    schemas.runInBackground(() => this.answer(req, res, done), {
      log: this.options.log,
      step: 'answer',
    });
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    done: () => void,
  ): Promise<void> {
    try {
      await this.flow.handle(req, res);
    } catch (err) {
      this.refuse(req, res, err);
    } finally {
      if (res.writableFinished || res.destroyed) {
        done();
      } else {
        res.once('close', done);
      }
    }
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
    const refusal = requests.toRefusal(err);
    if (res.headersSent) {
      requests.breakOff(res);
      return;
    }
    if (this.drain.isDraining()) {
      res.setHeader('connection', 'close');
    }
    const mayReadRest = refusal.options.step !== requests.READ_BODY_STEP;
    requests.sendRefusal(req, res, refusal, mayReadRest);
  }

  private answerReadinessProbe(req: http.IncomingMessage, res: http.ServerResponse): void {
    const isPath = req.url === this.options.readyPath;
    const status = this.isReady() ? 200 : 503;
    requests.sendJson(res, isPath ? status : 404, { version: this.store.getVersion() });
  }

  /** Returns how many connections of callers there is room for; those to upstreams take descriptors from them. */
  private findCallerRoom(): number {
    const max = hostSettings.getCallConnections(this.options.settings.get());
    return Math.max(1, max - this.links.countConnections());
  }

  private createLinks(): paths.UpstreamLinks {
    const { clock, log, metrics, random, settings } = this.options;
    const ownDialer = this.options.dialer ?? new paths.TcpDialer();
    const dialer = new paths.MeteredDialer(ownDialer, clock, (result, tookMs) => {
      metrics.count('upstreamConnects', { result });
      metrics.time('upstreamConnectMs', tookMs, { result });
    });
    return new paths.UpstreamLinks({
      availabilityZone: settings.get().availabilityZone,
      relays: {
        listHosts: () => this.relays.relays,
        listReserves: () => this.poller.listCores().map((address) => ({ address })),
      },
      dialer,
      connectMs: CONNECT_TIMEOUT_MS,
      connections: MAX_CONNECTIONS,
      findMaxConnections: () =>
        hostSettings.getCallConnections(settings.get()) - this.callerListener.countDescriptors(),
      findProbe: (address) => this.findProbe(address),
      admitProbe: (address) => this.admitProbe(address),
      listAddresses: () => this.directory.listAddresses(),
      clock,
      log,
      random,
      recordTunnel: (result) => metrics.count('tunnels', { result }),
    });
  }

  private async admitProbe(address: string): Promise<boolean> {
    const known = this.directory.findByAddress(address);
    if (known === undefined) {
      return false;
    }
    try {
      this.gate.use(await this.gate.admit(known), known);
      return true;
    } catch {
      // The upstream takes no more now, as the gate has logged and counted.
      return false;
    }
  }

  /** Returns the health check of an upstream, which it answers on any path that works. */
  private findProbe(address: string): paths.ProbeRequest | undefined {
    const known = this.directory.findByAddress(address);
    const service = known && this.store.findTable()?.findService(known.listed.service);
    return service && { method: 'GET', path: service.healthPath };
  }

  /** Returns whether calls of a service need slots: capacity is shared, or too many calls at once end its upstreams. */
  private isScheduled(service: string): boolean {
    const isShared = this.options.settings.get().capacitySharing !== undefined;
    return isShared || this.gate.findRejectionBound(service) !== undefined;
  }

  private getSchedule(service: string): schedulableUpstreams.HostSchedule {
    const maxRejectionsPerS = this.gate.findRejectionBound(service);
    return { maxRejectionsPerS, place: this.relays.place };
  }

  private createSlotClient(): slotClients.SlotClient {
    const { clock, log, metrics, random, settings } = this.options;
    const { availabilityZone, hostId } = settings.get();
    const weights = new teamWeights.TeamWeights({
      getSettings: () => settings.get(),
      findTable: () => this.store.findTable(),
    });
    return new slotClients.SlotClient({
      hostId,
      incarnation: crypto.randomUUID(),
      availabilityZone,
      mesh: this.mesh,
      findLeader: () => this.poller.findLeader(),
      local: new callSchedulingServices.CallSchedulingService({
        clock,
        log,
        findUpstreams: (service) =>
          schedulableUpstreams.findOnHost(this.directory, service, this.getSchedule(service)),
        getWeight: (team) => weights.get(team),
        random,
        getLimitShare: () => 1 / Math.max(1, this.entryHosts ?? ASSUMED_ENTRY_HOSTS),
      }),
      clock,
      log,
      metrics,
    });
  }

  private createRelayClient(hostId: string): suspectRelayClients.SuspectRelayClient {
    const { clock, log } = this.options;
    const { poller, mesh } = this;
    return new suspectRelayClients.SuspectRelayClient({
      mesh,
      hostId,
      listCores: () => poller.listCores(),
      reachesLeader: () => poller.reachesLeader(),
      leaderChanged: poller.leaderChanged,
      clock,
      log,
    });
  }

  private createDocumentFetcher(): documentFetchers.DocumentFetcher {
    const { clock, log } = this.options;
    return new documentFetchers.DocumentFetcher({
      mesh: this.mesh,
      listCores: () => this.poller.listCoresByPreference(),
      clock,
      log,
      onDocument: (document) => {
        this.store.offer(document);
        this.markReadyIfCurrent();
      },
    });
  }

  private createPoller(): updatePollers.UpdatePoller {
    const { clock, log, random, settings } = this.options;
    return new updatePollers.UpdatePoller({
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
        takesDocumentParts: true,
        fetchedVersion: this.documents.findVersion(),
        takesChanges: true,
        suspects: this.suspects.getCursor(),
        rateLimits: this.rateGrants.getCursor(),
        evacuationRevision: this.evacuations.get().revision,
        relay: this.relayServer.findCandidate(),
        relayStamp: this.relays.stamp,
      }),
      onUpdates: (updates, isTrusted) => this.applyUpdates(updates, isTrusted),
    });
  }

  private applyUpdates(updates: procedures.UpdatesRes, isTrusted: boolean): void {
    if (updates.document !== undefined) {
      this.store.offer(updates.document);
    }
    if (updates.documentPart !== undefined) {
      this.documents.receive(updates.documentPart);
    }
    if (updates.evacuations !== undefined) {
      this.applyEvacuations(updates.evacuations);
    }
    if (isTrusted) {
      this.readyVersion ??= this.documents.findVersion() ?? this.store.getVersion();
    }
    this.markReadyIfCurrent();
    const list = procedures.findList(updates);
    const changes = procedures.findListChanges(updates);
    if (list !== undefined) {
      this.directory.applyList(list, updates.listAgeMs ?? 0);
    } else if (changes !== undefined) {
      this.directory.applyChanges(changes, updates.listAgeMs ?? 0);
    } else if (updates.listAgeMs !== undefined) {
      this.directory.confirmCurrent(updates.listAgeMs);
    }
    if (updates.listAgeMs !== undefined) {
      this.shareLeaving();
    }
    this.suspects.applyQuarantined(updates.quarantined ?? []);
    if (updates.suspects !== undefined) {
      this.suspects.applyUpdates(updates.suspects);
    }
    if (updates.rateLimits !== undefined) {
      this.rateGrants.applyUpdates(updates.rateLimits, this.gate);
    }
    this.relays = updates.relays ?? this.relays;
    this.listPeriodMs = updates.listPeriodMs ?? this.listPeriodMs;
    this.entryHosts = updates.entryHosts ?? this.entryHosts;
    const limits = this.store.findTable()?.config.limits;
    if (limits !== undefined) {
      this.callerListener.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
      this.callerListener.setHeaderBytes(limits.headerBytes);
    }
  }

  /** Takes over which upstreams the leader's list marks as leaving, and reports to the leader those that it lacks. */
  private shareLeaving(): void {
    this.gate.forgetUnlisted((upstreamId) => this.directory.find(upstreamId) !== undefined);
    this.gate.mergeLeaving(this.directory.listStatedLeaving());
    const missing = this.directory.listShownStaying().filter((item) => this.gate.isLeaving(item));
    if (missing.length > 0) {
      this.rateGrants.reportLeaving(missing.map(({ processId }) => processId));
    }
  }

  /** Marks the configuration as ready once it is that of the first answer that could be trusted, or a newer one. */
  private markReadyIfCurrent(): void {
    if (this.readyVersion !== undefined && this.store.getVersion() >= this.readyVersion) {
      this.store.markReady();
    }
  }

  private applyEvacuations(facts: intents.EvacuatedZones): void {
    if (this.evacuations.restore(facts)) {
      this.options.log.info({ event: 'evacuations-in-force', ...facts });
    }
  }
}
