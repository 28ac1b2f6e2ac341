import * as http from 'node:http';
import type * as net from 'node:net';

import * as members from '@bramleyridge/members';
import * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as polka from 'polka';

import * as adoptionRegistries from './adoption-registry.js';
import * as callerApis from './caller-api.js';
import * as claimServices from './claim-service.js';
import * as controlPlanes from './control-plane.js';
import * as decisionLogs from './decision-log.js';
import type * as handlerContexts from './handler-context.js';
import * as leaderTasks from './leader-tasks.js';
import * as memoryShares from './memory-shares.js';
import * as daemonMetrics from './metrics.js';
import * as operatorApis from './operator-api.js';
import * as peerMeshes from './peer-mesh.js';
import * as peerRouters from './peer-router.js';
import * as plannedStops from './planned-stop.js';
import * as platformPollers from './platform-poller.js';
import * as poolClients from './pool-client.js';
import * as poolManagers from './pool-manager.js';
import * as runGuards from './run-guard.js';
import * as suspectExchanges from './suspect-exchange.js';
import * as rateGrants from './rate-grants.js';
import * as teamAccess from './team-access.js';

/** Time for which the balancer may still send requests after readiness fails, in milliseconds. */
const BALANCER_LAG_MS = 1_000;

/** Time in which connections of callers may end after a planned stop, in milliseconds. */
const CLOSE_MS = 1_000;

/** Requests that upstreams answer without effects, to probe the paths to them. */
const ENGINE_PROBE = { method: 'GET', path: '/load' } as const;
const SERVICE_PROBE = { method: 'HEAD', path: '/' } as const;

/** Maximum size of the request headers, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** Time within which a client must send its headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Maximum number of connections to upstreams that a daemon relays for others. */
const MAX_TUNNELS = 256;

/** Dependencies of a daemon besides its settings. */
export interface DaemonOptions {
  readonly log: schemas.Log;
  readonly clock?: schemas.Clock;
  readonly random?: () => number;
  /** Opens the connections to upstreams; TCP connections by default. */
  readonly dialer?: paths.UpstreamDialer | undefined;
}

/** One daemon. Its settings and the state of its zone determine which roles are active. */
export class Daemon {
  public readonly incarnation = Date.now();
  public readonly mesh: peerMeshes.PeerMesh;
  public readonly store: members.ConfigurationStore;
  public readonly view: members.ZoneView;
  public readonly control: controlPlanes.ControlPlane;
  public readonly leader: leaderTasks.LeaderTasks;
  public readonly poolManager: poolManagers.PoolManager;
  public readonly context: handlerContexts.HandlerContext;
  private readonly clock: schemas.Clock;
  private readonly keyring: peers.Keyring;
  private readonly rateGrants: rateGrants.RateGrants;
  private readonly suspects: suspectExchanges.SuspectExchange;
  private readonly syncServer: members.SyncServer;
  private readonly syncClient: members.SyncClient;
  private readonly peerServer: peers.PeerServer;
  private readonly platform: platformPollers.PlatformPoller;
  private readonly server: http.Server;
  private readonly connections: requests.CallerConnections;
  private readonly links: paths.UpstreamLinks;
  private readonly tunnels: paths.TunnelService;
  private isCut = false;
  private stopping: Promise<void> | undefined;

  public constructor(
    private readonly cfg: schemas.DaemonConfig,
    private readonly options: DaemonOptions,
  ) {
    const { log } = options;
    const clock = options.clock ?? new schemas.SystemClock();
    const random = options.random ?? Math.random;
    this.clock = clock;
    this.keyring = new peers.Keyring(cfg.keysFile);
    this.store = new members.ConfigurationStore(clock);
    this.view = new members.ZoneView(() => this.createHeartbeat(), clock, cfg.timings.suspectMs);
    this.mesh = new peerMeshes.PeerMesh(this.keyring, cfg.timings.peerDeadlineMs, (id) =>
      this.findPeerAddress(id),
    );
    const { store, view, mesh } = this;
    const metrics = new daemonMetrics.Metrics(cfg);
    this.rateGrants = new rateGrants.RateGrants({ daemonId: cfg.daemonId, view, mesh, clock, log });
    this.suspects = new suspectExchanges.SuspectExchange({ cfg, view, mesh, clock, log });
    const gate = new requests.UpstreamGate({
      grantor: this.rateGrants,
      share: new requests.LeaderlessRateShare(cfg.daemonId, () => this.rateGrants.countDaemons()),
      countHosts: () => this.rateGrants.countDaemons(),
      clock,
      log,
      random,
      count: (decision) => metrics.count('limitedSends', { decision }),
    });
    metrics.registerGauge('upstreamsLimited', () => gate.countLimits());
    metrics.registerGauge('upstreamsResting', () => gate.countRests());
    metrics.registerGauge('upstreamsLeaving', () => gate.countLeaving());
    this.links = this.createLinks(clock, random, metrics);
    this.tunnels = new paths.TunnelService({
      links: this.links,
      // Peers hold a key of the deployment, and this daemon's list covers its own zone only.
      isListed: () => true,
      maxTunnels: MAX_TUNNELS,
      record: (result) => metrics.count('tunnelsRelayed', { result }),
    });
    const engines = new requests.EngineClient({
      gate,
      links: this.links,
      connectMs: cfg.limits.upstreamConnectMs,
      answerMs: cfg.limits.upstreamSilenceMs,
    });
    this.control = new controlPlanes.ControlPlane({ cfg, mesh, store, clock, log, random });
    this.leader = new leaderTasks.LeaderTasks({
      cfg,
      control: this.control,
      store,
      view,
      engines,
      holdsClaims: async (daemonId) =>
        daemonId === cfg.daemonId
          ? this.context.claims.acceptor.isComplete()
          : mesh.get(daemonId).holdsClaims.mutate(),
      clock,
      log,
    });
    this.poolManager = new poolManagers.PoolManager({ cfg, view, store, engines, clock, log });
    this.context = this.createContext({ engines, gate, metrics, clock, random });
    this.syncServer = this.createSyncServer();
    this.syncClient = this.createSyncClient();
    this.platform = new platformPollers.PlatformPoller({
      url: cfg.platformUrl,
      availabilityZone: cfg.availabilityZone,
      clock,
      log,
      isActive: () => view.isRelay(),
      activeChanged: view.changed,
      onUpstreams: (list) => view.setUpstreams(list),
    });
    this.peerServer = new peers.PeerServer(
      peerRouters.createPeerRouter(this.createHandlers(), log),
      {
        host: cfg.host,
        port: cfg.peerPort,
        keyring: this.keyring,
        log,
        isCut: () => this.isCut,
        openTunnel: (req) => this.tunnels.open(req),
        leaving: this.tunnels.leaving,
        limits: { ...peers.DEFAULT_PEER_LIMITS, connections: cfg.limits.peerConnections },
        onClosed: (reason) => metrics.count('peerConnectionsClosed', { reason }),
      },
    );
    this.server = this.createHttpServer();
    this.connections = this.limitConnections();
  }

  /** Starts listening, joins the zone and serves requests; resolves to the bound ports. */
  public async start(): Promise<{ callerPort: number; peerPort: number }> {
    const peerPort = await this.peerServer.listen();
    await this.control.start();
    this.runInBackground('heartbeats', () => this.syncClient.run());
    this.runInBackground('platform-list', () => this.platform.run());
    this.runInBackground('leader-tasks', () => this.leader.run());
    this.runInBackground('pools', () => this.poolManager.run());
    this.runInBackground('report-generations', () => this.context.poolClient.run());
    this.runInBackground('claims', () => this.context.claims.run());
    this.runInBackground('list-suspects', () => this.suspects.run());
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.cfg.callerPort, this.cfg.host, resolve);
    });
    this.server.on('error', (err) => {
      this.options.log.error({ event: 'server-failed', ...schemas.describeError(err) });
    });
    const callerPort = (this.server.address() as net.AddressInfo).port;
    this.options.log.info({ step: 'started', callerPort, peerPort, ...this.cfg.timings });
    return { callerPort, peerPort };
  }

  /** Counts the connections to upstreams that this daemon relays for others now. */
  public countRelayed(): number {
    return this.tunnels.countOpen();
  }

  /** Stops as planned: waits until all active requests are finished, for `limits.stopMs` at most. */
  public stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Stops immediately, like a killed process; for failure tests. */
  public kill(): void {
    this.shutDown();
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Drops the links to some peers, and all inbound links when `isInboundCut`; for failure tests.
   */
  public simulatePartition(isCutOff: (daemonId: string) => boolean, isInboundCut: boolean): void {
    this.mesh.setPartition(isCutOff);
    this.isCut = isInboundCut;
  }

  private async stopGracefully(): Promise<void> {
    const { drain, stop } = this.context;
    this.options.log.info({ decision: 'drain', reason: 'planned stop', active: drain.getActive() });
    drain.begin();
    stop.begin();
    // The next heartbeat announces the stop, so that pools move to other owners while requests
    // finish here.
    this.view.refresh();
    await stop.wait((timeoutMs) =>
      Promise.all([drain.waitIdle(BALANCER_LAG_MS), this.tunnels.drain(this.clock, timeoutMs)]),
    );
    this.shutDown();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
      setTimeout(() => {
        this.connections.breakOffUnmarked();
        this.server.closeAllConnections();
      }, CLOSE_MS).unref();
    });
    this.options.log.info({ decision: 'stopped', reason: 'planned stop' });
  }

  private shutDown(): void {
    this.syncClient.stop();
    this.platform.stop();
    this.leader.stop();
    this.poolManager.stop();
    this.context.poolClient.stop();
    this.context.claims.stop();
    this.suspects.stop();
    this.control.stop();
    this.peerServer.close();
    this.mesh.close();
    this.runInBackground('close-engines', () => this.context.engines.close());
    this.runInBackground('close-services', () => this.context.services.close());
    this.context.metrics.close();
  }

  private runInBackground(step: string, run: () => Promise<unknown>): void {
    schemas.runInBackground(run, { log: this.options.log, step });
  }

  private describeLinks(): object {
    const counts = this.mesh.getCounts();
    counts.add(this.peerServer.counts);
    return { role: this.getRole(), ...counts };
  }

  private getRole(): string {
    const { voter } = this.control;
    const controlRole = voter?.isLeader() ? 'leader' : 'voter';
    return `${voter === undefined ? 'daemon' : controlRole}${this.view.isRelay() ? '+relay' : ''}`;
  }

  private createHeartbeat(): schemas.Heartbeat {
    const { daemonId, availabilityZone, host, peerPort, callerPort } = this.cfg;
    return {
      daemonId,
      incarnation: this.incarnation,
      availabilityZone,
      host,
      peerPort,
      callerPort,
      isLeaving: this.context?.drain.isDraining() ?? false,
      revision: this.store.get().revision,
    };
  }

  private findPeerAddress(daemonId: string): peerMeshes.PeerAddress | undefined {
    const { members: listed } = this.view.getDirectory();
    return (
      listed.find((item) => item.daemonId === daemonId) ??
      this.cfg.peers.find((item) => item.daemonId === daemonId)
    );
  }

  private createContext(
    own: Pick<handlerContexts.HandlerContext, 'clock' | 'engines' | 'gate' | 'metrics' | 'random'>,
  ): handlerContexts.HandlerContext {
    const { clock, gate } = own;
    const { cfg, incarnation, mesh, store, view } = this;
    const { log } = this.options;
    const maxCalls = cfg.limits.keyedCalls ?? memoryShares.getDefaultKeyedCalls();
    const calls = new requests.CallRegistry(clock, maxCalls);
    own.metrics.registerGauge('keyedCalls', () => calls.count());
    own.metrics.registerGauge('claims', () => this.context.claims.acceptor.getSize());
    const callPrefix = `${cfg.availabilityZone}.${cfg.daemonId}.${incarnation.toString(36)}.`;
    const shared = { cfg, incarnation, callPrefix, log, store, view, mesh, ...own };
    return {
      ...shared,
      calls,
      decisions: new decisionLogs.DecisionLog(log),
      access: new teamAccess.TeamAccess(cfg, store, () => view.entries),
      services: new requests.ServiceClient({
        gate,
        links: this.links,
        connectMs: cfg.limits.upstreamConnectMs,
        answerMs: cfg.limits.queueMs,
        answerBytes: cfg.limits.bodyBytes,
      }),
      poolClient: new poolClients.PoolClient({ ...shared, poolManager: this.poolManager }),
      claims: new claimServices.ClaimService({
        ...shared,
        calls,
        maxClaims: cfg.limits.claims ?? memoryShares.getDefaultClaims(),
      }),
      guard: new runGuards.RunGuard({
        exchange: this.suspects,
        exitDetector: new requests.ProcessExitDetector(clock, (address) =>
          this.links.isListening(address),
        ),
        clock,
        log,
      }),
      adoptions: new adoptionRegistries.AdoptionRegistry(),
      ids: new requests.GenerationIdCodec(() => this.keyring.listKeys()),
      budget: new requests.RetryBudget(clock),
      drain: new requests.Drain(clock),
      stop: new plannedStops.PlannedStop(clock, cfg.limits.stopMs),
      held: this.createHeldBytes(own.metrics),
    };
  }

  private createHeldBytes(metrics: daemonMetrics.Metrics): requests.HeldBytes {
    const held = new requests.HeldBytes(() => this.cfg.limits.heldBytes);
    metrics.registerGauge('heldBytes', () => held.getBytes());
    return held;
  }

  private createLinks(
    clock: schemas.Clock,
    random: () => number,
    metrics: daemonMetrics.Metrics,
  ): paths.UpstreamLinks {
    const { cfg, keyring, options, view } = this;
    const isOther = ({ daemonId }: { daemonId: string }) => daemonId !== cfg.daemonId;
    const listOthers = (
      listed: readonly Pick<
        schemas.DaemonEntry,
        'daemonId' | 'availabilityZone' | 'host' | 'peerPort'
      >[],
    ) =>
      listed.filter(isOther).map(({ availabilityZone, host, peerPort }) => ({
        availabilityZone,
        address: `${host}:${peerPort}`,
      }));
    return new paths.UpstreamLinks({
      availabilityZone: cfg.availabilityZone,
      relays: {
        listHosts: () => listOthers(view.getDirectory().members),
        listReserves: () => listOthers(cfg.peers),
      },
      dialer: options.dialer,
      openThrough: paths.createOpenThrough(keyring),
      connectMs: cfg.limits.upstreamConnectMs,
      findProbe: (address) => {
        const upstream = this.findUpstream(address);
        const isEngine = upstream?.kind === 'engine';
        const probe = isEngine ? ENGINE_PROBE : SERVICE_PROBE;
        return upstream && probe;
      },
      clock,
      log: options.log,
      random,
      recordTunnel: (result) => metrics.count('tunnels', { result }),
    });
  }

  private findUpstream(address: string): schemas.Upstream | undefined {
    const { upstreams } = this.view.getDirectory();
    return upstreams.find((upstream) => requests.createTarget(upstream).address === address);
  }

  private createSyncServer(): members.SyncServer {
    const { clock, control, leader, store, view } = this;
    return new members.SyncServer({
      store,
      view,
      clock,
      log: this.options.log,
      findLeader: () => control.findLeader(),
      findZoneStatus: () => (control.voter?.isLeader() ? leader.zones : undefined),
      getEntries: () => this.getEntries(),
      isLeased: () => control.voter?.leadership?.isLeaseHeld() ?? false,
    });
  }

  private createSyncClient(): members.SyncClient {
    const { cfg, clock, mesh, store, view } = this;
    return new members.SyncClient({
      self: () => this.createHeartbeat(),
      isVoter: cfg.voter,
      isLeader: () => this.control.voter?.isLeader() ?? false,
      seeds: cfg.peers,
      store,
      view,
      clock,
      log: this.options.log,
      heartbeatMs: cfg.timings.heartbeatMs,
      deadlineMs: cfg.timings.peerDeadlineMs,
      sync: (peer, req, deadlineMs) => mesh.sync(peer, req, deadlineMs),
      onLeader: (leader) => this.control.setLeaderHint(leader),
    });
  }

  private getEntries(): schemas.ZoneEntries {
    return this.control.voter?.isLeader() ? this.leader.zones.getEntries() : this.view.entries;
  }

  private createHandlers(): peerRouters.PeerHandlers {
    const { control, leader, poolManager, context: shared, syncServer } = this;
    return {
      genesis: async () => control.getGenesis(),
      vote: (req) => control.getVoter().handleVote(req),
      append: (req) => control.getVoter().handleAppend(req),
      snapshot: (req) => control.getVoter().handleSnapshot(req),
      sync: (req) => syncServer.handle(req),
      propose: (command) => leader.propose(command),
      status: async () => leader.describeStatus(),
      changeVoters: (change) => control.changeVoters(change),
      refoundClaims: () => leader.refoundClaims(),
      grant: ({ model, req }) => poolManager.grant(model, req),
      grantSend: async (limit) => this.rateGrants.grant(limit),
      reportLimit: async (limit) => {
        this.rateGrants.record(limit);
        shared.gate.mergeLimits([limit]);
      },
      reportSuspects: async (report) => {
        this.suspects.receive(report);
        shared.guard.decideLater();
        return true;
      },
      permitSuspect: async (req) => this.suspects.permit(req),
      listSuspects: async () => this.suspects.list(),
      pool: async (report) => poolManager.applyReport(report),
      claim: async (req) => shared.claims.acceptor.handleClaim(req),
      recover: async (req) => shared.claims.acceptor.handleRecover(req),
      holdsClaims: async () => shared.claims.acceptor.isComplete(),
      outcome: ({ call, waitMs }) => shared.calls.await(call, waitMs),
      adopt: async ({ generation }) => shared.adoptions.adopt(generation),
    };
  }

  private createHttpServer(): http.Server {
    const server = http.createServer({
      IncomingMessage: requests.CallerRequest,
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      connectionsCheckingInterval: HEADERS_TIMEOUT_MS / 4,
    });
    const app = polka.default({ server, onNoMatch: callerApis.refuseRoute });
    new callerApis.CallerApi(this.context).addTo(app);
    new operatorApis.OperatorApi({
      cfg: this.cfg,
      control: this.control,
      leader: this.leader,
      decisions: this.context.decisions,
      log: this.options.log,
      held: this.context.held,
      getDeclaration: () => this.store.get().declaration,
      describeLinks: () => this.describeLinks(),
      reloadKeys: () => this.keyring.reload(),
      drain: () => this.runInBackground('stop', () => this.stop()),
    }).addTo(app);
    const handle = app.handler.bind(app) as unknown as http.RequestListener;
    server.on('connection', (socket) => {
      socket.setNoDelay(true);
      this.connections.open(socket);
    });
    server.on('request', (req, res) => {
      // An 'error' event without a listener, as after a client reset, would terminate the process.
      res.on('error', () => {});
      if (this.connections.admit(req, res)) {
        handle(req, res);
        this.connections.discardUnread(req, res);
      }
    });
    return server;
  }

  private limitConnections(): requests.CallerConnections {
    const { metrics } = this.context;
    const connections = new requests.CallerConnections(this.server, {
      listener: 'callers',
      limits: this.cfg.limits,
      log: this.options.log,
      onClosed: (reason) => metrics.count('connectionsClosed', { reason }),
    });
    metrics.registerGauge('callerConnections', () => connections.count());
    return connections;
  }
}
