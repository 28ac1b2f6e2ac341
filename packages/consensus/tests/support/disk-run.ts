import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as fc from 'fast-check';

import * as followers from './follower.js';
import * as heldDisks from './held-disk.js';

/** Number of entries after which the follower compacts its log. */
const SNAPSHOT_EVERY = 8;

/** Exchanges within which a follower with a sound disk has all entries. */
const MAX_CATCH_UP_EXCHANGES = 40;

const [LEADER, , CANDIDATE] = followers.VOTERS as [
  consensus.VoterSlot,
  consensus.VoterSlot,
  consensus.VoterSlot,
];

/** One step of a run: what the leaders send, or what becomes of the disk. */
export type Step =
  | { readonly kind: 'write'; readonly count: number; readonly isCommitted: boolean }
  | { readonly kind: 'elect'; readonly dropped: number; readonly asksVote: boolean }
  | { readonly kind: 'append'; readonly count: number }
  | { readonly kind: 'snapshot'; readonly behind: number }
  | { readonly kind: 'repeat'; readonly back: number }
  | { readonly kind: 'hold'; readonly operations: readonly heldDisks.DiskOperation[] }
  | { readonly kind: 'release'; readonly count: number }
  | { readonly kind: 'space'; readonly freeBytes: number }
  | { readonly kind: 'power-failure'; readonly tornShare: number };

const operations = ['append', 'sync', 'replace'] as const;

/** Any step; those that make requests overlap are the likeliest. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('write' as const),
      count: fc.oneof(
        { weight: 4, arbitrary: fc.integer({ min: 1, max: 6 }) },
        { weight: 1, arbitrary: fc.integer({ min: 90, max: 130 }) },
      ),
      isCommitted: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('elect' as const),
      dropped: fc.nat(4),
      asksVote: fc.boolean(),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('append' as const),
      count: fc.oneof(fc.nat(8), fc.constant(200)),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('snapshot' as const), behind: fc.nat(6) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('repeat' as const), back: fc.nat(5) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('hold' as const),
      operations: fc.oneof(fc.constant(operations), fc.subarray([...operations])),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      count: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('space' as const),
      freeBytes: fc.constantFrom(0, 400, Infinity, Infinity, Infinity),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('power-failure' as const),
      tornShare: fc.double({ min: 0, max: 1, noNaN: true }),
    }),
  },
);

/** What the follower has acknowledged: the log of a term's leader up to an index. */
interface Acknowledgment {
  readonly term: number;
  readonly match: number;
}

type Running = Awaited<ReturnType<typeof followers.startFollower>>;

/**
 * One follower on a disk with faults, and the leaders of successive terms. The other two voters have whatever counts as
 * committed. Checks after each step that a power failure would leave all that the follower has acknowledged.
 */
export class DiskRun {
  public readonly violations: string[] = [];
  public acknowledged = 0;
  public granted = 0;
  private log: consensus.Entry[] = [];
  private readonly logs = new Map<number, consensus.Entry[]>();
  private term = 1;
  private committed = 0;
  private nextIndex = 1;
  /** The follower's commit index after the step before. */
  private commitIndex = 0;
  private readonly acknowledgments: Acknowledgment[] = [];
  private readonly sent: (() => Promise<unknown>)[] = [];

  private constructor(private running: Running) {
    this.logs.set(this.term, this.log);
  }

  /** Starts a run with an empty log. */
  public static async start(): Promise<DiskRun> {
    return new DiskRun(await startFollower(new fakes.MemoryFiles()));
  }

  /** Carries out one step, lets the work settle, and checks the disk and the state. */
  public async carryOut(step: Step): Promise<void> {
    await this.perform(step);
    await heldDisks.settle();
    if (this.running.voter.stopped) {
      // As a core host does, the voter is opened again from what the disk holds.
      await this.restart(this.running.files.restart());
    }
    await this.checkDisk();
    this.checkState();
  }

  /** Makes the disk sound and checks that the follower gets all entries. */
  public async finish(): Promise<void> {
    await this.running.disk.releaseAll();
    this.running.disk.freeBytes = Infinity;
    await this.carryOut({ kind: 'elect', dropped: 0, asksVote: false });
    this.committed = this.log.length;
    for (let i = 0; i < MAX_CATCH_UP_EXCHANGES; i += 1) {
      await this.carryOut({ kind: 'append', count: 1_000 });
    }
    const { state, voter } = this.running;
    if (voter.commitIndex < this.committed || state.applied.length < this.countCommands()) {
      this.violations.push(
        `the follower ends at ${voter.commitIndex} of ${this.committed}, base ${voter.entries.baseIndex}`,
      );
    }
  }

  private async perform(step: Step): Promise<void> {
    const { disk, files } = this.running;
    switch (step.kind) {
      case 'write':
        this.log.push(
          ...followers.createEntries(this.term, this.log.length + 1, this.log.length + step.count),
        );
        this.committed = step.isCommitted ? this.log.length : this.committed;
        break;
      case 'elect':
        await this.elect(step.dropped, step.asksVote);
        break;
      case 'append':
        this.send(this.createAppend(step.count));
        break;
      case 'snapshot':
        this.sendSnapshot(this.committed - step.behind);
        break;
      case 'repeat':
        void this.sent.at(-1 - step.back)?.();
        break;
      case 'hold':
        disk.hold(...step.operations);
        break;
      case 'release':
        for (let i = 0; i < step.count; i += 1) {
          await disk.releaseOne();
        }
        break;
      case 'space':
        disk.freeBytes = step.freeBytes;
        break;
      default:
        files.crashAfter(0, step.tornShare);
        this.running.voter.stop();
        await this.restart(files.reopen());
        break;
    }
  }

  /** Starts the next term, whose leader has all committed entries and may lack some others. */
  private async elect(dropped: number, asksVote: boolean): Promise<void> {
    const { clock, files, voter } = this.running;
    this.term += 1;
    this.log = this.log.slice(0, Math.max(this.committed, this.log.length - dropped));
    const { term } = this;
    if (asksVote) {
      await clock.advance(2 * followers.ELECTION_MS);
      const last = this.log.at(-1);
      const req: consensus.VoteReq = {
        pre: false,
        term,
        candidate: CANDIDATE,
        lastIndex: last?.index ?? 0,
        lastTerm: last?.term ?? 0,
      };
      voter.handleVote(req).then(
        async ({ granted }) => {
          if (granted && files === this.running.files) {
            await this.checkVote(term);
          }
        },
        () => {},
      );
    }
    const noop: consensus.Entry = { index: this.log.length + 1, term, kind: 'noop', data: null };
    this.log.push(noop);
    this.logs.set(term, this.log);
    this.nextIndex = this.log.length;
  }

  private createAppend(count: number): consensus.AppendReq {
    const prev = this.log[this.nextIndex - 2];
    const entries = this.log.slice(this.nextIndex - 1, this.nextIndex - 1 + count);
    return followers.createAppend(
      this.term,
      { index: this.nextIndex - 1, term: prev?.term ?? 0 },
      entries,
      this.committed,
    );
  }

  private send(req: consensus.AppendReq): void {
    this.transmit(req.term, (voter) => voter.handleAppend(req));
  }

  private sendSnapshot(lastIndex: number): void {
    const last = this.log[lastIndex - 1];
    if (last === undefined) {
      return;
    }
    const req: consensus.SnapshotReq = {
      term: this.term,
      leader: LEADER.daemonId,
      lastIndex,
      lastTerm: last.term,
      voters: followers.VOTERS,
      state: this.listCommands(lastIndex),
    };
    this.transmit(req.term, (voter) => voter.handleSnapshot(req));
  }

  private transmit(
    term: number,
    request: (voter: consensus.Voter) => Promise<consensus.AppendRes>,
  ): void {
    const deliver = async () => {
      const { files, voter } = this.running;
      const res = await request(voter).catch(() => undefined);
      // The answer of a process that has ended meanwhile reaches nobody.
      if (res !== undefined && files === this.running.files) {
        await this.handleResponse(term, res);
      }
    };
    this.sent.push(deliver);
    void deliver();
  }

  private async handleResponse(
    term: number,
    { hint, match, ok }: consensus.AppendRes,
  ): Promise<void> {
    if (ok) {
      this.acknowledged += 1;
      this.acknowledgments.push({ term, match });
      await this.checkDisk();
    }
    if (term === this.term) {
      this.nextIndex = ok ? Math.max(this.nextIndex, match + 1) : Math.max(1, hint + 1);
      this.nextIndex = Math.min(this.nextIndex, this.log.length + 1);
    }
  }

  /** Checks that the disk holds what was acknowledged, as far as the current leader has it, too. */
  private async checkDisk(): Promise<void> {
    const { entries, snapshot } = await new consensus.Wal(this.running.files.reopen()).recover();
    const base = snapshot?.lastIndex ?? 0;
    const durable = [...this.log.slice(0, base), ...entries];
    const isContiguous = entries.every(({ index }, i) => index === base + 1 + i);
    if (!isContiguous) {
      this.violations.push(`the disk has a gap after entry ${base}`);
    }
    if (base > this.committed) {
      this.violations.push(`the snapshot ${base} covers uncommitted entries`);
    }
    this.acknowledgments.forEach(({ match, term }) => {
      const acknowledged = this.logs.get(term)!.slice(0, match);
      const lost = acknowledged.findIndex(
        (entry, i) => this.log[i]?.term === entry.term && durable[i]?.term !== entry.term,
      );
      if (lost >= 0) {
        this.violations.push(
          `entry ${lost + 1} of ${match}, acknowledged in term ${term}, is lost`,
        );
      }
    });
  }

  private async checkVote(term: number): Promise<void> {
    this.granted += 1;
    const durable = await new consensus.Wal(this.running.files.reopen()).recover();
    if (durable.term < term) {
      this.violations.push(`the vote of term ${term} is not on the disk`);
    }
  }

  private checkState(): void {
    const { applied } = this.running.state;
    const { commitIndex } = this.running.voter;
    if (commitIndex < this.commitIndex) {
      this.violations.push(`the commit index goes back from ${this.commitIndex} to ${commitIndex}`);
    }
    this.commitIndex = commitIndex;
    const committed = this.listCommands(this.committed);
    if (applied.some((command, i) => command !== committed[i])) {
      this.violations.push(`${applied.length} commands are applied, not all of them committed`);
    }
  }

  private listCommands(lastIndex: number): string[] {
    return this.log
      .slice(0, lastIndex)
      .flatMap(({ data, kind }) => (kind === 'command' ? [data as string] : []));
  }

  private countCommands(): number {
    return this.listCommands(this.committed).length;
  }

  private async restart(files: fakes.MemoryFiles): Promise<void> {
    const { disk } = this.running;
    this.running = await startFollower(files);
    this.commitIndex = 0;
    this.running.disk.freeBytes = disk.freeBytes;
  }
}

function startFollower(files: fakes.MemoryFiles): Promise<Running> {
  return followers.startFollower({ files, snapshotEvery: SNAPSHOT_EVERY });
}
