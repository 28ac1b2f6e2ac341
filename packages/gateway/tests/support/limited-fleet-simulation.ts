import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as rateGrantClients from '../../src/rate-grant-client.js';
import * as rateLimitServices from '../../src/rate-limit-service.js';

/** Time step of the simulation, in milliseconds. */
const STEP_MS = 10;

/** Timeout of a request without an answer, in milliseconds. */
const DEADLINE_MS = 60;

/** Number of core hosts; all of them answer while none leads. */
const CORE_HOSTS = 3;

/** Mean time between two polls of a host that reaches no leader, in milliseconds. */
const LEADERLESS_POLL_MS = 200;

/** Longest time that a message travels between hosts, or to an upstream, in milliseconds. */
const MAX_TRAVEL_MS = 6;

/** Time for which an upstream runs a call, in milliseconds: at least, and the range above that. */
const MIN_RUN_MS = 15;
const RUN_RANGE_MS = 60;

/** Length of the sliding window in which arrivals at an upstream are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Time from the first answer that names a limit until the limit binds, in milliseconds. */
const GRACE_MS = 3_000;

/** Time after which an answer counts as known to its host, in milliseconds. */
const KNOWN_AFTER_MS = 500;

/** Time from the first answer that names a limit until hosts know it that no answer has told, in milliseconds. */
const KNOWN_BY_ALL_AFTER_MS = 1_000;

/** Time for which a higher limit still counts after it was lowered, in milliseconds: until an answer has named it. */
const LOWERED_AFTER_MS = 500;

/** Time after a request for rest from which it binds its host, in milliseconds, and calls that may arrive in it. */
const REST_BINDS_AFTER_MS = 500;
const TOLERATED_IN_REST = 2;

/** Time for which an upstream still serves after it has stated that it leaves, in milliseconds. */
const LEAVING_SERVES_MS = 6_000;

/** Time after a statement of leaving from which no new call may come from a host that has it, in milliseconds. */
const LEAVING_BINDS_AFTER_MS = 3_000;

/** Multiple of a limit that may arrive in a window, and calls beyond that. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_BURST = 5;

/** The size of the simulated fleet and the rates of the drawn events. */
export interface LimitedFleetOptions {
  readonly hosts: number;
  readonly upstreams: number;
  /** Number of upstreams that never limit their rate. */
  readonly unlimited: number;
  readonly callsPerS: number;
  /** Range of the drawn limits, in calls per second. */
  readonly limits: readonly [number, number];
  /** Mean time between two changes of the limit of an upstream, in milliseconds. */
  readonly changeMs: number;
  /** Share of those changes that end a limit or begin one. */
  readonly endShare: number;
  /** Share of the calls that an upstream turns away with a request for rest, and the rest, in milliseconds. */
  readonly restShare?: number;
  readonly restMs?: number;
  /** Mean time until an upstream states that it leaves; its process ends some seconds later. */
  readonly leavingMs?: number;
  /** Mean time between two restarts of an upstream, in milliseconds. */
  readonly restartMs: number;
  /** Mean time between two losses of the leader, and the longest time without one, in milliseconds. */
  readonly leaderMs: number;
  readonly leaderlessMs: number;
  /** Mean time between two partitions or restarts of hosts, in milliseconds. */
  readonly hostMs: number;
  /** Mean time between two joins of new hosts, in milliseconds. */
  readonly joinMs: number;
  /** Probability that a message, or the answer to it, is lost. */
  readonly lossShare: number;
  readonly durationMs: number;
}

interface Arrival {
  readonly at: number;
  readonly hostKey: string;
  readonly wasTold: boolean;
}

interface Rest {
  readonly hostKey: string;
  readonly from: number;
  readonly to: number;
}

interface LimitChange {
  readonly at: number;
  readonly callsPerS: number | undefined;
}

/** One process of an upstream: the limits that it names, and what reaches it. */
class SimulatedProcess {
  public readonly arrivals: Arrival[] = [];
  public readonly changes: LimitChange[] = [];
  /** Time at which it first named a limit, since it last named none. */
  public namedAt: number | undefined;
  /** Times at which hosts were first told a limit, since it last named none. */
  public readonly toldAt = new Map<string, number>();
  public endedAt = Infinity;
  /** The rests for which it asked hosts. */
  public readonly rests: Rest[] = [];
  /** Time from which it states that it leaves, and the times at which hosts got the first such answer. */
  public leavesAt = Infinity;
  public readonly leavingToldAt = new Map<string, number>();
  /** New calls of hosts that had such an answer long enough. */
  public lateNewCalls = 0;
  /** Largest number of calls beyond the tolerance in any window. */
  public mostExcess = -Infinity;
  /** The same, with the calls of hosts that it had not told. */
  public mostExcessOfAll = -Infinity;

  public constructor(public readonly processId: string) {}

  /** Returns the limit that it names at a time. */
  public getLimit(at: number): number | undefined {
    return this.changes.findLast((change) => change.at <= at)?.callsPerS;
  }

  /** Names another limit from now on, or none. */
  public setLimit(at: number, callsPerS: number | undefined): void {
    this.changes.push({ at, callsPerS });
    if (callsPerS === undefined) {
      this.namedAt = undefined;
      this.toldAt.clear();
    }
  }

  /** Records a call that reaches it, and compares its window with the limits that were named in it. */
  public receive(at: number, hostKey: string): void {
    const toldAt = this.toldAt.get(hostKey) ?? Infinity;
    this.arrivals.push({ at, hostKey, wasTold: at >= toldAt + KNOWN_AFTER_MS });
    const leavingToldAt = this.leavingToldAt.get(hostKey) ?? Infinity;
    this.lateNewCalls += at > leavingToldAt + LEAVING_BINDS_AFTER_MS ? 1 : 0;
    if (this.namedAt === undefined || at < this.namedAt + GRACE_MS) {
      return;
    }
    const from = at - WINDOW_MS;
    const recent = this.arrivals.filter((item) => item.at > from);
    const told = recent.filter(({ wasTold }) => wasTold);
    const tolerated = this.getAllowed(from, at) * TOLERATED_FACTOR + TOLERATED_BURST;
    this.mostExcess = Math.max(this.mostExcess, told.length - tolerated);
    const knownAt = this.namedAt + KNOWN_BY_ALL_AFTER_MS;
    const ofAll = recent.filter((item) => item.wasTold || item.at > knownAt);
    this.mostExcessOfAll = Math.max(this.mostExcessOfAll, ofAll.length - tolerated);
  }

  /** Counts the rests in which more calls than tolerated came from the host that was asked for it. */
  public countBrokenRests(): number {
    const countCalls = ({ from, hostKey, to }: Rest) =>
      this.arrivals.filter(
        (item) => item.hostKey === hostKey && item.at > from + REST_BINDS_AFTER_MS && item.at < to,
      ).length;
    return this.rests.filter((rest) => countCalls(rest) > TOLERATED_IN_REST).length;
  }

  /** Returns the number of calls that the limits allow between two times; a lowered limit applies from when it is known. */
  public getAllowed(from: number, to: number): number {
    let allowed = 0;
    for (let at = from; at < to; at += 50) {
      const recent = this.changes
        .filter((change) => change.at > at - LOWERED_AFTER_MS && change.at <= at)
        .map((change) => change.callsPerS ?? Infinity);
      const before = this.getLimit(at - LOWERED_AFTER_MS) ?? 0;
      allowed += Math.max(before, this.getLimit(at) ?? Infinity, ...recent) * 0.05;
    }
    return allowed;
  }
}

interface Host {
  readonly hostId: string;
  /** Identifies the process of the host. */
  readonly key: string;
  readonly gate: requests.UpstreamGate;
  readonly client: rateGrantClients.RateGrantClient;
  entryHosts: number | undefined;
  partitionedUntil: number;
  isUpdating: boolean;
}

interface Leader {
  readonly coreId: string;
  readonly since: number;
}

/** What became of the calls of a simulation. */
export interface CallCounts {
  served: number;
  refused: number;
  /** Refused although an upstream without a limit could have taken them. */
  refusedWithRoom: number;
  /** Longest time until a call was refused, in milliseconds. */
  slowestRefusalMs: number;
  /** Times after which refused callers were told to return, in seconds. */
  readonly retryAfterS: number[];
  /** The same for callers who were refused while upstreams rest. */
  readonly restRetryAfterS: number[];
}

/**
 * Simulates hosts, a leader and upstreams that limit their rate, on virtual time: where calls are sent, and which
 * messages hosts exchange about the limits.
 */
export class LimitedFleetSimulation {
  public readonly clock = new schemas.VirtualClock();
  public readonly processes: SimulatedProcess[] = [];
  public readonly calls: CallCounts = {
    served: 0,
    refused: 0,
    refusedWithRoom: 0,
    slowestRefusalMs: 0,
    retryAfterS: [],
    restRetryAfterS: [],
  };
  /** Spans in which a leader answered, at least a second after it was elected. */
  public readonly ledSpans: { from: number; to: number }[] = [];
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private readonly current: SimulatedProcess[] = [];
  private readonly hosts: Host[] = [];
  private readonly cores = new Map<string, rateLimitServices.RateLimitService>();
  private leader: Leader | undefined;
  private term = 0;
  private hostCount = 0;
  private processCount = 0;

  public constructor(
    seed: number,
    private readonly options: LimitedFleetOptions,
  ) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
    for (let i = 0; i < options.upstreams; i += 1) {
      this.startProcess(i);
    }
    for (let i = 0; i < CORE_HOSTS; i += 1) {
      const coreId = `core-${i}`;
      const log = new schemas.SilentLog();
      this.cores.set(
        coreId,
        new rateLimitServices.RateLimitService({
          coreId,
          gate: { mergeLimits: () => {} },
          clock: this.clock,
          log,
        }),
      );
    }
    for (let i = 0; i < options.hosts; i += 1) {
      this.addHost(`host-${i}`);
    }
    this.elect();
  }

  /** Runs the simulation. */
  public async simulate(): Promise<void> {
    const { callsPerS, changeMs, durationMs, hostMs, joinMs, leaderMs, restartMs } = this.options;
    for (let at = 0; at < durationMs; at += STEP_MS) {
      const arrivals = (callsPerS * STEP_MS) / 1_000;
      for (let i = 0; i < Math.floor(arrivals); i += 1) {
        void this.arrive();
      }
      this.maybe(STEP_MS / (arrivals % 1), () => {
        void this.arrive();
      });
      this.current.forEach((process, index) => {
        this.maybe(changeMs, () => this.changeLimit(process, index));
        this.maybe(restartMs, () => this.startProcess(index));
        this.maybe(this.options.leavingMs ?? Infinity, () => this.leave(process, index));
      });
      this.maybe(leaderMs, () => this.loseLeader());
      this.maybe(hostMs, () => this.disrupt(this.draw(this.hosts.length)));
      this.maybe(joinMs, () => this.addHost(`host-${this.hostCount}`));
      this.hosts.forEach((host) => {
        void this.update(host);
      });
      await this.clock.advance(STEP_MS);
    }
    this.endSpan();
  }

  /** Returns the largest excess over the tolerance of any upstream, in calls. */
  public getMostExcess(): number {
    return Math.max(...this.processes.map(({ mostExcess }) => mostExcess));
  }

  /** Returns the same for the calls of all hosts, whether an answer had told them the limit or not. */
  public getMostExcessOfAll(): number {
    return Math.max(...this.processes.map(({ mostExcessOfAll }) => mostExcessOfAll));
  }

  /** Returns the share of the limits that was used while a leader answered and every upstream named a limit. */
  public getUsedShare(): number {
    const seconds = this.ledSpans.flatMap(({ from, to }) => {
      const count = Math.max(0, Math.floor((to - from) / 1_000));
      return Array.from({ length: count }, (_, i) => from + i * 1_000);
    });
    const spans = seconds.flatMap((at) => {
      const limited = this.processes.filter((item) => this.isLimitedThroughout(item, at));
      return limited.length === this.options.upstreams ? limited.map((item) => ({ at, item })) : [];
    });
    const used = spans.map(
      ({ at, item }) => item.arrivals.filter((one) => one.at >= at && one.at < at + 1_000).length,
    );
    const allowed = spans.map(({ at, item }) => item.getAllowed(at, at + 1_000));
    return spans.length === 0 ? 1 : sum(used) / sum(allowed);
  }

  /** Counts the rests that hosts have broken. */
  public countBrokenRests(): number {
    return sum(this.processes.map((process) => process.countBrokenRests()));
  }

  /** Counts new calls to upstreams that leave, from hosts that knew it. */
  public countLateNewCalls(): number {
    return sum(this.processes.map(({ lateNewCalls }) => lateNewCalls));
  }

  private isLimitedThroughout(process: SimulatedProcess, at: number): boolean {
    const changes = process.changes.filter(
      (change) => change.at > at - GRACE_MS && change.at <= at + 1_000,
    );
    const before = process.getLimit(at - GRACE_MS);
    return (
      before !== undefined &&
      process.endedAt > at + 1_000 &&
      changes.every(({ callsPerS }) => callsPerS !== undefined)
    );
  }

  private async arrive(): Promise<void> {
    const host = this.hosts[this.draw(this.hosts.length)]!;
    const arrivedAt = this.clock.now();
    const tried = new Set<string>();
    for (;;) {
      const usable = this.current.filter(({ processId }) => !tried.has(processId));
      const open = usable.filter((item) => host.gate.isOpen(createTarget(item)));
      const process = open[this.draw(open.length)];
      if (process === undefined) {
        this.refuse(host, arrivedAt);
        return;
      }
      if (await this.send(host, process)) {
        this.calls.served += 1;
        return;
      }
      if (process.endedAt < Infinity || this.draw(10) === 0) {
        tried.add(process.processId);
      }
    }
  }

  /** Sends a call through the gate of its host; returns whether it was answered. */
  private async send(host: Host, process: SimulatedProcess): Promise<boolean> {
    const target = createTarget(process);
    try {
      host.gate.use(await host.gate.admit(target), target);
    } catch (err) {
      if (err instanceof requests.UpstreamError && err.kind === 'withheld') {
        return false;
      }
      throw err;
    }
    await this.clock.sleep(1 + this.draw(MAX_TRAVEL_MS));
    if (process.endedAt < Infinity) {
      return false;
    }
    process.receive(this.clock.now(), host.key);
    await this.clock.sleep(MIN_RUN_MS + this.draw(RUN_RANGE_MS));
    const isTurnedAway = this.draw(1_000) < (this.options.restShare ?? 0) * 1_000;
    this.answer(host, process, isTurnedAway);
    return !isTurnedAway;
  }

  private answer(host: Host, process: SimulatedProcess, isTurnedAway: boolean): void {
    const now = this.clock.now();
    const callsPerS = process.getLimit(now);
    if (process.endedAt < Infinity || !this.hosts.includes(host)) {
      return;
    }
    if (callsPerS !== undefined) {
      process.namedAt ??= now;
      process.toldAt.set(host.key, process.toldAt.get(host.key) ?? now);
    }
    const limit =
      callsPerS === undefined
        ? ({ kind: 'none' } as const)
        : ({ kind: 'named', callsPerS } as const);
    const isLeaving = process.leavesAt <= now;
    if (isLeaving) {
      process.leavingToldAt.set(host.key, process.leavingToldAt.get(host.key) ?? now);
    }
    const restMs = this.options.restMs ?? 0;
    if (isTurnedAway) {
      process.rests.push({ hostKey: host.key, from: now, to: now + restMs });
    }
    const rest = isTurnedAway ? ({ kind: 'named', restMs } as const) : ({ kind: 'none' } as const);
    host.gate.recordAnswer(createTarget(process), { limit, rest, isLeaving });
  }

  private refuse(host: Host, arrivedAt: number): void {
    const now = this.clock.now();
    this.calls.refused += 1;
    this.calls.refusedWithRoom += this.current.some((item) => item.changes.length === 0) ? 1 : 0;
    this.calls.slowestRefusalMs = Math.max(this.calls.slowestRefusalMs, now - arrivedAt);
    const targets = this.current.map(createTarget);
    const { reason, retryAfterS } = host.gate.describeWait(targets);
    const times = reason === 'rest' ? this.calls.restRetryAfterS : this.calls.retryAfterS;
    times.push(retryAfterS);
  }

  private startProcess(index: number): void {
    const previous = this.current[index];
    if (previous !== undefined) {
      previous.endedAt = this.clock.now();
    }
    this.processCount += 1;
    const process = new SimulatedProcess(`p${this.processCount}`);
    this.current[index] = process;
    this.processes.push(process);
    if (this.draw(2) === 0 || this.options.endShare === 0) {
      this.changeLimit(process, index);
    }
  }

  private leave(process: SimulatedProcess, index: number): void {
    if (process.leavesAt === Infinity) {
      process.leavesAt = this.clock.now();
      void this.clock.sleep(LEAVING_SERVES_MS).then(() => {
        if (process.endedAt === Infinity) {
          this.startProcess(index);
        }
      });
    }
  }

  private changeLimit(process: SimulatedProcess, index: number): void {
    if (index < this.options.unlimited) {
      return;
    }
    const [lowest, highest] = this.options.limits;
    const isEnding = this.draw(1_000) < this.options.endShare * 1_000;
    const drawn = lowest + (this.draw(1_000) / 1_000) * (highest - lowest);
    const isNamed = process.getLimit(this.clock.now()) !== undefined;
    process.setLimit(this.clock.now(), isEnding && isNamed ? undefined : drawn);
  }

  private addHost(hostId: string): void {
    this.hostCount += 1;
    const log = new schemas.SilentLog();
    const { clock } = this;
    const client = new rateGrantClients.RateGrantClient({
      hostId,
      mesh: { get: (coreId: string) => this.createApi(host, coreId) } as never,
      listCores: () => [...this.cores.keys()],
      findLeader: () => (this.reaches(host) ? this.leader?.coreId : undefined),
      clock,
      log,
    });
    const gate = new requests.UpstreamGate({
      grantor: client,
      share: new requests.LeaderlessRateShare(hostId, () => host.entryHosts),
      clock,
      log,
      random: () => this.draw(1_000) / 1_000,
      count: () => {},
    });
    const host: Host = {
      hostId,
      key: `${hostId}/${this.hostCount}`,
      gate,
      client,
      entryHosts: undefined,
      partitionedUntil: 0,
      isUpdating: false,
    };
    this.hosts.push(host);
  }

  /** Restarts a host, which loses its memory, or cuts it off from the leader. */
  private disrupt(index: number): void {
    const host = this.hosts[index]!;
    if (this.draw(2) === 0) {
      this.hosts.splice(index, 1);
      this.addHost(host.hostId);
    } else {
      host.partitionedUntil = this.clock.now() + 500 + this.draw(6_000);
    }
  }

  private elect(): void {
    this.term += 1;
    const coreId = `core-${this.term % CORE_HOSTS}`;
    this.cores.get(coreId)!.startLeading(this.term);
    this.leader = { coreId, since: this.clock.now() };
  }

  private loseLeader(): void {
    this.endSpan();
    this.leader = undefined;
    const { leaderlessMs } = this.options;
    void this.clock.sleep(300 + this.draw(leaderlessMs)).then(() => {
      if (this.leader === undefined) {
        this.elect();
      }
    });
  }

  private endSpan(): void {
    if (this.leader !== undefined) {
      this.ledSpans.push({ from: this.leader.since + 1_000, to: this.clock.now() });
    }
  }

  private reaches(host: Host): boolean {
    return host.partitionedUntil <= this.clock.now() && this.hosts.includes(host);
  }

  private isLost(): boolean {
    return this.draw(1_000) < this.options.lossShare * 1_000;
  }

  /** Creates a host's access to a core host; a request or its answer may be lost. */
  private createApi(host: Host, coreId: string) {
    const service = this.cores.get(coreId)!;
    const request = async <T>(act: () => T): Promise<T> => {
      const isArriving = this.reaches(host) && !this.isLost();
      await this.clock.sleep(1 + this.draw(MAX_TRAVEL_MS));
      if (isArriving) {
        const answer = act();
        await this.clock.sleep(1 + this.draw(MAX_TRAVEL_MS));
        if (this.reaches(host) && !this.isLost()) {
          return answer;
        }
      }
      await this.clock.sleep(DEADLINE_MS);
      throw new Error('no answer');
    };
    return {
      grantSend: {
        mutate: (req: never) =>
          request(() => {
            if (this.leader?.coreId !== coreId) {
              throw new Error('not the leader');
            }
            return service.grant(req);
          }),
      },
      reportLimits: { mutate: (req: never) => request(() => service.report(req)) },
    };
  }

  /** Delivers the updates of the leader, or else of any core host, to a host that lacks them. */
  private async update(host: Host): Promise<void> {
    const { clock, leader } = this;
    const isPolling = leader !== undefined || this.draw(LEADERLESS_POLL_MS / STEP_MS) === 0;
    if (!this.reaches(host) || host.isUpdating || !isPolling) {
      return;
    }
    const coreId = leader?.coreId ?? `core-${this.draw(CORE_HOSTS)}`;
    host.entryHosts = leader === undefined ? host.entryHosts : this.hosts.length;
    const updates = this.cores.get(coreId)!.findUpdates(host.client.getCursor());
    if (updates !== undefined) {
      host.isUpdating = true;
      await clock.sleep(1 + this.draw(MAX_TRAVEL_MS));
      host.isUpdating = false;
      if (this.reaches(host)) {
        host.client.applyUpdates(updates, host.gate);
      }
    }
  }

  private maybe(meanMs: number, act: () => void): void {
    if (Number.isFinite(meanMs) && this.draw(1_000_000) < (STEP_MS / meanMs) * 1_000_000) {
      act();
    }
  }

  private draw(count: number): number {
    return count <= 0 ? 0 : Math.floor(((this.rng.next() >>> 0) / 2 ** 32) * count);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function createTarget({ processId }: SimulatedProcess): requests.GatedUpstream {
  return { upstreamId: processId };
}
