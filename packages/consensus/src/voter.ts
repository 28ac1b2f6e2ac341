import * as schemas from '@bramleyridge/schemas';

import * as entryLogs from './entry-log.js';
import * as fileStorage from './file-storage.js';
import type * as geneses from './genesis.js';
import * as leaderships from './leadership.js';
import type * as types from './types.js';
import type * as wals from './wal.js';

/** Number of entries in the log after which it is compacted into a snapshot. */
const SNAPSHOT_INTERVAL_ENTRIES = 1_000;

/** Size of the applied entries in the log after which it is compacted, in bytes. */
const SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024;

/**
 * Size of the log's file after which it is compacted, in bytes. The file also holds entries that were replaced by those
 * of another leader. During the compaction the disk holds two such files and two snapshots.
 */
const MAX_WAL_BYTES = 24 * 1024 * 1024;

/** Number of entries retained before a snapshot, so that a follower slightly behind needs no snapshot. */
const RETAINED_ENTRIES = 200;

/** Size of the entries retained before a snapshot, in bytes. */
const RETAINED_BYTES = 2 * 1024 * 1024;

/** Minimum time between two log lines about refused entries, in milliseconds. */
const REFUSAL_LOG_INTERVAL_MS = 5_000;

/** Time until the next compaction after one for which the disk had no space, in milliseconds. */
const COMPACTION_RETRY_MS = 5_000;

/** Dependencies and settings of a voter. */
export interface VoterOptions {
  readonly daemonId: string;
  readonly genesis: geneses.Genesis;
  readonly wal: wals.Wal;
  readonly machine: types.StateMachine;
  readonly transport: types.Transport;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly timings: types.Timings;
  /** Returns a random number in [0, 1), for election timeouts. */
  readonly random: () => number;
  readonly snapshotEvery?: number;
}

/** One voter of the replicated log: its Raft state, its request handlers, and its role. */
export class Voter {
  public readonly entries: entryLogs.EntryLog;
  public readonly changed = new schemas.ChangeSignal();
  public term: number;
  public leader: string | undefined;
  public leadership: leaderships.Leadership | undefined;
  public commitIndex: number;
  public appliedIndex: number;
  public stopped = false;
  /** When this voter started, last received a valid request from a leader, or last granted a vote. */
  public lastLeaderContactAt: number;
  /** Whether a leader contacted this voter, or it granted a vote, since it started. */
  private hasLeaderContact = false;
  /** When all entries that the leader had announced as committed were last applied here. */
  public caughtUpAt = -Infinity;
  private votedFor: string | null;
  private compacting = false;
  /** The snapshot from a leader that is being stored. */
  private storing: { readonly lastIndex: number; readonly done: Promise<void> } | undefined;
  private compactsAt = -Infinity;
  private loggedVoterSet = '';
  private refusalLoggedAt = -Infinity;
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
    // A restarted voter doesn't know when the leader last contacted it. If it voted at once, a new leader could be
    // elected while the old one still holds its lease. A response sent before the restart extends a lease by at most
    // `leaseMs`, so waiting that long is enough.
    this.lastLeaderContactAt = options.clock.now();
  }

  /** Recovers the durable state and creates the voter. */
  public static async create(options: VoterOptions): Promise<Voter> {
    return new Voter(options, await options.wal.recover());
  }

  public get daemonId(): string {
    return this.options.daemonId;
  }

  public get voterId(): string {
    return this.options.genesis.voterId;
  }

  /** Whether this data directory holds a voter slot; a host that lost its disk has a new id and holds none. */
  public hasSlot(): boolean {
    return this.entries.getVoters().some((slot) => slot.voterId === this.voterId);
  }

  /** Whether this voter is the leader. */
  public isLeader(): boolean {
    return this.leadership !== undefined;
  }

  /** Handles a vote or pre-vote request. */
  public async handleVote(req: types.VoteReq): Promise<types.VoteRes> {
    const refuse = () => ({ term: this.term, granted: false, voterId: this.voterId });
    if (this.stopped || !this.hasSlot() || !this.isUpToDate(req)) {
      return refuse();
    }
    // While a leader is active it may hold a lease, so no other candidate gets a vote.
    if (this.leadership !== undefined || this.isLeaderActive()) {
      return refuse();
    }
    if (req.pre) {
      return { term: this.term, granted: req.term > this.term, voterId: this.voterId };
    }
    const canVote = req.term > this.term || (req.term === this.term && this.votedFor === null);
    const records = canVote ? [this.enterTerm(req.term, req.candidate.voterId)] : [];
    // A duplicate request must not be answered before the vote for the first one is on disk.
    await this.persist(...records);
    const granted = req.term === this.term && this.votedFor === req.candidate.voterId;
    if (granted) {
      this.recordLeaderContact();
    }
    return { term: this.term, granted, voterId: this.voterId };
  }

  /** Handles an append request from the leader. */
  public async handleAppend(req: types.AppendReq): Promise<types.AppendRes> {
    if (this.stopped || req.term < this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    // The request is checked and takes effect in memory without a wait in between: during one, a later leader's entries
    // could arrive, and this request would truncate them. Only the answer waits for the disk.
    const termRecords = this.follow(req.term, req.leader);
    const hint = this.findConflict(req);
    if (hint !== undefined) {
      await this.persistTerm(termRecords);
      return this.createAppendRes(false, hint);
    }
    const entryRecords = this.appendNew(req.entries);
    // Sync even if no entry is new: the write of an earlier copy of these entries may still be pending.
    await this.persist(...termRecords, ...entryRecords);
    if (req.term !== this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    const match = req.prevIndex + req.entries.length;
    this.commitTo(Math.min(req.commit, match));
    this.recordCaughtUp(req.commit);
    return { ...this.createAppendRes(true, match), match };
  }

  /** Handles a snapshot from the leader. */
  public async handleSnapshot(req: types.SnapshotReq): Promise<types.AppendRes> {
    if (this.stopped || req.term < this.term) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    await Promise.all([
      this.persistTerm(this.follow(req.term, req.leader)),
      req.lastIndex > this.commitIndex ? this.storeSnapshot(req) : undefined,
    ]);
    // The entries that it covers may be applied here, but still be on their way to the disk.
    await this.persist();
    if (req.term !== this.term || req.lastIndex > this.commitIndex) {
      return this.createAppendRes(false, this.entries.lastIndex);
    }
    return { ...this.createAppendRes(true, req.lastIndex), match: req.lastIndex };
  }

  /**
   * Adopts a later term and the vote granted in it; has no effect on an earlier one. Resolves once both are on disk, so
   * that no response precedes them.
   */
  public async adoptTerm(term: number, votedFor: string | null): Promise<void> {
    await this.persist(...(term > this.term ? [this.enterTerm(term, votedFor)] : []));
  }

  /** Appends records to the write-ahead log. A voter whose disk fails stops, since it can't make anything durable. */
  public async persist(...records: wals.WalRecord[]): Promise<void> {
    try {
      await this.options.wal.append(...records);
    } catch (err) {
      this.options.log.error({ step: 'persist', err: schemas.toError(err).message });
      this.stop();
      throw err;
    }
  }

  /** Advances the commit index and applies the entries up to it. */
  public commitTo(index: number): void {
    const target = Math.min(index, this.entries.lastIndex);
    if (target <= this.commitIndex) {
      return;
    }
    this.commitIndex = target;
    this.applyCommitted();
    this.changed.notify();
    this.maybeCompact().catch((err: unknown) => this.fail('compact', err));
  }

  /**
   * Logs the voter set when it has changed. For a membership change that was interrupted only this line shows how far
   * it got.
   */
  public logVoterSet(): void {
    const voterSet = this.entries.getVoterSet();
    const seats = voterSet.seats.map((slot) => slot.daemonId);
    const former = voterSet.former?.map((slot) => slot.daemonId);
    const serialized = JSON.stringify([voterSet.seats, voterSet.former]);
    if (serialized === this.loggedVoterSet) {
      return;
    }
    this.loggedVoterSet = serialized;
    const { lastIndex: index } = this.entries;
    this.options.log.info({ event: 'seats', seats, former, index, isSeated: this.hasSlot() });
  }

  /** Resolves with the result of an entry once it is applied here. */
  public awaitResult(index: number): Promise<unknown> {
    return new Promise((resolve) => {
      this.results.set(index, resolve);
    });
  }

  /** Stops this voter. */
  public stop(): void {
    this.stopped = true;
    this.leadership?.stop('stopping');
    this.leadership = undefined;
    this.changed.notify();
  }

  /**
   * Stops this voter after an error that leaves its state in doubt, so that it neither votes nor acknowledges; its host
   * opens it again from what the disk holds. A failed disk has stopped it before, with a log line of its own.
   */
  public fail(step: string, err: unknown): void {
    if (!this.stopped) {
      this.options.log.error({
        ...schemas.describeError(err),
        event: 'voter-failed',
        task: step,
        ...this.describeLog(),
      });
      this.stop();
    }
  }

  /** Becomes the leader of the current term. */
  public becomeLeader(): void {
    this.leader = this.daemonId;
    this.leadership = new leaderships.Leadership(this);
    this.leadership.start();
    this.changed.notify();
  }

  /** Enters a term in memory; returns the record that must be on disk before any response to the request. */
  private enterTerm(term: number, votedFor: string | null): wals.WalRecord {
    if (term > this.term) {
      this.leadership?.stop('higher term');
      this.leadership = undefined;
      this.leader = undefined;
    }
    this.term = term;
    this.votedFor = votedFor;
    return { kind: 'vote', term, votedFor };
  }

  /** Follows a leader; returns the records that must be on disk before any response to it. */
  private follow(term: number, leader: string): wals.WalRecord[] {
    this.recordLeaderContact();
    const records = term > this.term ? [this.enterTerm(term, null)] : [];
    if (this.leader !== leader) {
      this.leader = leader;
      this.changed.notify();
    }
    return records;
  }

  /**
   * Stores a snapshot from the leader. The log and the state here are replaced only once it is on the disk. If memory
   * were ahead meanwhile, entries that follow the snapshot would be acknowledged, and a compaction would rewrite the
   * log's file without the entries before it; both are lost if the snapshot can't be stored or the power fails.
   */
  private async storeSnapshot(snapshot: types.SnapshotReq): Promise<void> {
    const done = this.startStoring(snapshot);
    try {
      await done;
    } catch (err) {
      this.options.log.error({ step: 'store-snapshot', err: schemas.toError(err).message });
      if (!(err instanceof fileStorage.UnchangedFileError)) {
        this.stop();
      }
      throw err;
    } finally {
      this.finishStoring(done);
    }
    this.options.log.info({ event: 'snapshot-stored', ...this.describeLog() });
  }

  /** Begins to store a snapshot, or returns the end of storing one that covers as much. */
  private startStoring(snapshot: types.SnapshotReq): Promise<void> {
    // A leader without an answer sends it again; on a disk that stands still, each copy would take memory.
    if (this.storing !== undefined && this.storing.lastIndex >= snapshot.lastIndex) {
      return this.storing.done;
    }
    const done = this.options.wal.compact(snapshot, () => this.install(snapshot));
    this.storing = { lastIndex: snapshot.lastIndex, done };
    return done;
  }

  private finishStoring(done: Promise<void>): void {
    if (this.storing?.done === done) {
      this.storing = undefined;
    }
  }

  /** Replaces the log and the state by a snapshot, unless this voter has come further while it was stored. */
  private install(snapshot: types.SnapshotReq): wals.LogState {
    if (snapshot.lastIndex > this.commitIndex) {
      this.entries.resetTo(snapshot);
      this.logVoterSet();
      this.options.machine.restore(snapshot.state);
      this.commitIndex = snapshot.lastIndex;
      this.appliedIndex = snapshot.lastIndex;
      this.changed.notify();
    }
    return this.getLogState();
  }

  private async persistTerm(records: readonly wals.WalRecord[]): Promise<void> {
    if (records.length > 0) {
      await this.persist(...records);
    }
  }

  /** The index after which the leader has to resume, if its entries don't follow the log here. */
  private findConflict(req: types.AppendReq): number | undefined {
    if (this.entries.findTerm(req.prevIndex) !== req.prevTerm) {
      this.logRefusal(req);
      const hint = Math.min(req.prevIndex - 1, this.entries.lastIndex);
      return Math.max(hint, this.commitIndex);
    }
    const firstNew = this.findFirstNew(req.entries);
    return firstNew !== undefined && firstNew.index <= this.commitIndex
      ? this.commitIndex
      : undefined;
  }

  private findFirstNew(entries: readonly types.Entry[]): types.Entry | undefined {
    return entries.find((entry) => this.entries.findTerm(entry.index) !== entry.term);
  }

  /** Appends the entries that the log lacks in memory; returns the records to persist. */
  private appendNew(entries: readonly types.Entry[]): wals.WalRecord[] {
    const firstNew = this.findFirstNew(entries);
    if (firstNew === undefined) {
      return [];
    }
    const newEntries = entries.slice(entries.indexOf(firstNew));
    this.entries.append(newEntries);
    this.logVoterSet();
    return [{ kind: 'entries', entries: newEntries }];
  }

  private recordCaughtUp(leaderCommit: number): void {
    if (this.commitIndex >= leaderCommit) {
      this.caughtUpAt = this.options.clock.now();
    }
  }

  private recordLeaderContact(): void {
    this.lastLeaderContactAt = this.options.clock.now();
    this.hasLeaderContact = true;
  }

  /**
   * How long a leader counts as active after its last contact, in milliseconds. If no leader has contacted this voter
   * since it started, then this voter's responses support a leader for at most `leaseMs`, so no longer wait is needed.
   * When all voters start at once, for example after a power failure, no host serves until a leader is elected; this
   * takes 0.4 s less with an election timeout of 600 ms and a lease of 400 ms.
   */
  public getLeaderTimeoutMs(): number {
    const { electionMs, leaseMs } = this.options.timings;
    return this.hasLeaderContact ? electionMs : leaseMs;
  }

  private isLeaderActive(): boolean {
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

  /** Logs entries that don't follow the log here. A voter that refuses all of them looks like one that keeps up. */
  private logRefusal({ leader, prevIndex, prevTerm, term }: types.AppendReq): void {
    const now = this.options.clock.now();
    if (now - this.refusalLoggedAt < REFUSAL_LOG_INTERVAL_MS) {
      return;
    }
    this.refusalLoggedAt = now;
    this.options.log.warn({
      event: 'append-refused',
      peer: leader,
      term,
      prevIndex,
      prevTerm,
      ownTerm: this.entries.findTerm(prevIndex),
      ...this.describeLog(),
    });
  }

  /** The positions that decide what this voter accepts, for log lines. */
  private describeLog() {
    const { commitIndex, entries } = this;
    const { baseIndex, lastIndex, lastTerm } = entries;
    return { baseIndex, commitIndex, lastIndex, lastTerm };
  }

  /** Applies the committed entries. After one that fails, the state would lack it for good. */
  private applyCommitted(): void {
    try {
      while (this.appliedIndex < this.commitIndex) {
        this.applyNext();
      }
    } catch (err) {
      this.fail('apply', err);
      throw err;
    }
  }

  private applyNext(): void {
    const entry = this.entries.find(this.appliedIndex + 1);
    if (entry === undefined) {
      throw new Error(`entry ${this.appliedIndex + 1} is missing`);
    }
    const result = entry.kind === 'command' ? this.options.machine.apply(entry) : undefined;
    this.appliedIndex = entry.index;
    this.results.get(entry.index)?.(result);
    this.results.delete(entry.index);
  }

  private async maybeCompact(): Promise<void> {
    const { clock, log } = this.options;
    const isAllowed = !this.compacting && !this.stopped && clock.now() >= this.compactsAt;
    if (!isAllowed || !this.isCompactionDue()) {
      return;
    }
    this.compacting = true;
    const lastIndex = this.appliedIndex;
    const voterSet = this.entries.getVoterSetAt(lastIndex);
    const snapshot: wals.Snapshot = {
      lastIndex,
      lastTerm: this.entries.getTerm(lastIndex),
      voters: voterSet.seats,
      formerVoters: voterSet.former,
      state: structuredClone(this.options.machine.getSnapshot()),
    };
    try {
      await this.options.wal.compact(snapshot, () => this.compactLogState(lastIndex));
      log.info({ event: 'compacted', snapshotIndex: lastIndex, ...this.describeLog() });
      this.finishCompaction();
    } catch (err) {
      log.error({
        step: 'compact',
        walBytes: this.options.wal.bytes,
        err: schemas.toError(err).message,
      });
      this.finishCompaction(err);
    }
  }

  /** Ends a compaction. Without space for it, the log can still be appended to; after other errors it can't. */
  private finishCompaction(err?: unknown): void {
    this.compacting = false;
    if (err instanceof fileStorage.UnchangedFileError) {
      this.compactsAt = this.options.clock.now() + COMPACTION_RETRY_MS;
    } else if (err !== undefined) {
      this.stop();
    }
  }

  private isCompactionDue(): boolean {
    const { snapshotEvery = SNAPSHOT_INTERVAL_ENTRIES, wal } = this.options;
    return (
      this.entries.length >= snapshotEvery ||
      this.entries.countBytes(this.entries.baseIndex + 1, this.appliedIndex) >=
        SNAPSHOT_INTERVAL_BYTES ||
      wal.bytes >= MAX_WAL_BYTES
    );
  }

  private compactLogState(index: number): wals.LogState {
    this.entries.compact(index, RETAINED_ENTRIES, RETAINED_BYTES);
    return this.getLogState();
  }

  private getLogState(): wals.LogState {
    const first = this.entries.baseIndex + 1;
    const entries = this.entries.slice(first);
    return { term: this.term, votedFor: this.votedFor, entries };
  }
}
