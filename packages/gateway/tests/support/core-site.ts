import type * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as coreDiscoveries from '../../src/core-discovery.js';
import * as coreGroups from '../../src/core-group.js';
import type * as coreMeshes from '../../src/core-mesh.js';
import * as coreHostRegistries from '../../src/core-host-registry.js';

/** Maximum latency of a message, in milliseconds. */
const MAX_LATENCY_MS = 3;

/** Deadline of a request between core hosts, in milliseconds. */
const PEER_DEADLINE_MS = 500;

/** Duration of a disk's sync, in milliseconds. */
const SYNC_MS = 5;

/** Time for which an operator retries until an acknowledgment, in milliseconds. */
const OPERATOR_TIMEOUT_MS = 10_000;

/** Delay before an operator's retry, in milliseconds. */
const OPERATOR_RETRY_MS = 50;

/** Number of hosts that the settings of one host name. */
const SEED_COUNT = 3;

/** A log line with the time at which it was written. */
export interface LogLine {
  readonly at: number;
  readonly coreId: string;
  readonly fields: Record<string, unknown>;
}

interface Host {
  readonly coreId: string;
  readonly group: coreGroups.CoreGroup;
  readonly discovery: coreDiscoveries.CoreDiscovery;
  readonly files: fakes.MemoryFiles;
  readonly disk: SlowFiles;
  isUp: boolean;
}

/** A disk whose syncs take some time, so that changes occur between them; on a hanging disk they never end. */
class SlowFiles implements consensus.FileStorage {
  public isHanging = false;

  public constructor(
    private readonly files: fakes.MemoryFiles,
    private readonly clock: schemas.Clock,
  ) {}

  public read(name: string): Promise<Buffer | undefined> {
    return this.files.read(name);
  }

  public append(name: string, bytes: Buffer): Promise<void> {
    return this.files.append(name, bytes);
  }

  public async sync(name: string): Promise<void> {
    await this.wait();
    await this.files.sync(name);
  }

  public truncate(name: string, length: number): Promise<void> {
    return this.files.truncate(name, length);
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    await this.wait();
    await this.files.replace(name, bytes);
  }

  private wait(): Promise<void> {
    return this.isHanging ? new Promise(() => {}) : this.clock.sleep(SYNC_MS);
  }
}

/** The consensus members of core hosts in one process on virtual time; messages are lost only with their hosts. */
export class CoreSite {
  public readonly clock = new schemas.VirtualClock();
  public readonly lines: LogLine[] = [];
  /** Highest version that was acknowledged to an operator. */
  public acknowledged = 0;
  private readonly hosts = new Map<string, Host>();
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private founders: readonly string[] = [];
  private version = 0;

  public constructor(
    seed: number,
    private readonly lossesToBear: number,
  ) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
  }

  /** Starts all hosts for the first time; the first three are the founders of the log. */
  public async start(coreIds: readonly string[]): Promise<void> {
    this.founders = coreIds.slice(0, SEED_COUNT);
    coreIds.forEach((coreId) => this.startHost(coreId, new fakes.MemoryFiles(), this.founders));
    await this.clock.advance(4_000);
    await this.declare();
  }

  /** Adds a host with an empty disk. */
  public add(coreId: string): void {
    this.startHost(coreId, new fakes.MemoryFiles(), []);
  }

  /** Kills a host as a power loss does. */
  public kill(coreId: string): void {
    const host = this.hosts.get(coreId);
    if (host === undefined) {
      return;
    }
    host.isUp = false;
    host.discovery.stop();
    host.group.stop();
    host.files.crashAfter(0, 0);
  }

  /** Makes a host's disk hang from now on; the host itself continues. */
  public hangDisk(coreId: string): void {
    this.hosts.get(coreId)!.disk.isHanging = true;
  }

  /** Stops a host gracefully; returns the duration, in milliseconds. */
  public async stopHost(coreId: string): Promise<number> {
    const { discovery, group } = this.hosts.get(coreId)!;
    const startedAt = this.clock.now();
    const done: number[] = [];
    void group.membership.leave().then(() => done.push(this.clock.now() - startedAt));
    discovery.announceAll();
    while (done.length === 0) {
      await this.clock.advance(1);
    }
    this.kill(coreId);
    return done[0]!;
  }

  /** Lists the voters according to the leader. */
  public listVoters(): string[] {
    const leader = this.hosts.get(this.findLeader() ?? '');
    const voters = leader?.group.getVoter().entries.getVoters() ?? [];
    return voters.map((slot) => slot.daemonId).sort();
  }

  /** Restarts a killed host, with its disk or with an empty one. */
  public restart(coreId: string, isWiped = false): void {
    const files = isWiped ? new fakes.MemoryFiles() : this.hosts.get(coreId)!.files.reopen();
    this.startHost(coreId, files, []);
  }

  /** Lists the running hosts. */
  public listUp(): string[] {
    return [...this.hosts.values()].filter((host) => host.isUp).map((host) => host.coreId);
  }

  /** Returns the leader that a majority has confirmed. */
  public findLeader(): string | undefined {
    return [...this.hosts.values()].find((host) => host.isUp && host.group.isLeading())?.coreId;
  }

  /** Declares the next version; returns whether it was acknowledged in time. */
  public async declare(): Promise<boolean> {
    this.version += 1;
    const { version } = this;
    const result = await this.retryAtLeader(async (group) => {
      await group.getLeadership().propose({ version, text: `v${version}` });
      return true;
    });
    if (result === true) {
      this.acknowledged = Math.max(this.acknowledged, version);
    }
    return result ?? false;
  }

  /** Orders the evacuation of a zone or its end; returns whether it was acknowledged in time. */
  public async evacuate(availabilityZone: string, isEvacuated: boolean): Promise<boolean> {
    const result = await this.retryAtLeader(async (group) => {
      const expectedRevision = group.evacuations.get().revision;
      const entry = { evacuation: { availabilityZone, isEvacuated, expectedRevision } };
      await group.getLeadership().barrier();
      const { result: outcome } = await group.getLeadership().propose(entry);
      if (outcome === 'stale') {
        throw new Error('stale');
      }
      return true;
    });
    return result ?? false;
  }

  /** Reads the evacuated zones; `undefined` if no leader answers in time. */
  public readEvacuatedZones(): Promise<readonly string[] | undefined> {
    return this.retryAtLeader(async (group) => {
      await group.getLeadership().barrier();
      return group.evacuations.get().zones;
    });
  }

  /** Lists the revision of the evacuated zones on every running host. */
  public listRevisions(): ReadonlyMap<string, number> {
    const up = [...this.hosts.values()].filter((host) => host.isUp);
    return new Map(up.map((host) => [host.coreId, host.group.evacuations.get().revision]));
  }

  /** Reads the version in force; `undefined` if no leader answers in time. */
  public read(): Promise<number | undefined> {
    return this.retryAtLeader(async (group) => {
      await group.getLeadership().barrier();
      return group.state.get()?.version ?? 0;
    });
  }

  /** Returns the time of the first matching log line; `undefined` if there is none. */
  public findAt(isMatch: (fields: Record<string, unknown>) => boolean): number | undefined {
    return this.lines.find(({ fields }) => isMatch(fields))?.at;
  }

  /** Kills every host. */
  public stop(): void {
    [...this.hosts.keys()].forEach((coreId) => this.kill(coreId));
  }

  /** Sends a request to the leader repeatedly while virtual time advances, until one succeeds. */
  private async retryAtLeader<T>(
    work: (group: coreGroups.CoreGroup) => Promise<T>,
  ): Promise<T | undefined> {
    const end = this.clock.now() + OPERATOR_TIMEOUT_MS;
    const answers: T[] = [];
    while (answers.length === 0 && this.clock.now() < end) {
      const leader = this.findLeader();
      if (leader !== undefined) {
        void work(this.hosts.get(leader)!.group).then(
          (value) => answers.push(value),
          () => {},
        );
      }
      await this.clock.advance(OPERATOR_RETRY_MS);
    }
    return answers[0];
  }

  private startHost(coreId: string, files: fakes.MemoryFiles, founders: readonly string[]): void {
    const { clock } = this;
    const log = this.createLog(coreId);
    const disk = new SlowFiles(files, clock);
    const registry = new coreHostRegistries.CoreHostRegistry(coreId, clock);
    const mesh = this.createPeers(coreId);
    // A replacement is in the zone of the host that it replaces.
    const availabilityZone = coreId.charAt(0);
    const group = new coreGroups.CoreGroup({
      coreId,
      availabilityZone,
      founders,
      voterSlotCount: 2 * this.lossesToBear + 1,
      openFiles: async () => Promise.resolve(disk),
      mesh,
      registry,
      clock,
      log,
      random: () => this.random(),
    });
    // A host's settings name hosts that run when the settings are written, not always the first ones: in the third
    // round of losses none of those is left, and a host with only their names could reach no other.
    const others = this.listUp().filter((other) => other !== coreId);
    const seeds = founders.length > 0 ? founders : others.slice(0, SEED_COUNT);
    const listSeeds = () => seeds;
    const discovery = new coreDiscoveries.CoreDiscovery({
      coreId,
      availabilityZone,
      group,
      registry,
      mesh,
      listSeeds,
      clock,
      log,
    });
    this.hosts.set(coreId, { coreId, group, discovery, files, disk, isUp: true });
    void discovery.run();
    void group.run();
  }

  private createPeers(from: string): coreMeshes.CorePeers {
    const call = <Req, Res>(to: string, handle: (host: Host, req: Req) => Promise<Res> | Res) => ({
      mutate: (req: Req) => this.send(from, to, async (host) => handle(host, structuredClone(req))),
    });
    const get = (to: string) => ({
      genesis: call(to, ({ group }) => group.getIdentity()),
      found: call(to, ({ group }, req: consensus.FoundingReq) => group.handleFounding(req)),
      vote: call(to, ({ group }, req: consensus.VoteReq) => group.getVoter().handleVote(req)),
      append: call(to, ({ group }, req: consensus.AppendReq) => group.getVoter().handleAppend(req)),
      snapshot: call(to, ({ group }, req: consensus.SnapshotReq) =>
        group.getVoter().handleSnapshot(req),
      ),
      hello: call(to, ({ discovery }, req: Parameters<typeof discovery.handleHello>[0]) =>
        discovery.handleHello(req),
      ),
    });
    return { get: (to) => get(to) as unknown as coreMeshes.CoreApi };
  }

  private async send<T>(from: string, to: string, handle: (host: Host) => Promise<T>): Promise<T> {
    const sender = this.hosts.get(from)!;
    const late = new AbortController();
    const timeout = this.clock.sleep(PEER_DEADLINE_MS, late.signal).then(() => {
      throw new Error('deadline');
    });
    try {
      return await Promise.race([timeout, this.deliver(sender, to, handle)]);
    } finally {
      late.abort(new Error('answered'));
    }
  }

  private async deliver<T>(
    sender: Host,
    to: string,
    handle: (host: Host) => Promise<T>,
  ): Promise<T> {
    await this.clock.sleep(this.random() * MAX_LATENCY_MS);
    const host = this.hosts.get(to);
    if (host === undefined || !areUp(host, sender)) {
      return new Promise(() => {});
    }
    const answer = await handle(host);
    await this.clock.sleep(this.random() * MAX_LATENCY_MS);
    return areUp(host, sender) ? answer : new Promise(() => {});
  }

  private createLog(coreId: string): schemas.Log {
    const note = (fields: object) => {
      const at = this.clock.now();
      this.lines.push({ at, coreId, fields: fields as Record<string, unknown> });
    };
    return { debug: () => {}, info: note, warn: note, error: note };
  }

  private random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }
}

function areUp(...hosts: readonly Host[]): boolean {
  return hosts.every((host) => host.isUp);
}
