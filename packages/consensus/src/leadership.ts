import * as schemas from '@bramleyridge/schemas';

import * as entryLimits from './entry-limits.js';
import * as replicators from './replicator.js';
import * as membershipChanges from './membership-change.js';
import type * as types from './types.js';
import type * as voters from './voter.js';

/** Number of heartbeats per election timeout. */
const HEARTBEATS_PER_ELECTION = 3;

/**
 * How long a voter may lack committed entries before it counts as lagging, in election timeouts. Equals the time after
 * which a leader without a majority steps down.
 */
const MAX_LAG_ELECTIONS = 2;

/**
 * How long entries are still sent to a host that lost its slot, so that it learns of it, in election timeouts: six
 * heartbeats.
 */
const RETIRE_ELECTIONS = 2;

/** The state and tasks of a voter while it is the leader: replication, commits, lease and membership changes. */
export class Leadership implements membershipChanges.MembershipLog {
  public readonly term: number;
  public readonly appended = new schemas.ChangeSignal();
  public readonly heartbeatMs: number;
  public readonly startedAt: number;
  private readonly peers = new Map<string, replicators.Replicator>();
  private readonly membershipChange = new membershipChanges.MembershipChange(this);
  private active = true;
  private durableIndex = 0;
  private pendingProposals: { entry: types.Entry; reject: (err: Error) => void }[] = [];

  public constructor(public readonly voter: voters.Voter) {
    this.term = voter.term;
    this.heartbeatMs = voter.options.timings.electionMs / HEARTBEATS_PER_ELECTION;
    this.startedAt = voter.options.clock.now();
  }

  /**
   * Starts the tasks. Appends a no-op, since entries of earlier terms commit only together with one of the current
   * term.
   */
  public start(): void {
    this.syncPeers();
    this.append('noop', null);
    const { log } = this.voter.options;
    // Without it, a leader that has lost its majority would not step down.
    this.monitorQuorum().catch((err: unknown) => this.voter.fail('monitor-quorum', err));
    schemas.runInBackground(() => this.finishMembershipChange(), { log, step: 'finish-seats' });
    log.info({ decision: 'lead', term: this.term, peer: this.voter.daemonId });
  }

  /** Stops the tasks and rejects proposals whose outcome is unknown. */
  public stop(reason: string): void {
    this.active = false;
    this.peers.forEach((peer) => peer.stop());
    this.appended.notify();
    const unresolved = this.pendingProposals;
    this.pendingProposals = [];
    unresolved.forEach((item) => item.reject(createNotLeader()));
    this.voter.options.log.info({ decision: 'step-down', term: this.term, reason });
  }

  /** Whether this voter is still the leader of this term. */
  public isActive(): boolean {
    return this.active;
  }

  /** The end of the lease on this voter's clock; before it no other leader can be elected. */
  public getLeaseEnd(): number {
    return this.getMajorityAckedAt() + this.voter.options.timings.leaseMs;
  }

  /** Whether the lease is valid for at least another `ms` milliseconds. */
  public isLeaseHeld(ms = 0): boolean {
    return this.active && this.voter.options.clock.now() + ms < this.getLeaseEnd();
  }

  /**
   * Whether an entry of this term is committed. Only then does a new leader know that it has applied all entries
   * committed in earlier terms.
   */
  public hasCommittedInTerm(): boolean {
    return this.voter.entries.findTerm(this.voter.commitIndex) === this.term;
  }

  /**
   * Appends a command to the log and resolves with its result once it is committed and applied. Rejects a command that is
   * too large, and any while too much waits for a majority; neither is appended.
   */
  public async propose(data: unknown): Promise<{ index: number; result: unknown }> {
    if (!this.active) {
      throw createNotLeader();
    }
    this.checkRoom(entryLimits.measureCommand(data));
    const entry = this.append('command', data);
    const result = await this.awaitOutcome(entry);
    return { index: entry.index, result };
  }

  /** Resolves once leadership is confirmed by a majority and all entries appended before the call are applied here. */
  public async barrier(): Promise<void> {
    const askedAt = this.voter.options.clock.now();
    const target = this.voter.entries.lastIndex;
    this.appended.notify();
    while (this.active) {
      if (this.getMajorityAckedAt() >= askedAt && this.voter.appliedIndex >= target) {
        return;
      }
      await this.voter.changed.wait(this.voter.options.clock, this.heartbeatMs);
    }
    throw createNotLeader();
  }

  /**
   * Changes the voter set to what `getNext` computes from the current one; new voters must respond and catch up first.
   */
  public changeVoters(getNext: membershipChanges.GetNextVoters): Promise<void> {
    return this.membershipChange.change(getNext);
  }

  /** Adds a voter, replacing the slot of an older data directory of the same host. */
  public addVoter(slot: types.VoterSlot): Promise<void> {
    return this.membershipChange.change((slots) =>
      slots.some((other) => other.voterId === slot.voterId)
        ? undefined
        : [...slots.filter((other) => other.daemonId !== slot.daemonId), slot],
    );
  }

  /** Removes a voter. */
  public removeVoter(daemonId: string): Promise<void> {
    return this.membershipChange.change((slots) =>
      slots.filter((slot) => slot.daemonId !== daemonId),
    );
  }

  /** Appends a voter set to the log and replicates to its voters from then on. */
  public appendVoterSet(voterSet: types.VoterSet): types.Entry {
    const entry = this.append('voters', voterSet);
    this.syncPeers();
    return entry;
  }

  /** The size of a snapshot of the state, in bytes. */
  public getSnapshotBytes(): number {
    return schemas.estimateEncodedBytes(this.voter.options.machine.getSnapshot());
  }

  /** Resolves once all entries up to an index are committed. */
  public async awaitCommitted(index: number): Promise<void> {
    while (this.voter.commitIndex < index) {
      if (!this.active) {
        throw createNotLeader();
      }
      await this.voter.changed.wait(this.voter.options.clock, this.heartbeatMs);
    }
  }

  /** Starts the replication to a host, which may not be a voter yet, unless it is running already. */
  public startPeer(slot: types.VoterSlot): replicators.Replicator {
    const running = this.peers.get(slot.voterId);
    if (running?.isRunning() === true && !running.isRetiring()) {
      return running;
    }
    running?.stop();
    const peer = new replicators.Replicator(slot, this);
    this.peers.set(slot.voterId, peer);
    // Without it, a voter would get no entries from a leader that looks sound.
    peer.run().catch((err: unknown) => this.voter.fail('replicate', err));
    return peer;
  }

  /** Stops the replication to hosts without a voter slot, after a delay. */
  public dropLearners(): void {
    const voters = this.voter.entries.getVoters();
    [...this.peers.values()]
      .filter((peer) => !voters.some((slot) => slot.voterId === peer.slot.voterId))
      .forEach((peer) => this.retirePeer(peer));
  }

  /**
   * Advances the commit index to what a majority has on disk; only entries of this term commit by counting replicas.
   */
  public advanceCommit(): void {
    const index = this.voter.entries
      .getQuorum()
      .getReachedValue((slot) => (this.isOwn(slot) ? this.durableIndex : this.getMatchIndex(slot)));
    if (
      this.active &&
      index > this.voter.commitIndex &&
      this.voter.entries.findTerm(index) === this.term
    ) {
      this.voter.commitTo(index);
      this.pendingProposals = this.pendingProposals.filter(
        (item) => item.entry.index > this.voter.commitIndex,
      );
      this.appended.notify();
      this.stepDownIfRemoved();
    } else {
      this.voter.changed.notify();
    }
  }

  /** The replication progress of each peer, for operators. */
  public listPeers(): { daemonId: string; match: number; silentMs: number }[] {
    const now = this.voter.options.clock.now();
    const running = [...this.peers.values()].filter((peer) => !peer.isRetiring());
    return running.map((peer) => ({
      daemonId: peer.slot.daemonId,
      match: peer.matchIndex,
      silentMs: Math.round(now - peer.ackedAt),
    }));
  }

  /** How long a voter has lacked entries that were committed, in milliseconds. */
  public getLagMs(slot: types.VoterSlot): number {
    const since = this.peers.get(slot.voterId)?.caughtUpAt ?? -Infinity;
    const now = this.voter.options.clock.now();
    return this.isOwn(slot) ? 0 : now - Math.max(since, this.startedAt);
  }

  /** Whether a voter has had all committed entries at some time in this leadership. */
  public hasCaughtUp(slot: types.VoterSlot): boolean {
    return this.isOwn(slot) || (this.peers.get(slot.voterId)?.caughtUpAt ?? -Infinity) > -Infinity;
  }

  /** The voters that don't respond or don't keep up with the committed entries. */
  public listLaggingVoters(): types.VoterSlot[] {
    return this.voter.entries.getVoters().filter((slot) => !this.isCaughtUp(slot));
  }

  /** How many more voters may fail before the log becomes unavailable. */
  public countTolerableLosses(): number {
    return this.voter.entries.getQuorum().countTolerableLosses((slot) => this.isCaughtUp(slot));
  }

  private isCaughtUp(slot: types.VoterSlot): boolean {
    return this.getLagMs(slot) <= MAX_LAG_ELECTIONS * this.voter.options.timings.electionMs;
  }

  private checkRoom(bytes: number): void {
    const { commitIndex, entries } = this.voter;
    const waitingBytes = entries.countBytes(commitIndex + 1);
    if (waitingBytes + bytes > entryLimits.MAX_UNCOMMITTED_BYTES) {
      throw new schemas.StepError({ id: 'logFull', step: 'propose', args: [waitingBytes] });
    }
  }

  private isOwn(slot: types.VoterSlot): boolean {
    return slot.voterId === this.voter.voterId;
  }

  private async finishMembershipChange(): Promise<void> {
    try {
      await this.membershipChange.finish();
    } catch (err) {
      const { message } = schemas.toError(err);
      this.voter.options.log.warn({ event: 'seat-change-unfinished', err: message });
    }
  }

  /**
   * Appends an entry, and checks in the same step that this voter still leads: a membership change waits for peers and
   * may go on after another leader has taken over. Behind its entries, one of this term would lower the last term of the
   * log, and the voter would vote for candidates that lack what it has acknowledged.
   */
  private append(kind: types.Entry['kind'], data: unknown): types.Entry {
    if (!this.active) {
      throw createNotLeader();
    }
    const index = this.voter.entries.lastIndex + 1;
    const entry: types.Entry = { index, term: this.term, kind, data };
    this.voter.entries.append([entry]);
    this.voter.logVoterSet();
    this.appended.notify();
    this.voter
      .persist({ kind: 'entries', entries: [entry] })
      .then(() => {
        this.durableIndex = Math.max(this.durableIndex, index);
        this.advanceCommit();
      })
      .catch((err: unknown) => this.voter.fail('commit', err));
    return entry;
  }

  private awaitOutcome(entry: types.Entry): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.pendingProposals.push({ entry, reject });
      const settle = (result: unknown) => {
        const currentTerm = this.voter.entries.findTerm(entry.index);
        if (currentTerm === undefined || currentTerm === entry.term) {
          resolve(result);
        } else {
          reject(createNotLeader());
        }
      };
      this.voter.awaitResult(entry.index).then(settle).catch(reject);
    });
  }

  private syncPeers(): void {
    const others = this.voter.entries.getVoters().filter((slot) => !this.isOwn(slot));
    others.forEach((slot) => this.startPeer(slot));
    this.dropLearners();
  }

  private retirePeer(peer: replicators.Replicator): void {
    if (!peer.isRunning()) {
      this.peers.delete(peer.slot.voterId);
      return;
    }
    peer.retire(RETIRE_ELECTIONS * this.voter.options.timings.electionMs);
  }

  private getMatchIndex(slot: types.VoterSlot): number {
    return this.peers.get(slot.voterId)?.matchIndex ?? 0;
  }

  private getMajorityAckedAt(): number {
    const now = this.voter.options.clock.now();
    return this.voter.entries
      .getQuorum()
      .getReachedValue((slot) =>
        this.isOwn(slot) ? now : (this.peers.get(slot.voterId)?.ackedAt ?? -Infinity),
      );
  }

  /** Steps down when a majority no longer responds, so that clients look for the new leader. */
  private async monitorQuorum(): Promise<void> {
    const { clock, timings } = this.voter.options;
    while (this.active) {
      await clock.sleep(timings.electionMs / 2);
      this.stepDownIfSilent();
    }
  }

  private stepDownIfSilent(): void {
    const { clock, timings } = this.voter.options;
    const sinceAckMs = clock.now() - Math.max(this.getMajorityAckedAt(), this.startedAt);
    if (this.active && sinceAckMs > 2 * timings.electionMs) {
      this.voter.leadership = undefined;
      this.voter.leader = undefined;
      this.stop('no majority answers');
      this.voter.changed.notify();
    }
  }

  private stepDownIfRemoved(): void {
    if (this.active && !this.voter.hasSlot()) {
      this.voter.leadership = undefined;
      this.stop('seat was taken away');
    }
  }
}

function createNotLeader(): schemas.StepError {
  return new schemas.StepError({ id: 'notLeader', step: 'propose' });
}
