import * as util from 'node:util';

import * as intents from '@bramleyridge/intents';
import * as members from '@bramleyridge/members';
import * as placement from '@bramleyridge/placement';
import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as claimAcceptors from './choose-claim-acceptors.js';
import type * as controlPlanes from './control-plane.js';
import type * as peerRouters from './peer-router.js';
import * as platformPollers from './platform-poller.js';

/** Interval between two comparisons of the desired and the observed state, in milliseconds. */
const ROUND_INTERVAL_MS = 500;

/** Interval between two load reads of an engine without new orders, in milliseconds. */
const IDLE_POLL_INTERVAL_MS = 10_000;

/**
 * Time without a heartbeat after which a zone's revision no longer counts as in force, in
 * milliseconds.
 */
const ZONE_TIMEOUT_MS = 5_000;

interface ObservedEngine extends placement.ObservedUpstream {
  readonly at: number;
}

/** Dependencies of the leader's tasks. */
export interface LeaderTasksOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly control: controlPlanes.ControlPlane;
  readonly store: members.ConfigurationStore;
  readonly view: members.ZoneView;
  readonly engines: requests.EngineClient;
  /** Asks a daemon whether its claim acceptor has recovered its complete state. */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Runs the tasks of the leader: assignment of claim acceptors, placement, and status of the zones.
 */
export class LeaderTasks {
  public readonly zones: members.ZoneStatus;
  private upstreams = new Map<string, schemas.Upstream>();
  private readonly observedEngines = new Map<string, ObservedEngine>();
  private readonly platform: platformPollers.PlatformPoller;
  private sender: placement.OrderSender | undefined;
  private senderTerm = -1;
  private polledRevision = -1;
  private isStopped = false;
  private isWaitLogged = false;

  public constructor(private readonly options: LeaderTasksOptions) {
    const { cfg, clock, log } = options;
    this.zones = new members.ZoneStatus(clock);
    this.platform = new platformPollers.PlatformPoller({
      url: cfg.platformUrl,
      availabilityZone: undefined,
      clock,
      log,
      isActive: () => this.isLeader(),
      // Never notified: a new leader may wait for the next poll, since orders are only sent in
      // rounds and no caller waits for this list.
      activeChanged: new schemas.ChangeSignal(),
      onUpstreams: (list) => this.setUpstreams(list),
    });
  }

  /** Runs until stopped; idle while another daemon leads. */
  public async run(): Promise<void> {
    schemas.runInBackground(() => this.platform.run(), {
      log: this.options.log,
      step: 'platform-list',
    });
    while (!this.isStopped) {
      if (this.isLeader()) {
        await this.round().catch((err: unknown) => {
          this.options.log.warn({ step: 'leader-round', err: schemas.toError(err).message });
        });
      }
      await this.options.clock.sleep(ROUND_INTERVAL_MS);
    }
  }

  /** Stops the tasks. */
  public stop(): void {
    this.isStopped = true;
    this.platform.stop();
  }

  /** Validates and proposes a command; for a plan, also returns its effects on each upstream. */
  public async propose(command: schemas.Command): Promise<peerRouters.ProposeResult> {
    const { control } = this.options;
    await control.getLeadership().barrier();
    if (command.kind !== 'plan') {
      return { faults: [], effects: [], result: await control.proposeLocally(command) };
    }
    if (this.upstreams.size === 0) {
      await this.platform.poll();
    }
    await this.pollEngines(true);
    const faults = intents.checkDeclaration(command.declaration, this.getDeploymentFacts());
    if (faults.length > 0) {
      return { faults, effects: [] };
    }
    const observed = [...this.observedEngines.values()];
    const desired = placement.getDesiredReplicas(command.declaration, observed);
    const effects = placement
      .planReconcileSteps(desired, observed)
      .map((step) => this.describeStep(step));
    return { faults, effects, result: await control.proposeLocally(command) };
  }

  /** Returns the status report for operators. */
  public describeStatus(): schemas.StatusReport {
    const { cfg, control, store } = this.options;
    const { revision, claimSeats } = store.get();
    this.recordOwnZone();
    return {
      leader: cfg.daemonId,
      term: control.getLeadership().term,
      revision,
      claimSeats,
      voters: control.describeVoters(),
      zones: this.describeZones(revision),
      plans: control.state.listPlans().slice(0, 20),
      upstreams: [...this.observedEngines.values()].map((item) => ({
        upstreamId: item.upstream.upstreamId,
        availabilityZone: item.upstream.availabilityZone,
        models: item.models.map((held) => `${held.model}:${held.version}`),
      })),
    };
  }

  /**
   * Records the leader's own zone. When the leader is the relay of its zone, no other daemon
   * reports this zone to it.
   */
  private recordOwnZone(): void {
    const { view } = this.options;
    const [own, ...others] = view.listHeartbeats();
    if (view.isRelay() && own !== undefined) {
      this.zones.setOwnZone(own, [own, ...others]);
    }
  }

  /** A zone without a recent report is never described as having a revision in force. */
  private describeZones(revision: number): schemas.StatusReport['zones'] {
    const reported = new Map(this.zones.list().map((row) => [row.availabilityZone, row]));
    return this.listZoneNames().map((availabilityZone) => {
      const row = reported.get(availabilityZone);
      const hosts = row?.hosts ?? [];
      const silentMs = row?.silentMs ?? -1;
      const isRecent = row !== undefined && silentMs < ZONE_TIMEOUT_MS;
      return {
        availabilityZone,
        silentMs,
        isInForce: isRecent && hosts.every((host) => host.revision >= revision),
        hosts: hosts.map((host) => ({
          daemonId: host.daemonId,
          revision: host.revision,
          url: `http://${host.host}:${host.callerPort}`,
          isLeaving: host.isLeaving,
        })),
      };
    });
  }

  private async round(): Promise<void> {
    const { cfg, control, store } = this.options;
    await this.updateClaimAcceptors();
    const leadership = control.getLeadership();
    if (!leadership.isLeaseHeld(placement.getOrderDeadlineMs(cfg.timings.leaseMs))) {
      return;
    }
    const { revision, declaration } = store.get();
    await this.pollEngines(revision !== this.polledRevision);
    this.polledRevision = revision;
    const observed = [...this.observedEngines.values()];
    const steps = placement.planReconcileSteps(
      placement.getDesiredReplicas(declaration, observed),
      observed,
    );
    const ordered = await this.getSender().run(steps, this.upstreams);
    ordered.forEach((id) => this.observedEngines.delete(id));
  }

  private getSender(): placement.OrderSender {
    const { cfg, clock, control, engines, log } = this.options;
    const leadership = control.getLeadership();
    if (this.sender === undefined || this.senderTerm !== leadership.term) {
      this.senderTerm = leadership.term;
      this.sender = new placement.OrderSender({
        authority: {
          isLeaseHeld: (ms) => leadership.isLeaseHeld(ms),
          getFencing: () => ({ term: leadership.term, index: control.getVoter().commitIndex }),
          startedAt: leadership.startedAt,
        },
        clock,
        log,
        leaseMs: cfg.timings.leaseMs,
        send: (upstream, order, deadlineMs) => engines.order(upstream, order, deadlineMs),
      });
    }
    return this.sender;
  }

  private async pollEngines(isAll: boolean): Promise<void> {
    const now = this.options.clock.now();
    const due = [...this.upstreams.values()]
      .filter((item) => item.kind === 'engine')
      .filter(
        (item) =>
          isAll ||
          now - (this.observedEngines.get(item.upstreamId)?.at ?? -Infinity) >
            IDLE_POLL_INTERVAL_MS,
      );
    await Promise.all(due.map((upstream) => this.pollEngine(upstream, now)));
  }

  private async pollEngine(upstream: schemas.Upstream, at: number): Promise<void> {
    try {
      const response = await this.options.engines.getJson(upstream, '/load');
      const report = schemas.parse(schemas.loadReport, response, 'load-report');
      const isLeaving = report.state === 'leaving' || upstream.state === 'leaving';
      this.observedEngines.set(upstream.upstreamId, {
        upstream,
        isLeaving,
        models: report.models,
        at,
      });
    } catch {
      this.observedEngines.delete(upstream.upstreamId);
    }
  }

  /**
   * Starts a new claim group without any recorded claims. An operator does this after a majority of
   * the previous group lost its state, or to serve calls with a key while a zone is lost: where too
   * few zones are heard, one zone gets a majority of the acceptors, and one of its acceptors moves
   * once a daemon of another zone is heard.
   */
  public async refoundClaims(): Promise<void> {
    await this.options.control.getLeadership().barrier();
    const candidates = this.getClaimCandidates();
    const { live } = candidates;
    const spread = claimAcceptors.chooseFirstAcceptors(candidates);
    const holders =
      spread ?? claimAcceptors.chooseFirstAcceptors({ ...candidates, configured: live });
    if (holders === undefined) {
      throw new schemas.StepError({ id: 'claimRefused', step: 'refound' });
    }
    const risk = spread === undefined ? ', and one zone has a majority of it' : '';
    await this.proposeClaimAcceptors(holders, `an operator founds the group anew${risk}`, true);
  }

  private async updateClaimAcceptors(): Promise<void> {
    const { control, store } = this.options;
    const { claimSeats } = store.get();
    this.recordOwnZone();
    const holders = await claimAcceptors.chooseNextClaimAcceptors({
      ...this.getClaimCandidates(),
      acceptors: claimSeats,
      holdsClaims: (daemonId) => this.checkHoldsClaims(daemonId),
    });
    if (holders === undefined) {
      if (claimSeats.length === 0) {
        this.logWait();
      }
      return;
    }
    // A new leader may lack committed entries: it would found a second group in place of the first,
    // or replace several acceptors at once.
    await control.getLeadership().barrier();
    if (util.isDeepStrictEqual(store.get().claimSeats, claimSeats)) {
      await this.proposeClaimAcceptors(holders, 'holders changed', false);
    }
  }

  private logWait(): void {
    if (!this.isWaitLogged) {
      this.isWaitLogged = true;
      const heard = this.getClaimCandidates().live.map((host) => host.daemonId);
      const reason = 'no group yet: too few daemons or zones are heard';
      this.options.log.info({ decision: 'seat-claims', reason, heard });
    }
  }

  private async checkHoldsClaims(daemonId: string): Promise<boolean> {
    try {
      return await this.options.holdsClaims(daemonId);
    } catch (err) {
      const { message } = schemas.toError(err);
      this.options.log.warn({ step: 'ask-claim-seat', peer: daemonId, err: message });
      throw err;
    }
  }

  /** Only daemons that are named in the settings are candidates: every other daemon can find them. */
  private getClaimCandidates(): claimAcceptors.ClaimCandidates {
    const { cfg } = this.options;
    const configured = [cfg, ...cfg.peers];
    const ids = new Set(configured.map((item) => item.daemonId));
    const heard = this.zones.list().flatMap((zone) => zone.hosts);
    const live = heard.filter((host) => ids.has(host.daemonId));
    return { configured, live, allowed: cfg.claimSeats };
  }

  private async proposeClaimAcceptors(
    holders: string[],
    reason: string,
    isFounding: boolean,
  ): Promise<void> {
    this.options.log.info({ decision: 'seat-claims', reason, holders });
    await this.options.control.proposeLocally({
      kind: 'seats',
      requestId: `seats-${Date.now()}`,
      operator: 'leader',
      at: Date.now(),
      holders,
      isFounding,
    });
  }

  private setUpstreams(list: readonly schemas.Upstream[]): void {
    this.upstreams = new Map(list.map((item) => [item.upstreamId, item]));
    [...this.observedEngines.keys()]
      .filter((id) => !this.upstreams.has(id))
      .forEach((id) => this.observedEngines.delete(id));
  }

  private describeStep(step: placement.ReconcileStep): string {
    const { upstreamId, model, version } = step.slot;
    const zone = this.upstreams.get(upstreamId)?.availabilityZone ?? '?';
    return `${step.action} ${model}:${version} on ${upstreamId} in ${zone} (${step.reason})`;
  }

  private getDeploymentFacts(): intents.DeploymentFacts {
    return {
      availabilityZones: this.listZoneNames(),
      upstreams: [...this.upstreams.values()],
      engineTokens: new Map(),
    };
  }

  private listZoneNames(): string[] {
    const { cfg } = this.options;
    const reported = this.zones.list().map((zone) => zone.availabilityZone);
    const listed = cfg.peers.map((peer) => peer.availabilityZone);
    return [...new Set([cfg.availabilityZone, ...listed, ...reported])].sort();
  }

  private isLeader(): boolean {
    return this.options.control.voter?.isLeader() ?? false;
  }
}
