import * as intents from '@bramleyridge/intents';
import * as members from '@bramleyridge/members';
import * as placement from '@bramleyridge/placement';
import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as claimSeating from './claim-seating.js';
import type * as controlPlanes from './control-plane.js';
import * as platformWatches from './platform-watch.js';
import type * as peerRouters from './peer-router.js';

/** How often the leader compares what is wanted with what is seen, in milliseconds. */
const ROUND_MS = 500;

/** How often an upstream that nothing was ordered of is looked at, in milliseconds. */
const LOOK_MS = 10_000;

/** After how long without a word a zone's revision is not known to be in force, in milliseconds. */
const ZONE_SILENT_MS = 5_000;

interface Seen extends placement.ObservedUpstream {
  readonly at: number;
}

/** What the leader's tasks need. */
export interface LeaderTasksOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly control: controlPlanes.ControlPlane;
  readonly store: members.ConfigurationStore;
  readonly view: members.ZoneView;
  readonly engines: requests.EngineClient;
  /** Asks a daemon whether it holds what its seat in the claim group has promised. */
  readonly holdsClaims: (daemonId: string) => Promise<boolean>;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** What one daemon does beside the others while it leads: seats, placement, the state of the zones. */
export class LeaderTasks {
  public readonly zones: members.ZoneStatus;
  private upstreams = new Map<string, schemas.Upstream>();
  private readonly seen = new Map<string, Seen>();
  private readonly platform: platformWatches.PlatformWatch;
  private sender: placement.OrderSender | undefined;
  private senderTerm = -1;
  private lookAtRevision = -1;
  private isStopped = false;

  public constructor(private readonly options: LeaderTasksOptions) {
    const { cfg, clock, log } = options;
    this.zones = new members.ZoneStatus(clock);
    this.platform = new platformWatches.PlatformWatch({
      url: cfg.platformUrl,
      availabilityZone: undefined,
      clock,
      log,
      isDue: () => this.isLeader(),
      // A new leader may wait for the next look: orders come from rounds, and no caller waits for its list.
      dueChanged: new schemas.ChangeSignal(),
      take: (list) => this.takeUpstreams(list),
    });
  }

  /** Runs until stopped; does nothing while another leads. */
  public async run(): Promise<void> {
    void this.platform.run();
    while (!this.isStopped) {
      if (this.isLeader()) {
        await this.round().catch((err: unknown) => {
          this.options.log.warn({ step: 'leader-round', err: schemas.toError(err).message });
        });
      }
      await this.options.clock.sleep(ROUND_MS);
    }
  }

  /** Ends the tasks. */
  public stop(): void {
    this.isStopped = true;
    this.platform.stop();
  }

  /** Checks and proposes a command, and tells what a plan would do, host by host. */
  public async propose(command: schemas.Command): Promise<peerRouters.ProposeAnswer> {
    const { control } = this.options;
    await control.getLeadership().barrier();
    if (command.kind !== 'plan') {
      return { faults: [], effects: [], result: await control.proposeHere(command) };
    }
    if (this.upstreams.size === 0) {
      await this.platform.readOnce();
    }
    await this.look(true);
    const faults = intents.checkDeclaration(command.declaration, this.getFacts());
    if (faults.length > 0) {
      return { faults, effects: [] };
    }
    const observed = [...this.seen.values()];
    const desired = placement.getDesiredReplicas(command.declaration, observed);
    const effects = placement
      .planReconcileSteps(desired, observed)
      .map((step) => this.describe(step));
    return { faults, effects, result: await control.proposeHere(command) };
  }

  /** What operators are told. */
  public describeStatus(): schemas.StatusReport {
    const { cfg, control, store } = this.options;
    const { revision, claimSeats } = store.get();
    this.hearOwnZone();
    return {
      leader: cfg.daemonId,
      term: control.getLeadership().term,
      revision,
      claimSeats,
      voters: control.describeVoters(),
      zones: this.describeZones(revision),
      plans: control.state.listPlans().slice(0, 20),
      upstreams: [...this.seen.values()].map((item) => ({
        upstreamId: item.upstream.upstreamId,
        availabilityZone: item.upstream.availabilityZone,
        models: item.models.map((held) => `${held.model}:${held.version}`),
      })),
    };
  }

  /** The leader's own zone reports to nobody else when the leader is its relay. */
  private hearOwnZone(): void {
    const { view } = this.options;
    const [own, ...others] = view.listHeartbeats();
    if (view.isRelay() && own !== undefined) {
      this.zones.setOwnZone(own, [own, ...others]);
    }
  }

  /** A zone that is not heard is never said to have a revision in force. */
  private describeZones(revision: number): schemas.StatusReport['zones'] {
    const heard = new Map(this.zones.list().map((row) => [row.availabilityZone, row]));
    return this.listZoneNames().map((availabilityZone) => {
      const row = heard.get(availabilityZone);
      const hosts = row?.hosts ?? [];
      const silentMs = row?.silentMs ?? -1;
      const isHeard = row !== undefined && silentMs < ZONE_SILENT_MS;
      return {
        availabilityZone,
        silentMs,
        isInForce: isHeard && hosts.every((host) => host.revision >= revision),
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
    await this.seat();
    const leadership = control.getLeadership();
    if (!leadership.isLeaseHeld(placement.getOrderDeadlineMs(cfg.timings.leaseMs))) {
      return;
    }
    const { revision, declaration } = store.get();
    await this.look(revision !== this.lookAtRevision);
    this.lookAtRevision = revision;
    const observed = [...this.seen.values()];
    const steps = placement.planReconcileSteps(
      placement.getDesiredReplicas(declaration, observed),
      observed,
    );
    const taken = await this.getSender().run(steps, this.upstreams);
    taken.forEach((id) => this.seen.delete(id));
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

  private async look(isAll: boolean): Promise<void> {
    const now = this.options.clock.now();
    const due = [...this.upstreams.values()]
      .filter((item) => item.kind === 'engine')
      .filter((item) => isAll || now - (this.seen.get(item.upstreamId)?.at ?? -Infinity) > LOOK_MS);
    await Promise.all(due.map((upstream) => this.lookAt(upstream, now)));
  }

  private async lookAt(upstream: schemas.Upstream, at: number): Promise<void> {
    try {
      const answer = await this.options.engines.getJson(upstream, '/load');
      const report = schemas.parse(schemas.loadReport, answer, 'load-report');
      const isLeaving = report.state === 'leaving' || upstream.state === 'leaving';
      this.seen.set(upstream.upstreamId, { upstream, isLeaving, models: report.models, at });
    } catch {
      this.seen.delete(upstream.upstreamId);
    }
  }

  /** Begins a new claim group that remembers nothing, after a majority of the old one has forgotten. */
  public async refoundClaims(): Promise<void> {
    await this.options.control.getLeadership().barrier();
    const holders = claimSeating.chooseHolders([], this.listLive(), this.options.cfg.claimSeats);
    if (holders === undefined) {
      throw new schemas.StepError({ id: 'claimRefused', step: 'refound' });
    }
    await this.proposeSeats(holders, true);
  }

  private async seat(): Promise<void> {
    const { cfg, store } = this.options;
    const { claimSeats } = store.get();
    this.hearOwnZone();
    const holders = await claimSeating.chooseNextHolders({
      seats: claimSeats,
      live: this.listLive(),
      wanted: cfg.claimSeats,
      holdsClaims: (daemonId) => this.askHoldsClaims(daemonId),
    });
    if (holders !== undefined) {
      await this.proposeSeats(holders, false);
    }
  }

  private async askHoldsClaims(daemonId: string): Promise<boolean> {
    try {
      return await this.options.holdsClaims(daemonId);
    } catch (err) {
      const { message } = schemas.toError(err);
      this.options.log.warn({ step: 'ask-claim-seat', peer: daemonId, err: message });
      throw err;
    }
  }

  /** The daemons that every other one can find: those in the settings. */
  private listLive(): schemas.Beat[] {
    const { cfg } = this.options;
    const known = new Set([cfg.daemonId, ...cfg.peers.map((peer) => peer.daemonId)]);
    const live = this.zones.list().flatMap((zone) => zone.hosts);
    return live.filter((host) => known.has(host.daemonId));
  }

  private async proposeSeats(holders: string[], isFounding: boolean): Promise<void> {
    const reason = isFounding ? 'an operator founds the group anew' : 'holders changed';
    this.options.log.info({ decision: 'seat-claims', reason, holders });
    await this.options.control.proposeHere({
      kind: 'seats',
      requestId: `seats-${Date.now()}`,
      operator: 'leader',
      at: Date.now(),
      holders,
      isFounding,
    });
  }

  private takeUpstreams(list: readonly schemas.Upstream[]): void {
    this.upstreams = new Map(list.map((item) => [item.upstreamId, item]));
    [...this.seen.keys()]
      .filter((id) => !this.upstreams.has(id))
      .forEach((id) => this.seen.delete(id));
  }

  private describe(step: placement.ReconcileStep): string {
    const { upstreamId, model, version } = step.slot;
    const zone = this.upstreams.get(upstreamId)?.availabilityZone ?? '?';
    return `${step.action} ${model}:${version} on ${upstreamId} in ${zone} (${step.reason})`;
  }

  private getFacts(): intents.DeploymentFacts {
    return {
      availabilityZones: this.listZoneNames(),
      upstreams: [...this.upstreams.values()],
      engineTokens: new Map(),
    };
  }

  private listZoneNames(): string[] {
    const { cfg } = this.options;
    const heard = this.zones.list().map((zone) => zone.availabilityZone);
    const listed = cfg.peers.map((peer) => peer.availabilityZone);
    return [...new Set([cfg.availabilityZone, ...listed, ...heard])].sort();
  }

  private isLeader(): boolean {
    return this.options.control.voter?.isLeader() ?? false;
  }
}
