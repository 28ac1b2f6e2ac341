import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as crashGuards from '../../src/crash-guard.js';
import type * as routedJobs from '../../src/routed-job.js';
import * as relayClients from '../../src/suspect-relay-client.js';
import * as suspectDesks from '../../src/suspect-registry.js';
import * as suspectLinks from '../../src/suspect-client.js';
import * as suspectRelays from '../../src/suspect-relay.js';

/** Within which time hosts that reach each other know what one of them found out, in milliseconds. */
export const PROPAGATION_MS = 3_000;

/** The step of the model, in milliseconds. */
const STEP_MS = 10;

/** How long a question to the leader waits when nothing comes, in milliseconds. */
const DEADLINE_MS = 60;

/** How long an entry of the log takes to be on disk at a majority, in milliseconds. */
const SYNC_MS = 8;

/** How long an engine that ended is away, in milliseconds. */
const AWAY_MS = 3_000;

/** After which time a bad call that runs ends its engine, in milliseconds. */
const BAD_MS = 60;

/** How often a call may be sent to engines at most, second attempts included. */
const MOST_SENDS = 2;

/** What the drawn schedules have in them. */
export interface FleetSimulationOptions {
  readonly hosts: number;
  readonly engines: number;
  /** Bad calls, each of which comes again and again. */
  readonly badCalls: number;
  /** The mean pause between two arrivals of one bad call, in milliseconds. */
  readonly badPauseMs: number;
  /** The mean time between two engines that end by themselves, in milliseconds. */
  readonly crashMs: number;
  /** The mean time between two changes of the leader, in milliseconds. */
  readonly leaderMs: number;
  /** The mean time between two hosts that are cut off or restarted, in milliseconds. */
  readonly hostMs: number;
  /** The part of messages that is lost, and of those that come twice. */
  readonly lossPart: number;
  /** The mean time between two losses of power of all hosts, in milliseconds. */
  readonly powerMs?: number;
  /** How long it takes at most until there is a leader again, in milliseconds. */
  readonly leaderlessMs?: number;
  /** Core hosts that can be reached while there is no leader. */
  readonly relays?: number;
  readonly durationMs: number;
}

interface Engine {
  processId: string;
  upAt: number;
  readonly runs: Set<(hasEnded: boolean) => void>;
}

interface Host {
  readonly hostId: string;
  guard: crashGuards.CrashGuard;
  link: suspectLinks.SuspectClient;
  /** The term of the leader that it heard last; 0 before the first. */
  heardTerm: number;
  cutUntil: number;
  /** Since when it counts as in touch. */
  inTouchAt: number;
}

interface Leader {
  readonly desk: suspectDesks.SuspectRegistry;
  readonly term: number;
  readonly since: number;
}

/** What was seen of a call, all its arrivals taken together. */
export class CallRecord {
  public readonly endedAt: number[] = [];
  public readonly sentAt: number[] = [];
  /** The same by hosts that count as in touch and by those that don't. */
  public readonly allSentAt: number[] = [];
  public served = 0;
  public refused = 0;
  public asked = 0;
  public lastRefusedAt = -Infinity;

  /** How often it was sent by hosts in touch after all could know that it had ended three engines. */
  public countLate(): number {
    return this.countLateOf(this.sentAt);
  }

  /** The same, also while nobody leads. */
  public countAllLate(): number {
    return this.countLateOf(this.allSentAt);
  }

  private countLateOf(sentAt: readonly number[]): number {
    const since = (this.endedAt[2] ?? Infinity) + PROPAGATION_MS;
    return sentAt.filter((at) => at > since).length;
  }
}

/** Entry hosts, a leader and engines on virtual time: who sends which call where, and what hosts tell each other of it. */
export class FleetSimulation {
  public readonly clock = new schemas.VirtualClock();
  public readonly calls = new Map<string, CallRecord>();
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private readonly engines: Engine[] = [];
  private readonly hosts: Host[] = [];
  private leader: Leader | undefined;
  private readonly quarantine = new routing.QuarantineState();
  private readonly relays = new Map<string, suspectRelays.SuspectRelay>();
  private readonly leaderChanged = new schemas.ChangeSignal();
  private term = 0;
  private boots = 0;
  private calling = 0;

  public constructor(
    seed: number,
    private readonly plan: FleetSimulationOptions,
  ) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
    for (let i = 0; i < plan.engines; i += 1) {
      this.engines.push({ processId: this.createBoot(), upAt: 0, runs: new Set() });
    }
    for (let i = 0; i < (plan.relays ?? 0); i += 1) {
      this.relays.set(`relay-${i}`, this.createRelay(`relay-${i}`));
    }
    for (let i = 0; i < plan.hosts; i += 1) {
      this.hosts.push(this.createHost(`host-${i}`));
    }
    this.elect();
  }

  /** Plays the plan. */
  public async simulate(): Promise<void> {
    const { badCalls, badPauseMs, crashMs, durationMs, hostMs, leaderMs } = this.plan;
    for (let at = 0; at < durationMs; at += STEP_MS) {
      for (let i = 0; i < badCalls; i += 1) {
        this.happens(badPauseMs, () => this.arrive(`bad-${i}`, BAD_MS));
      }
      this.happens(250, () => this.arrive('popular', 300));
      this.happens(500, () => this.arrive(`draft-${at}`, 9_000));
      this.happens(200, () => this.arrive(`check-${at}`, 400));
      this.happens(crashMs, () => this.end(this.engines[this.draw(this.engines.length)]!));
      this.happens(leaderMs, () => this.loseLeader());
      this.happens(hostMs, () => this.disturb(this.hosts[this.draw(this.hosts.length)]!));
      this.happens(this.plan.powerMs ?? Infinity, () => this.losePower());
      this.pass();
      await this.clock.advance(STEP_MS);
    }
  }

  /** What was seen of the bad calls. */
  public listBad(): CallRecord[] {
    return [...this.calls].flatMap(([name, seen]) => (name.startsWith('bad') ? [seen] : []));
  }

  /** What was seen of all others. */
  public listGood(): CallRecord[] {
    return [...this.calls].flatMap(([name, seen]) => (name.startsWith('bad') ? [] : [seen]));
  }

  private arrive(name: string, runMs: number): void {
    const host = this.hosts[this.draw(this.hosts.length)]!;
    // Callers go to no host that has not heard from the core hosts since its start.
    if (host.heardTerm === 0) {
      return;
    }
    this.calling += 1;
    const seen = this.calls.get(name) ?? new CallRecord();
    this.calls.set(name, seen);
    seen.asked += 1;
    const tried = new Set<string>();
    const job = {
      call: { facts: { requestId: `c${this.calling}` }, service: { name: 'engines' } },
      getDigest: () => name,
      tried,
    } as unknown as routedJobs.RoutedJob;
    this.serve(host, job, seen, name.startsWith('bad'), runMs).catch((err: unknown) => {
      if (err instanceof schemas.Refusal) {
        seen.refused += 1;
        seen.lastRefusedAt = this.clock.now();
        return;
      }
      throw err;
    });
  }

  private async serve(
    host: Host,
    job: routedJobs.RoutedJob,
    seen: CallRecord,
    isBad: boolean,
    runMs: number,
  ): Promise<void> {
    const { guard } = host;
    for (let sends = 0; sends < MOST_SENDS; sends += 1) {
      await guard.admit(job);
      const engine = await this.choose(guard, job);
      if (engine === undefined) {
        return;
      }
      const { processId } = engine;
      const known = { upstreamId: processId, listed: {}, url: '' } as never;
      if (engine.upAt > this.clock.now()) {
        guard.recordOutcome(job, { known, answerStartedAt: undefined }, 'not-run');
        continue;
      }
      seen.allSentAt.push(this.clock.now());
      if (host.inTouchAt <= this.clock.now() && this.hosts.includes(host)) {
        seen.sentAt.push(this.clock.now());
      }
      const waitMs = 50 + this.draw(400);
      const hasEnded = await this.run(engine, waitMs, runMs, isBad, seen);
      const begunAt = runMs > 1_000 ? this.clock.now() - this.draw(runMs) : undefined;
      guard.recordOutcome(job, { known, answerStartedAt: begunAt }, hasEnded ? 'lost' : 'served');
      if (!hasEnded) {
        seen.served += 1;
        return;
      }
    }
  }

  private async choose(
    guard: crashGuards.CrashGuard,
    job: routedJobs.RoutedJob,
  ): Promise<Engine | undefined> {
    const avoided = new Set<Engine>();
    for (let moves = 0; ; moves += 1) {
      const up = this.engines.filter((item) => item.upAt <= this.clock.now() && !avoided.has(item));
      const engine = up[this.draw(up.length)];
      if (engine === undefined) {
        return undefined;
      }
      const known = { upstreamId: engine.processId, listed: {}, url: '' } as never;
      const granted = await guard.permit(job, known, () => moves >= 2 || up.length === 1);
      if (granted.kind === 'go') {
        return engine;
      }
      if (granted.kind === 'there') {
        return this.engines.find(({ processId }) => processId === granted.upstream.upstreamId);
      }
      avoided.add(engine);
    }
  }

  /** Runs a call; gives whether its engine ended under it. */
  private run(
    engine: Engine,
    waitMs: number,
    runMs: number,
    isBad: boolean,
    seen: CallRecord,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (hasEnded: boolean) => {
        engine.runs.delete(settle);
        if (isBad && hasEnded) {
          seen.endedAt.push(this.clock.now());
        }
        resolve(hasEnded);
      };
      engine.runs.add(settle);
      void this.clock.sleep(waitMs + runMs).then(() => {
        if (!engine.runs.has(settle)) {
          return;
        }
        if (isBad) {
          this.end(engine);
        } else {
          settle(false);
        }
      });
    });
  }

  private end(engine: Engine): void {
    if (engine.upAt > this.clock.now()) {
      return;
    }
    engine.upAt = this.clock.now() + AWAY_MS;
    engine.processId = this.createBoot();
    [...engine.runs].forEach((settle) => settle(true));
  }

  private loseLeader(): void {
    this.leader = undefined;
    // Nobody can know what others found out while there is no leader, nor just after; the bound does not hold then.
    this.hosts.forEach((host) => {
      host.inTouchAt = Math.max(host.inTouchAt, this.clock.now() + PROPAGATION_MS);
    });
    this.leaderChanged.notify();
    const { leaderlessMs = 1_500 } = this.plan;
    void this.clock.sleep(300 + this.draw(leaderlessMs - 300)).then(() => this.elect());
  }

  private elect(): void {
    this.term += 1;
    const { clock } = this;
    const log = new schemas.SilentLog();
    const metrics = new telemetry.TextMetrics();
    const desk = new suspectDesks.SuspectRegistry({
      clock,
      log,
      metrics,
      quarantine: this.quarantine,
      propose: async (entry) => {
        await clock.sleep(SYNC_MS);
        if (this.leader?.desk !== desk) {
          throw new Error('not the leader any more');
        }
        this.quarantine.apply(entry);
      },
    });
    desk.startLeading(this.term);
    this.leader = { desk, term: this.term, since: clock.now() };
    this.leaderChanged.notify();
  }

  private createRelay(coreId: string): suspectRelays.SuspectRelay {
    return new suspectRelays.SuspectRelay({
      coreId,
      findLeader: () =>
        this.leader && { coreId: String(this.leader.term), lastContactAt: this.clock.now() + 1 },
      leaderHandlers: {} as never,
      mesh: {
        get: () => ({ reportSuspects: { mutate: fail }, permitSuspect: { mutate: fail } }) as never,
      },
      clock: this.clock,
      log: new schemas.SilentLog(),
    });
  }

  /** Every host, and whoever leads, loses what it had in memory. */
  private losePower(): void {
    this.hosts.forEach((host) => this.restart(host));
    this.loseLeader();
  }

  private disturb(host: Host): void {
    if (this.draw(2) === 0) {
      this.restart(host);
      return;
    }
    host.cutUntil = this.clock.now() + 1_000 + this.draw(5_000);
    host.inTouchAt = host.cutUntil + PROPAGATION_MS;
  }

  private restart(host: Host): void {
    host.link.stop();
    const fresh = this.createHost(host.hostId);
    fresh.inTouchAt = this.clock.now() + PROPAGATION_MS;
    this.hosts[this.hosts.indexOf(host)] = fresh;
  }

  /** Hosts hear of the leader and of what has changed, some of them late. */
  private pass(): void {
    const { leader } = this;
    this.hosts.forEach((host) => {
      if (leader === undefined || host.cutUntil > this.clock.now() || this.draw(3) === 0) {
        return;
      }
      host.heardTerm = leader.term;
      const news = leader.desk.findUpdates(host.link.getReceivedRevision(), leader.term);
      if (news !== undefined) {
        host.link.applyUpdates(structuredClone(news));
      }
    });
  }

  private createHost(hostId: string): Host {
    const { clock } = this;
    const log = new schemas.SilentLog();
    const host = { hostId, heardTerm: 0, cutUntil: 0, inTouchAt: 0 } as Host;
    const api = (term: number) => ({
      reportSuspects: this.createCall(host, term, (desk, req) => {
        desk.report(req as never);
        return { term };
      }),
      shareSuspects: this.createCall(host, term, (desk, req) => {
        desk.merge((req as { suspects: never[] }).suspects);
        return { term };
      }),
      permitSuspect: this.createCall(host, term, (desk, req) => desk.permit(req as never)),
    });
    const relayApi = (relay: suspectRelays.SuspectRelay) => ({
      relaySuspects: this.createRelayCall(host, (req) => relay.report(req as never)),
      relayPermit: this.createRelayCall(host, (req) => relay.permit(req as never)),
      awaitRelayed: this.createRelayCall(host, (req) => relay.awaitChanges(req as never)),
    });
    const mesh = {
      get: (coreId: string) => {
        const relay = this.relays.get(coreId);
        return (relay === undefined ? api(Number(coreId)) : relayApi(relay)) as never;
      },
    };
    const relays = new relayClients.SuspectRelayClient({
      mesh,
      hostId,
      listCores: () => [...this.relays.keys()],
      reachesLeader: () => this.leader !== undefined && host.cutUntil <= clock.now(),
      leaderChanged: this.leaderChanged,
      clock,
      log,
    });
    host.link = new suspectLinks.SuspectClient({
      mesh,
      relays,
      findLeader: () => (host.heardTerm === 0 ? undefined : String(host.heardTerm)),
      hostId,
      clock,
      log,
    });
    host.guard = new crashGuards.CrashGuard({
      suspects: host.link,
      directory: {
        isLeaving: () => false,
        noteUnreachable: () => {},
        listLive: () => this.listUp(),
      } as never,
      endCheck: { hasEnded: async () => Promise.resolve(true) } as never,
      clock,
      log,
      metrics: new telemetry.TextMetrics(),
    });
    return host;
  }

  /** A question to a leader: late, and now and then lost on the way there or back, or asked twice. */
  private createCall(
    host: Host,
    term: number,
    handle: (desk: suspectDesks.SuspectRegistry, req: unknown) => unknown,
  ) {
    return {
      mutate: async (req: unknown): Promise<unknown> => {
        await this.clock.sleep(1 + this.draw(4));
        const { leader } = this;
        const isReached =
          leader?.term === term && host.cutUntil <= this.clock.now() && !this.isUnlucky();
        if (!isReached) {
          await this.clock.sleep(DEADLINE_MS);
          throw new Error('deadline');
        }
        const answer = await handle(leader.desk, structuredClone(req));
        if (this.isUnlucky()) {
          await handle(leader.desk, structuredClone(req));
        }
        if (this.isUnlucky()) {
          await this.clock.sleep(DEADLINE_MS);
          throw new Error('deadline');
        }
        return answer;
      },
    };
  }

  /** A question to another core host, late and now and then lost. */
  private createRelayCall(host: Host, handle: (req: unknown) => Promise<unknown>) {
    return {
      mutate: async (req: unknown): Promise<unknown> => {
        await this.clock.sleep(1 + this.draw(4));
        if (host.cutUntil > this.clock.now() || this.isUnlucky()) {
          await this.clock.sleep(DEADLINE_MS);
          throw new Error('deadline');
        }
        const answer = await handle(structuredClone(req));
        if (this.isUnlucky()) {
          await this.clock.sleep(DEADLINE_MS);
          throw new Error('deadline');
        }
        return answer;
      },
    };
  }

  private listUp() {
    return this.engines
      .filter(({ upAt }) => upAt <= this.clock.now())
      .map(({ processId }) => ({ upstreamId: processId, listed: {} }));
  }

  private happens(meanMs: number, act: () => void): void {
    if (this.random() < STEP_MS / meanMs) {
      act();
    }
  }

  private isUnlucky(): boolean {
    return this.random() < this.plan.lossPart;
  }

  private createBoot(): string {
    this.boots += 1;
    return `p${this.boots}`;
  }

  private draw(below: number): number {
    return Math.floor(this.random() * below);
  }

  private random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }
}

async function fail(): Promise<never> {
  return Promise.reject(new Error('not the leader'));
}
