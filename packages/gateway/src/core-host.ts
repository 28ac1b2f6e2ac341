import * as path from 'node:path';

import * as consensus from '@bramleyridge/consensus';
import * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as requests from '@bramleyridge/requests';
import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as callSchedulingServices from './call-scheduling-service.js';
import * as coreDiscoveries from './core-discovery.js';
import * as coreGroups from './core-group.js';
import * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';
import * as coreHostRegistries from './core-host-registry.js';
import * as entryUpdateServices from './entry-update-service.js';
import * as entryHostRegistries from './entry-host-registry.js';
import * as evacuationServices from './evacuation-service.js';
import * as hostSettings from './host-settings.js';
import * as leaderClients from './leader-client.js';
import * as upstreamListServices from './upstream-list-service.js';
import * as operatorServices from './operator-service.js';
import * as placementServices from './placement-service.js';
import type * as ports from './ports.js';
import * as rateLimitServices from './rate-limit-service.js';
import * as retryShares from './retry-shares.js';
import * as routedConfigurationStores from './routed-configuration-store.js';
import * as schedulableUpstreams from './schedulable-upstreams.js';
import type * as settingsWatchers from './settings-watcher.js';
import * as slotReporters from './slot-reporter.js';
import * as suspectRegistries from './suspect-registry.js';
import * as suspectRelays from './suspect-relay.js';
import * as teamCallCounters from './team-call-counter.js';
import * as teamWeights from './team-weights.js';

/** Deadline of a request between core hosts, in milliseconds; includes a slow disk's sync of 150 ms. */
const PEER_DEADLINE_MS = 500;

/** Connect timeout to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 150;

/** Maximum number of connections that this host relays for entry hosts that find no other relay. */
const MAX_TUNNELS = 256;

/** Share of the time for a planned stop in which the connections that this host relays for others may end. */
const RELAY_STOP_SHARE = 0.75;

/** Options of `CoreHost`. */
export interface CoreHostOptions {
  readonly settings: settingsWatchers.SettingsWatcher;
  readonly codec: ports.DocumentCodec;
  readonly source: ports.UpstreamSource;
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  readonly random: () => number;
}

/**
 * A core host: replicates what operators declare, answers the polls of entry hosts and, as the leader, places
 * generations.
 */
export class CoreHost {
  public readonly operatorService: operatorServices.OperatorService;
  public readonly evacuations: evacuationServices.EvacuationService;
  private readonly coreId: string;
  private readonly mesh = new coreMeshes.CoreMesh(PEER_DEADLINE_MS);
  private readonly coreRegistry: coreHostRegistries.CoreHostRegistry;
  private readonly entryRegistry: entryHostRegistries.EntryHostRegistry;
  private readonly group: coreGroups.CoreGroup;
  private readonly discovery: coreDiscoveries.CoreDiscovery;
  private readonly teamWeights: teamWeights.TeamWeights;
  private readonly teamCalls: teamCallCounters.TeamCallCounter;
  private readonly placement: placementServices.PlacementService;
  private readonly scheduling: callSchedulingServices.CallSchedulingService;
  private readonly suspects: suspectRegistries.SuspectRegistry;
  private readonly relay: suspectRelays.SuspectRelay;
  private readonly gate: requests.UpstreamGate;
  private readonly rateLimits: rateLimitServices.RateLimitService;
  private readonly configuration: routedConfigurationStores.RoutedConfigurationStore;
  private readonly upstreamList: upstreamListServices.UpstreamListService;
  private readonly updates: entryUpdateServices.EntryUpdateService;
  private readonly server: peers.PeerServer;
  private readonly links: paths.UpstreamLinks;
  private readonly tunnels: paths.TunnelService;

  public constructor(private readonly options: CoreHostOptions) {
    const { clock, codec, log, random, source } = options;
    const settings = options.settings.get();
    this.coreId = hostSettings.getCoreId(settings.ipAddress, settings.peerPort);
    this.coreRegistry = new coreHostRegistries.CoreHostRegistry(this.coreId, clock);
    this.entryRegistry = new entryHostRegistries.EntryHostRegistry(clock);
    this.group = new coreGroups.CoreGroup({
      coreId: this.coreId,
      availabilityZone: settings.availabilityZone,
      founders: hostSettings.listFounderIds(settings),
      voterSlotCount: 2 * settings.lossesToBear + 1,
      openFiles: () => openFolder(settings.dataFolder ?? ''),
      mesh: this.mesh,
      registry: this.coreRegistry,
      clock,
      log,
      random,
    });
    this.discovery = new coreDiscoveries.CoreDiscovery({
      coreId: this.coreId,
      availabilityZone: settings.availabilityZone,
      group: this.group,
      registry: this.coreRegistry,
      mesh: this.mesh,
      listSeeds: () => hostSettings.listSeedIds(options.settings.get()),
      clock,
      log,
    });
    const { coreId, group, mesh, coreRegistry } = this;
    const leader = new leaderClients.LeaderClient({
      coreId,
      group,
      registry: coreRegistry,
      mesh,
      clock,
      log,
    });
    const { acknowledgeMs } = settings.bounds;
    this.operatorService = new operatorServices.OperatorService({
      group,
      leader,
      codec,
      log,
      acknowledgeMs,
    });
    this.evacuations = new evacuationServices.EvacuationService({
      group,
      leader,
      listZones: () => hostSettings.listZones(options.settings.get()),
      clock,
      log,
    });
    this.suspects = new suspectRegistries.SuspectRegistry({
      clock,
      log,
      metrics: options.metrics,
      quarantine: this.group.quarantine,
      propose: (entry) => this.group.getLeadership().propose(entry),
    });
    this.gate = this.createGate();
    this.rateLimits = new rateLimitServices.RateLimitService({
      coreId,
      gate: this.gate,
      clock,
      log,
    });
    this.relay = new suspectRelays.SuspectRelay({
      coreId,
      findLeader: () => group.findRecentLeader(),
      leaderHandlers: this.createSuspectHandlers(),
      mesh,
      clock,
      log,
    });
    this.configuration = new routedConfigurationStores.RoutedConfigurationStore(codec, log);
    this.configuration.markReady();
    this.teamWeights = new teamWeights.TeamWeights({
      getSettings: () => options.settings.get(),
      findTable: () => this.findTable(),
    });
    this.teamCalls = new teamCallCounters.TeamCallCounter(options.metrics);
    this.placement = new placementServices.PlacementService({
      clock,
      log,
      findService: (name) => this.findService(name),
      findUpstreams: () => this.upstreamList.getList()?.upstreams,
      isEvacuated: (zone) => this.group.evacuations.has(zone),
      getEvacuationRevision: () => this.group.evacuations.get().revision,
      coldBounds: settings.bounds,
      teamWeights: this.teamWeights,
      retryGrantLimits: {
        maxGrants: Math.floor(settings.bounds.retrySlack * retryShares.GRANTED_SHARE),
        maxGrantsForNewLeader: Math.floor(
          settings.bounds.retrySlack * retryShares.FIRST_WINDOW_GRANTED_SHARE,
        ),
        windowMs: settings.bounds.retryWindowMs,
      },
      teamCalls: this.teamCalls,
      statesReturnTimes: () => options.settings.get().capacitySharing !== undefined,
      random,
    });
    this.scheduling = this.createScheduling();
    this.upstreamList = new upstreamListServices.UpstreamListService({
      source,
      probe: options.probe,
      clock,
      log,
      getSettings: () => options.settings.get(),
      findActiveSince: () =>
        this.group.isLeading() ? this.group.getLeadership().startedAt : undefined,
      findService: (name) => this.findService(name),
      hasRuns: (service, engineId) => this.placement.hasRuns(service, engineId),
      onLoad: (service, engineId, load) => this.placement.recordLoad(service, engineId, load),
      gate: this.gate,
    });
    const { entryRegistry, rateLimits, upstreamList, suspects } = this;
    this.updates = new entryUpdateServices.EntryUpdateService({
      group,
      coreRegistry,
      entryRegistry,
      upstreamList,
      suspects,
      rateLimits,
      clock,
    });
    this.links = paths.createOwnLinks({ connectMs: CONNECT_TIMEOUT_MS });
    this.tunnels = new paths.TunnelService({
      links: this.links,
      isListed: (address) => this.isListed(address),
      maxTunnels: MAX_TUNNELS,
      record: (result) => options.metrics.count('tunnelsRelayed', { result }),
    });
    this.server = new peers.PeerServer(procedures.createCoreRouter(this.createHandlers()), {
      host: settings.ipAddress,
      port: settings.peerPort,
      keyring: undefined,
      log,
      openTunnel: (req) => this.tunnels.open(req),
      leaving: this.tunnels.leaving,
      limits: hostSettings.getPeerLimits(settings),
      onClosed: (reason) => options.metrics.count('peerConnectionsClosed', { reason }),
    });
  }

  private registerGauges(): void {
    const { metrics } = this.options;
    metrics.registerGauge('isLeading', () => Number(this.group.isLeading()));
    metrics.registerGauge('term', () => this.group.voter?.term ?? 0);
    metrics.registerGauge('logEntries', () => this.group.voter?.entries.length ?? 0);
    metrics.registerGauge('logBytes', () => this.group.voter?.entries.countBytes() ?? 0);
    metrics.registerGauge('seats', () => this.group.voter?.entries.getVoters().length ?? 0);
    metrics.registerGauge(
      'seatsSilent',
      () => this.findLeadership()?.listLaggingVoters().length ?? -1,
    );
    metrics.registerGauge('lossesBorne', () => this.findLeadership()?.countTolerableLosses() ?? -1);
    metrics.registerGauge('zonesEvacuated', () => this.group.evacuations.get().zones.length);
    metrics.registerGauge('tunnelsHeld', () => this.tunnels.countOpen());
    metrics.registerGauge('entryHosts', () => this.entryRegistry.count());
    metrics.registerGauge('configurationVersion', () => this.group.state.get()?.version ?? -1);
  }

  private findLeadership(): consensus.Leadership | undefined {
    return this.group.voter?.leadership;
  }

  /** Starts listening for peers and joins the consensus group. */
  public async start(): Promise<void> {
    this.registerGauges();
    await this.server.listen();
    const { log } = this.options;
    schemas.runInBackground(() => this.discovery.run(), { log, step: 'discovery' });
    schemas.runInBackground(() => this.group.run(), { log, step: 'core-group' });
    schemas.runInBackground(() => this.updates.run(), { log, step: 'updates' });
    this.upstreamList.run();
    log.info({ event: 'started', role: 'core', peer: this.coreId });
  }

  /**
   * Gives up this host's voter slot if a spare host can take it, then stops all tasks. If this host leads, the others
   * elect a new leader.
   */
  public async stop(): Promise<void> {
    this.options.log.info({ event: 'stopping', role: 'core', isLeading: this.group.isLeading() });
    const departure = this.group.membership.leave();
    this.discovery.announceAll();
    const { clock, settings } = this.options;
    const relayed = this.tunnels.drain(clock, settings.get().bounds.stopMs * RELAY_STOP_SHARE);
    await Promise.all([departure, relayed]);
    this.kill();
  }

  /** Stops all tasks at once. */
  public kill(): void {
    this.discovery.stop();
    this.updates.stop();
    this.upstreamList.stop();
    this.group.stop();
    this.server.close();
    this.mesh.close();
    const { log } = this.options;
    schemas.runInBackground(() => this.links.close(), { log, step: 'close-links' });
  }

  /** Returns whether an address is that of an upstream; on a host that has no list, it may be. */
  private isListed(address: string): boolean {
    const list = this.upstreamList.getList();
    return list === undefined || list.upstreams.some((item) => item.address === address);
  }

  private createHandlers(): procedures.CoreHandlers {
    const { operatorService, group } = this;
    return {
      genesis: async () => group.getIdentity(),
      found: (req) => group.handleFounding(req),
      vote: (req) => group.getVoter().handleVote(req),
      append: (req) => group.getVoter().handleAppend(req),
      snapshot: (req) => group.getVoter().handleSnapshot(req),
      hello: async (req) => this.discovery.handleHello(req),
      news: (req) => this.updates.answer(req),
      place: (req) => this.place(req),
      awaitHandOver: async (req) => {
        this.ensureLeading('hand-over');
        return this.placement.awaitMigration(req);
      },
      release: async (req) => this.placement.release(req),
      noteRun: async (event) => this.placement.recordEvent(event),
      reportPace: async (report) => {
        this.ensureLeading('report-pace');
        this.placement.recordPace(report);
      },
      borrowRetry: async ({ service }) => {
        this.ensureLeading('borrow-retry');
        const { startedAt, term } = group.getLeadership();
        return { isLent: this.placement.grantRetry(service, { term, since: startedAt }) };
      },
      requestSlot: (req) => {
        this.ensureLeading('request-slot');
        return this.scheduling.requestOrQueue(req);
      },
      releaseSlot: async (req) => {
        this.ensureLeading('release-slot');
        this.scheduling.release(req);
      },
      reportSlots: async (req) => {
        this.ensureLeading('report-slots');
        this.scheduling.report(req);
      },
      grantSend: async (req) => {
        this.ensureLeading('grant-send');
        this.rateLimits.startLeading(group.getLeadership().term);
        return this.rateLimits.grant(req);
      },
      reportLimits: async (req) => this.rateLimits.report(req),
      reportLeaving: async ({ processIds }) => {
        this.ensureLeading('report-leaving');
        this.upstreamList.recordLeaving(processIds);
      },
      ...this.createSuspectHandlers(),
      relaySuspects: (req) => this.relay.report(req),
      relayPermit: (req) => this.relay.permit(req),
      awaitRelayed: (req) => this.relay.awaitChanges(req),
      documentPart: async (req) => this.updates.getDocumentPart(req),
      declare: (document) => operatorService.declareAsLeader(document),
      read: () => operatorService.readAsLeader(),
      evacuate: (entry) => this.evacuations.proposeAsLeader(entry),
      readEvacuations: () => this.evacuations.readAsLeader(),
    };
  }

  /**
   * Places a generation. Only the leader tracks placements; entry hosts register running generations with a new leader.
   */
  private async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    this.ensureLeading('place');
    const res = await this.placement.place(req);
    const refused = res.isUnknown === true ? 'unknown' : 'no-room';
    const result = res.placed === undefined ? refused : 'placed';
    this.options.metrics.count('generationsPlaced', { result });
    return res;
  }

  /** Creates the scheduler of the calls of plain services, which is used while this host leads. */
  private createScheduling(): callSchedulingServices.CallSchedulingService {
    const { clock, log, random } = this.options;
    const upstreams = new schedulableUpstreams.SchedulableUpstreams({
      clock,
      findService: (name) => this.findService(name),
      findUpstreams: () => this.upstreamList.getList()?.upstreams,
      isEvacuated: (zone) => this.group.evacuations.has(zone),
      getEvacuationRevision: () => this.group.evacuations.get().revision,
      findRejectionBound: (service) => this.gate.findRejectionBound(service),
    });
    return new callSchedulingServices.CallSchedulingService({
      clock,
      log: this.options.log,
      findUpstreams: (service) => upstreams.find(service),
      getWeight: (team) => this.teamWeights.get(team),
      random,
      observer: new slotReporters.SlotReporter({
        calls: this.teamCalls,
        getWeight: (team) => this.teamWeights.get(team),
        log,
      }),
    });
  }

  /** Creates the gate of this host's probes. */
  private createGate(): requests.UpstreamGate {
    const { clock, log, metrics, random } = this.options;
    return new requests.UpstreamGate({
      grantor: {
        requestGrant: async (limit) => this.rateLimits.grantProbe(limit),
        reportLimit: (limit) => this.rateLimits.report({ hostId: this.coreId, limits: [limit] }),
      },
      share: new requests.LeaderlessRateShare(this.coreId, () => undefined),
      clock,
      log,
      random,
      count: (decision) => metrics.count('limitedSends', { decision }),
      onLeaving: ({ processId }) => this.upstreamList.recordLeaving([processId]),
    });
  }

  /** Creates the handlers for suspects, which run on the leader only and reject on any other host. */
  private createSuspectHandlers(): Pick<
    procedures.CoreHandlers,
    'reportSuspects' | 'shareSuspects' | 'permitSuspect'
  > {
    return {
      reportSuspects: async (req) => {
        const term = this.ensureLeadingSuspects('report-suspects');
        this.suspects.report(req);
        return { term };
      },
      shareSuspects: async ({ suspects }) => {
        const term = this.ensureLeadingSuspects('share-suspects');
        this.suspects.merge(suspects);
        return { term };
      },
      permitSuspect: async (req) => {
        this.ensureLeadingSuspects('permit-suspect');
        return this.suspects.permitWithIsolation(req);
      },
    };
  }

  private ensureLeading(step: string): void {
    if (!this.group.isLeading()) {
      this.placement.clear();
      this.scheduling.clear();
      throw new schemas.StepError({ id: 'notLeader', step });
    }
    const { term } = this.group.getLeadership();
    this.placement.startLeading(term);
    this.scheduling.startLeading(term);
  }

  private findService(name: string): schemas.RoutedService | undefined {
    return this.findTable()?.findService(name);
  }

  private findTable(): routing.RouteTable | undefined {
    const document = this.group.state.get();
    if (document !== undefined) {
      this.configuration.offer(document);
    }
    return this.configuration.findTable();
  }

  /** Loads the log's quarantine into the suspect registry before its first use in a term; returns the term. */
  private ensureLeadingSuspects(step: string): number {
    this.ensureLeading(step);
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
