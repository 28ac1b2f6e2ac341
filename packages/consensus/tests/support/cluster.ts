import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as slowDisks from './slow-disk.js';

const TIMINGS: consensus.Timings = { electionMs: 300, leaseMs: 200 };

/** Time until a voter whose disk failed is opened again, in milliseconds. */
const REOPEN_MS = 500;

/** Deadline of a request, in milliseconds. */
const DEADLINE_MS = 150;

interface Node {
  readonly daemonId: string;
  files: fakes.MemoryFiles;
  /** The condition of its disk, also after a restart. */
  readonly disk: slowDisks.DiskCondition;
  voter: consensus.Voter | undefined;
  applied: string[];
  abort: AbortController;
}

/** Faults of the links. */
export interface LinkFaults {
  /** Probability that a message is lost, from 0 to 1. */
  lossRate: number;
  /** Probability that a request is duplicated, from 0 to 1. */
  duplicateRate: number;
  maxDelayMs: number;
}

/** Voters in one process, on virtual time, with links that lose, duplicate, delay and reorder messages. */
export class Cluster {
  public readonly clock = new schemas.VirtualClock();
  public readonly nodes = new Map<string, Node>();
  public readonly faults: LinkFaults = { lossRate: 0, duplicateRate: 0, maxDelayMs: 5 };
  public snapshotEvery = 50;
  /** Largest request that a voter accepts, in bytes. */
  public maxRequestBytes = Infinity;
  /** Bandwidth from one voter to another, in bytes per millisecond. */
  public linkBytesPerMs = Infinity;
  private readonly blockedLinks = new Set<string>();
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private isSyncBroken = false;

  public constructor(
    private readonly firstVoters: readonly string[],
    seed: number,
  ) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
  }

  /** Returns a random number in [0, 1). */
  public random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }

  /** Makes `sync` a no-op, to validate that the history check detects it. */
  public breakSync(): void {
    this.isSyncBroken = true;
  }

  /** Starts all initial voters. */
  public async startAll(): Promise<void> {
    this.firstVoters.forEach((id) => this.start(id));
    await this.clock.advance(2_000);
  }

  /** Starts a voter with its existing files, or with none. */
  public start(daemonId: string): void {
    const files = this.nodes.get(daemonId)?.files.reopen() ?? new fakes.MemoryFiles();
    if (this.isSyncBroken) {
      files.disableSync();
    }
    const node: Node = {
      daemonId,
      files,
      disk: this.nodes.get(daemonId)?.disk ?? { delayMs: 0, heldUntil: 0, isFull: false },
      voter: undefined,
      applied: [],
      abort: new AbortController(),
    };
    this.nodes.set(daemonId, node);
    void this.run(node).catch(() => {
      node.voter?.stop();
    });
  }

  /** Kills a voter; a random part of its unsynced bytes survives. */
  public kill(daemonId: string): void {
    const node = this.nodes.get(daemonId);
    node?.abort.abort(new Error('killed'));
    node?.voter?.stop();
    node?.files.crashAfter(0, this.random());
  }

  /** Kills a voter and erases its disk. */
  public loseDisk(daemonId: string): void {
    this.kill(daemonId);
    this.nodes.get(daemonId)?.files.wipe();
  }

  /** Makes a voter crash at the n-th file operation from now. */
  public crashInWrite(daemonId: string, calls: number): void {
    this.nodes.get(daemonId)?.files.crashAfter(calls, this.random());
  }

  /** Blocks messages from one voter to another. */
  public block(from: string, to: string): void {
    this.blockedLinks.add(`${from}>${to}`);
  }

  /** Partitions a voter from all others, in both directions. */
  public isolate(daemonId: string): void {
    this.nodes.forEach((_, other) => {
      this.block(daemonId, other);
      this.block(other, daemonId);
    });
  }

  /** Unblocks all links. */
  public heal(): void {
    this.blockedLinks.clear();
  }

  /** Changes the condition of a voter's disk. */
  public changeDisk(daemonId: string, condition: Partial<slowDisks.DiskCondition>): void {
    Object.assign(this.nodes.get(daemonId)?.disk ?? {}, condition);
  }

  /** The voters that currently consider themselves leader. */
  public listLeaders(): consensus.Voter[] {
    return [...this.nodes.values()].flatMap((node) => (node.voter?.isLeader() ? [node.voter] : []));
  }

  /** The leader with the highest term. */
  public findLeader(): consensus.Voter | undefined {
    return this.listLeaders().sort((a, b) => b.term - a.term)[0];
  }

  /** The commands that a voter has applied. */
  public getApplied(daemonId: string): readonly string[] {
    return this.nodes.get(daemonId)?.applied ?? [];
  }

  private async run(node: Node): Promise<void> {
    const identity = await consensus.openIdentity(node.files);
    const genesis = await consensus.agreeGenesis({
      files: node.files,
      identity,
      daemonId: node.daemonId,
      founders: this.firstVoters,
      listPeers: () => this.firstVoters,
      fetchGenesis: (peer) =>
        this.send(node.daemonId, peer, (other) => consensus.openIdentity(other.files)),
      clock: this.clock,
      signal: node.abort.signal,
    });
    while (!node.abort.signal.aborted) {
      await this.runVoter(node, genesis);
      await this.clock.sleep(REOPEN_MS);
    }
  }

  /** Runs a voter until it stops, since its disk failed. */
  private async runVoter(node: Node, genesis: consensus.Genesis): Promise<void> {
    node.applied = [];
    node.voter = await consensus.Voter.create({
      daemonId: node.daemonId,
      genesis,
      wal: new consensus.Wal(new slowDisks.SlowDisk(node.files, this.clock, node.disk)),
      machine: {
        apply: (entry) => {
          node.applied.push(getCommandId(entry.data));
          return node.applied.length;
        },
        getSnapshot: () => [...node.applied],
        restore: (state) => {
          node.applied = [...(state as string[])];
        },
      },
      transport: {
        vote: (peer, req) => this.send(node.daemonId, peer, (o) => getVoter(o).handleVote(req)),
        append: (peer, req) =>
          this.sendLarge(node.daemonId, peer, req, (o, copy) => getVoter(o).handleAppend(copy)),
        snapshot: (peer, req) =>
          this.sendLarge(node.daemonId, peer, req, (o, copy) => getVoter(o).handleSnapshot(copy)),
      },
      clock: this.clock,
      log: new schemas.SilentLog(),
      timings: TIMINGS,
      random: () => this.random(),
      snapshotEvery: this.snapshotEvery,
    });
    await consensus.runElections(node.voter, node.abort.signal).catch(() => node.voter?.stop());
  }

  /** Sends a request that takes its time on the link; its deadline is put off while it makes progress. */
  private async sendLarge<Req, Res>(
    from: string,
    to: string,
    req: Req,
    handle: (node: Node, copy: Req) => Promise<Res>,
  ): Promise<Res> {
    const bytes = schemas.estimateEncodedBytes(req);
    if (bytes > this.maxRequestBytes) {
      throw new Error(`a request of ${bytes} bytes`);
    }
    const copy = structuredClone(req);
    const linkMs = bytes / this.linkBytesPerMs;
    return this.send(
      from,
      to,
      async (node) => {
        await this.clock.sleep(linkMs);
        // The receiver may have been killed meanwhile.
        return node.abort.signal.aborted ? this.never() : handle(node, copy);
      },
      DEADLINE_MS + linkMs,
    );
  }

  private async send<T>(
    from: string,
    to: string,
    handle: (node: Node) => Promise<T>,
    deadlineMs = DEADLINE_MS,
  ): Promise<T> {
    const timeout = this.clock.sleep(deadlineMs).then(() => {
      throw new Error('deadline');
    });
    const times = this.random() < this.faults.duplicateRate ? 2 : 1;
    const deliveries = Array.from({ length: times }, () => this.deliver(from, to, handle));
    return Promise.race([timeout, ...deliveries]);
  }

  private async deliver<T>(
    from: string,
    to: string,
    handle: (node: Node) => Promise<T>,
  ): Promise<T> {
    await this.transmit(from, to);
    const node = this.nodes.get(to);
    if (node === undefined || node.abort.signal.aborted) {
      return this.never();
    }
    const answer = await handle(node).catch(() => this.never<T>());
    await this.transmit(to, from);
    return answer;
  }

  private async transmit(from: string, to: string): Promise<void> {
    await this.clock.sleep(this.random() * this.faults.maxDelayMs);
    if (this.blockedLinks.has(`${from}>${to}`) || this.random() < this.faults.lossRate) {
      await this.never();
    }
  }

  private never<T>(): Promise<T> {
    return new Promise(() => {});
  }
}

function getCommandId(data: unknown): string {
  return typeof data === 'object' && data !== null ? (data as { id: string }).id : String(data);
}

function getVoter(node: Node): consensus.Voter {
  if (node.voter === undefined) {
    throw new Error('voter has not started yet');
  }
  return node.voter;
}
