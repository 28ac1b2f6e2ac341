import * as schemas from '@bramleyridge/schemas';

import * as entryLogs from './entry-log.js';
import type * as genesisFile from './genesis.js';
import * as leaderships from './leadership.js';
import type * as types from './types.js';
import type * as wals from './wal.js';

/** How many entries are kept before a snapshot takes their place. */
const SNAPSHOT_EVERY = 1_000;

/** How many entries stay behind a snapshot, so that a follower slightly behind needs no snapshot. */
const KEEP_BEHIND = 200;

/** What a voter is made of. */
export interface VoterOptions {
  readonly daemonId: string;
  readonly genesis: genesisFile.Genesis;
  readonly wal: wals.Wal;
  readonly machine: types.StateMachine;
  readonly transport: types.Transport;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly timings: types.Timings;
  /** Gives a number from 0 up to 1, for election timeouts. */
  readonly random: () => number;
  readonly snapshotEvery?: number;
}

/** One voter of the replicated log: its durable state, what it answers, and whom it follows. */
export class Voter {
  public readonly entries: entryLogs.EntryLog;
  public readonly changed = new schemas.ChangeSignal();
  public term: number;
  public leader: string | undefined;
  public leadership: leaderships.Leadership | undefined;
  public commitIndex: number;
  public appliedIndex: number;
  public stopped = false;
  public lastLeaderContactAt: number;
  /** Whether it has heard a leader or helped to elect one since it started. */
  private hasHeard = false;
  /** When everything that the leader then called committed was last applied here. */
  public caughtUpAt = -Infinity;
  private votedFor: string | null;
  private compacting = false;
  private notedSeats = '';
  private readonly results = new Map<number, (result: unknown) => void>();

  public constructor(
    public readonly options: VoterOptions,
    recovered: wals.RecoveredState,
  ) {
    this.entries = new entryLogs.EntryLog(recovered, options.genesis.voters);
    this.term = recovered.term;
    this.votedFor = recovered.votedFor;
    this.commitIndex = this.entries.baseIndex;
    this.appliedIndex = this.entries.baseIndex;
    if (recovered.snapshot !== undefined) {
      options.machine.restore(recovered.snapshot.state);
    }
    // A restarted voter has forgotten when it last heard the leader. If it voted at once, a new leader
    // could rise while the old one still holds its lease. What it answered before it went down lends a lease
    // for `leaseMs` at most, so waiting that long is enough.
    this.lastLeaderContactAt = options.clock.now();
  }

  /** Recovers the durable state and makes the voter. */
  public static async create(options: VoterOptions): Promise<Voter> {
    return new Voter(options, await options.wal.recover());
  }

  public get daemonId(): string {
    return this.options.daemonId;
  }

  public get voterId(): string {
    return this.options.genesis.voterId;
  }

  /** Whether this data folder holds a seat; a daemon that lost its disk has a new number and holds none. */
  public hasSlot(): boolean {
    return this.entries.getVoters().some((seat) => seat.voterId === this.voterId);
  }

  /** Whether this voter leads now. */
  public isLeader(): boolean {
    return this.leadership !== undefined;
  }

  /** Gives or refuses a vote. */
  public async handleVote(req: types.VoteReq): Promise<types.VoteRes> {
    const refuse = () => ({ term: this.term, granted: false, voterId: this.voterId });
    if (this.stopped || !this.hasSlot() || !this.isUpToDate(req)) {
      return refuse();
    }
    // A leader that is being heard keeps its lease: nobody is helped to replace it.
    if (this.leadership !== undefined || this.isLeaderHeard()) {
      return refuse();
    }
    if (req.pre) {
      return { term: this.term, granted: req.term > this.term, voterId: this.voterId };
    }
    if (req.term > this.term || (req.term === this.term && this.votedFor === null)) {
      await this.adoptTerm(req.term, req.candidate.voterId);
    }
    // A doubled request must not be answered before the vote that the first one caused is on the disk.
    await this.persist();
    const granted = req.term === this.term && this.votedFor === req.candidate.voterId;
    if (granted) {
      this.noteHeard();
    }
    return { term: this.term, granted, voterId: this.voterId };
  }

  /** Takes entries from the leader. */
  public async handleAppend(req: types.AppendReq): Promise<types.AppendRes> {
    if (this.stopped || req.term < this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    await this.follow(req.term, req.leader);
    const known = this.entries.findTerm(req.prevIndex);
    if (known !== req.prevTerm) {
      const hint = Math.min(req.prevIndex - 1, this.entries.lastIndex);
      return this.createAppendRes(false, Math.max(hint, this.commitIndex));
    }
    const firstNew = req.entries.findIndex(
      (entry) => this.entries.findTerm(entry.index) !== entry.term,
    );
    const fresh = firstNew < 0 ? [] : req.entries.slice(firstNew);
    if (fresh[0] !== undefined && fresh[0].index <= this.commitIndex) {
      return this.createAppendRes(false, this.commitIndex);
    }
    this.entries.append(fresh);
    this.logVoterSet();
    const match = req.prevIndex + req.entries.length;
    // Syncing even when nothing is new: an earlier copy of these entries may still be on its way to disk.
    await this.persist(...(fresh.length > 0 ? [{ kind: 'entries', entries: fresh } as const] : []));
    if (req.term !== this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    this.commitTo(Math.min(req.commit, match));
    if (this.commitIndex >= req.commit) {
      this.caughtUpAt = this.options.clock.now();
    }
    return { ...this.createAppendRes(true, match), match };
  }

  /** Takes a whole snapshot from the leader. */
  public async handleSnapshot(req: types.SnapshotReq): Promise<types.AppendRes> {
    if (this.stopped || req.term < this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    await this.follow(req.term, req.leader);
    if (req.lastIndex <= this.commitIndex) {
      return { ...this.createAppendRes(true, this.commitIndex), match: this.commitIndex };
    }
    const snapshot: wals.Snapshot = req;
    this.entries.resetTo(snapshot);
    this.logVoterSet();
    this.options.machine.restore(req.state);
    this.commitIndex = req.lastIndex;
    this.appliedIndex = req.lastIndex;
    await this.options.wal.compact(snapshot, () => this.getRest());
    this.changed.notify();
    return { ...this.createAppendRes(true, req.lastIndex), match: req.lastIndex };
  }

  /** Moves to a higher term, with the vote given in it, and keeps both before anything is said. */
  public async adoptTerm(term: number, votedFor: string | null): Promise<void> {
    if (term > this.term) {
      this.leadership?.stop('higher term');
      this.leadership = undefined;
      this.leader = undefined;
    }
    this.term = term;
    this.votedFor = votedFor;
    await this.persist({ kind: 'vote', term, votedFor });
  }

  /** Writes ahead; a voter whose disk fails stops, since it can keep no promise. */
  public async persist(...records: wals.WalRecord[]): Promise<void> {
    try {
      await this.options.wal.append(...records);
    } catch (err) {
      this.options.log.error({ step: 'persist', err: schemas.toError(err).message });
      this.stop();
      throw err;
    }
  }

  /** Applies everything up to an index that a majority holds. */
  public commitTo(index: number): void {
    const target = Math.min(index, this.entries.lastIndex);
    if (target <= this.commitIndex) {
      return;
    }
    this.commitIndex = target;
    while (this.appliedIndex < this.commitIndex) {
      this.applyNext();
    }
    this.changed.notify();
    void this.maybeCompact();
  }

  /** Logs who votes when that has changed in this log: of a change that was cut short only this line tells how far it came. */
  public logVoterSet(): void {
    const seating = this.entries.getVoterSet();
    const seats = seating.seats.map((seat) => seat.daemonId);
    const former = seating.former?.map((seat) => seat.daemonId);
    const noted = JSON.stringify([seating.seats, seating.former]);
    if (noted === this.notedSeats) {
      return;
    }
    this.notedSeats = noted;
    const { lastIndex: index } = this.entries;
    this.options.log.info({ event: 'seats', seats, former, index, isSeated: this.hasSlot() });
  }

  /** Resolves with the result of an entry when it is applied here. */
  public awaitResult(index: number): Promise<unknown> {
    return new Promise((resolve) => {
      this.results.set(index, resolve);
    });
  }

  /** Ends every task of this voter. */
  public stop(): void {
    this.stopped = true;
    this.leadership?.stop('stopping');
    this.leadership = undefined;
    this.changed.notify();
  }

  /** Becomes the leader of the present term. */
  public becomeLeader(): void {
    this.leader = this.daemonId;
    this.leadership = new leaderships.Leadership(this);
    this.leadership.start();
    this.changed.notify();
  }

  private async follow(term: number, leader: string): Promise<void> {
    this.noteHeard();
    if (term > this.term) {
      await this.adoptTerm(term, null);
    }
    if (this.leader !== leader) {
      this.leader = leader;
      this.changed.notify();
    }
  }

  private noteHeard(): void {
    this.lastLeaderContactAt = this.options.clock.now();
    this.hasHeard = true;
  }

  /**
   * For how long a silent leader is still taken to lead, in milliseconds. One that was never heard since this voter
   * started cannot be there because of this voter beyond its lease. Where all voters start at once, as after a
   * power loss, no host serves before they agree: 0.4 s less at 600 and 400 ms.
   */
  public getLeaderTimeoutMs(): number {
    const { electionMs, leaseMs } = this.options.timings;
    return this.hasHeard ? electionMs : leaseMs;
  }

  private isLeaderHeard(): boolean {
    return this.options.clock.now() - this.lastLeaderContactAt < this.getLeaderTimeoutMs();
  }

  private isUpToDate(req: types.VoteReq): boolean {
    if (req.lastTerm !== this.entries.lastTerm) {
      return req.lastTerm > this.entries.lastTerm;
    }
    return req.lastIndex >= this.entries.lastIndex;
  }

  private createAppendRes(ok: boolean, hint: number): types.AppendRes {
    return { term: this.term, ok, match: 0, hint, voterId: this.voterId };
  }

  private applyNext(): void {
    const entry = this.entries.find(this.appliedIndex + 1);
    if (entry === undefined) {
      throw new Error(`entry ${this.appliedIndex + 1} is missing`);
    }
    this.appliedIndex = entry.index;
    const result = entry.kind === 'command' ? this.options.machine.apply(entry) : undefined;
    this.results.get(entry.index)?.(result);
    this.results.delete(entry.index);
  }

  private async maybeCompact(): Promise<void> {
    const every = this.options.snapshotEvery ?? SNAPSHOT_EVERY;
    if (this.compacting || this.stopped || this.entries.length < every) {
      return;
    }
    this.compacting = true;
    const lastIndex = this.appliedIndex;
    const seating = this.entries.getVoterSetAt(lastIndex);
    const snapshot: wals.Snapshot = {
      lastIndex,
      lastTerm: this.entries.findTerm(lastIndex) ?? 0,
      voters: seating.seats,
      formerVoters: seating.former,
      state: structuredClone(this.options.machine.getSnapshot()),
    };
    try {
      await this.options.wal.compact(snapshot, () => this.getRestAfter(lastIndex));
    } catch (err) {
      this.options.log.error({ step: 'compact', err: schemas.toError(err).message });
      this.stop();
    } finally {
      this.compacting = false;
    }
  }

  private getRestAfter(index: number) {
    this.entries.compactTo(Math.max(index - KEEP_BEHIND, this.entries.baseIndex));
    return this.getRest();
  }

  private getRest() {
    const first = this.entries.baseIndex + 1;
    const entries = this.entries.slice(first, this.entries.length);
    return { term: this.term, votedFor: this.votedFor, entries };
  }
}
