import * as schemas from '@bramleyridge/schemas';

import * as replicators from './replicator.js';
import * as seatChanges from './membership-change.js';
import type * as types from './types.js';
import type * as voters from './voter.js';

/** Heartbeats in one election timeout. */
const HEARTBEATS_PER_ELECTION = 3;

/** How many election timeouts a voter may not hold what is committed before it counts as silent; as for a whole majority. */
const SILENT_ELECTIONS = 2;

/** For how many election timeouts a host whose seat was taken away is still told of it: six heartbeats. */
const RETIRE_ELECTIONS = 2;

/** What a voter does while it leads, and what it knows of the others. */
export class Leadership implements seatChanges.MembershipLog {
  public readonly term: number;
  public readonly appended = new schemas.ChangeSignal();
  public readonly heartbeatMs: number;
  public readonly startedAt: number;
  private readonly peers = new Map<string, replicators.Replicator>();
  private readonly seatChange = new seatChanges.MembershipChange(this);
  private active = true;
  private durableIndex = 0;
  private waiting: { entry: types.Entry; reject: (err: Error) => void }[] = [];

  public constructor(public readonly voter: voters.Voter) {
    this.term = voter.term;
    this.heartbeatMs = voter.options.timings.electionMs / HEARTBEATS_PER_ELECTION;
    this.startedAt = voter.options.clock.now();
  }

  /** Starts the tasks; an empty entry of the new term lets older entries be counted as committed. */
  public start(): void {
    this.syncPeers();
    this.append('noop', null);
    void this.watchQuorum();
    void this.finishSeatChange();
    this.voter.options.log.info({ decision: 'lead', term: this.term, peer: this.voter.daemonId });
  }

  /** Ends the tasks; proposals whose fate is not known are told so. */
  public stop(reason: string): void {
    this.active = false;
    this.peers.forEach((peer) => peer.stop());
    this.appended.notify();
    const lost = this.waiting;
    this.waiting = [];
    lost.forEach((item) => item.reject(createNotLeader()));
    this.voter.options.log.info({ decision: 'step-down', term: this.term, reason });
  }

  /** Whether this leadership still stands. */
  public isActive(): boolean {
    return this.active;
  }

  /** Until when, on this voter's clock, no other leader can have been elected. */
  public getLeaseEnd(): number {
    return this.getMajorityAckedAt() + this.voter.options.timings.leaseMs;
  }

  /** Whether the lease holds for at least `ms` more. */
  public isLeaseHeld(ms = 0): boolean {
    return this.active && this.voter.options.clock.now() + ms < this.getLeaseEnd();
  }

  /** Whether everything of earlier terms is applied here, which a new leader can't tell at once. */
  public hasCommittedInTerm(): boolean {
    return this.voter.entries.findTerm(this.voter.commitIndex) === this.term;
  }

  /** Puts a command into the log and resolves with its result once a majority holds it. */
  public async propose(data: unknown): Promise<{ index: number; result: unknown }> {
    if (!this.active) {
      throw createNotLeader();
    }
    const entry = this.append('command', data);
    const result = await this.await(entry);
    return { index: entry.index, result };
  }

  /** Resolves once everything that was accepted before this call is applied here and we still lead. */
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

  /** Changes the voters as planned upon those of the moment; newcomers must be up and catch up first. */
  public changeVoters(getNext: seatChanges.GetNextVoters): Promise<void> {
    return this.seatChange.change(getNext);
  }

  /** Seats a voter; an older folder of the same daemon loses its seat by that. */
  public addVoter(seat: types.VoterSlot): Promise<void> {
    return this.seatChange.change((seats) =>
      seats.some((other) => other.voterId === seat.voterId)
        ? undefined
        : [...seats.filter((other) => other.daemonId !== seat.daemonId), seat],
    );
  }

  /** Takes a voter's seat away. */
  public removeVoter(daemonId: string): Promise<void> {
    return this.seatChange.change((seats) => seats.filter((seat) => seat.daemonId !== daemonId));
  }

  /** Puts who votes into the log. */
  public appendVoterSet(seating: types.VoterSet): types.Entry {
    const entry = this.append('voters', seating);
    this.syncPeers();
    return entry;
  }

  /** Resolves once a majority holds everything up to an index. */
  public async awaitCommitted(index: number): Promise<void> {
    while (this.voter.commitIndex < index) {
      if (!this.active) {
        throw createNotLeader();
      }
      await this.voter.changed.wait(this.voter.options.clock, this.heartbeatMs);
    }
  }

  /** Replicates to a host, also to one that has no seat yet. */
  public startPeer(seat: types.VoterSlot): replicators.Replicator {
    const known = this.peers.get(seat.voterId);
    if (known?.isRunning() === true && !known.isRetiring()) {
      return known;
    }
    known?.stop();
    const peer = new replicators.Replicator(seat, this);
    this.peers.set(seat.voterId, peer);
    void peer.run();
    return peer;
  }

  /** Replicates no more to hosts that have no seat. */
  public dropLearners(): void {
    const voters = this.voter.entries.getVoters();
    [...this.peers.values()]
      .filter((peer) => !voters.some((seat) => seat.voterId === peer.slot.voterId))
      .forEach((peer) => this.drop(peer));
  }

  /** Counts what a majority holds durably; only an entry of this term commits by counting. */
  public advanceCommit(): void {
    const index = this.voter.entries
      .getQuorum()
      .getReachedValue((seat) => (this.isOwn(seat) ? this.durableIndex : this.getMatch(seat)));
    if (
      this.active &&
      index > this.voter.commitIndex &&
      this.voter.entries.findTerm(index) === this.term
    ) {
      this.voter.commitTo(index);
      this.waiting = this.waiting.filter((item) => item.entry.index > this.voter.commitIndex);
      this.appended.notify();
      this.retireIfUnseated();
    } else {
      this.voter.changed.notify();
    }
  }

  /** How far each voter is, for operators. */
  public listPeers(): { daemonId: string; match: number; silentMs: number }[] {
    const now = this.voter.options.clock.now();
    const running = [...this.peers.values()].filter((peer) => !peer.isRetiring());
    return running.map((peer) => ({
      daemonId: peer.slot.daemonId,
      match: peer.matchIndex,
      silentMs: Math.round(now - peer.ackedAt),
    }));
  }

  /** For how long a voter has not held everything that was committed, in milliseconds. */
  public getLagMs(seat: types.VoterSlot): number {
    const since = this.peers.get(seat.voterId)?.caughtUpAt ?? -Infinity;
    const now = this.voter.options.clock.now();
    return this.isOwn(seat) ? 0 : now - Math.max(since, this.startedAt);
  }

  /** Whether a voter has held all that was committed since this leadership began. */
  public hasCaughtUp(seat: types.VoterSlot): boolean {
    return this.isOwn(seat) || (this.peers.get(seat.voterId)?.caughtUpAt ?? -Infinity) > -Infinity;
  }

  /** The voters that do not answer, or hold nothing new. */
  public listLaggingVoters(): types.VoterSlot[] {
    return this.voter.entries.getVoters().filter((seat) => !this.isHeard(seat));
  }

  /** How many more voters may be lost before the log stands still. */
  public countTolerableLosses(): number {
    return this.voter.entries.getQuorum().countTolerableLosses((seat) => this.isHeard(seat));
  }

  private isHeard(seat: types.VoterSlot): boolean {
    return this.getLagMs(seat) <= SILENT_ELECTIONS * this.voter.options.timings.electionMs;
  }

  private isOwn(seat: types.VoterSlot): boolean {
    return seat.voterId === this.voter.voterId;
  }

  private async finishSeatChange(): Promise<void> {
    try {
      await this.seatChange.finish();
    } catch (err) {
      const { message } = schemas.toError(err);
      this.voter.options.log.warn({ event: 'seat-change-unfinished', err: message });
    }
  }

  private append(kind: types.Entry['kind'], data: unknown): types.Entry {
    const index = this.voter.entries.lastIndex + 1;
    const entry: types.Entry = { index, term: this.term, kind, data };
    this.voter.entries.append([entry]);
    this.voter.logVoterSet();
    this.appended.notify();
    this.voter.persist({ kind: 'entries', entries: [entry] }).then(
      () => {
        this.durableIndex = Math.max(this.durableIndex, index);
        this.advanceCommit();
      },
      () => {},
    );
    return entry;
  }

  private await(entry: types.Entry): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ entry, reject });
      void this.voter.awaitResult(entry.index).then((result) => {
        const stillOurs = this.voter.entries.findTerm(entry.index);
        if (stillOurs === undefined || stillOurs === entry.term) {
          resolve(result);
        } else {
          reject(createNotLeader());
        }
      });
    });
  }

  private syncPeers(): void {
    const others = this.voter.entries.getVoters().filter((seat) => !this.isOwn(seat));
    others.forEach((seat) => this.startPeer(seat));
    this.dropLearners();
  }

  private drop(peer: replicators.Replicator): void {
    if (!peer.isRunning()) {
      this.peers.delete(peer.slot.voterId);
      return;
    }
    peer.retire(RETIRE_ELECTIONS * this.voter.options.timings.electionMs);
  }

  private getMatch(seat: types.VoterSlot): number {
    return this.peers.get(seat.voterId)?.matchIndex ?? 0;
  }

  private getMajorityAckedAt(): number {
    const now = this.voter.options.clock.now();
    return this.voter.entries
      .getQuorum()
      .getReachedValue((seat) =>
        this.isOwn(seat) ? now : (this.peers.get(seat.voterId)?.ackedAt ?? -Infinity),
      );
  }

  /** A leader that a majority no longer answers steps down, so that its callers look for the new one. */
  private async watchQuorum(): Promise<void> {
    const { clock, timings } = this.voter.options;
    while (this.active) {
      await clock.sleep(timings.electionMs / 2);
      const silentMs = clock.now() - Math.max(this.getMajorityAckedAt(), this.startedAt);
      if (this.active && silentMs > 2 * timings.electionMs) {
        this.voter.leadership = undefined;
        this.voter.leader = undefined;
        this.stop('no majority answers');
        this.voter.changed.notify();
      }
    }
  }

  private retireIfUnseated(): void {
    if (this.active && !this.voter.hasSlot()) {
      this.voter.leadership = undefined;
      this.stop('seat was taken away');
    }
  }
}

function createNotLeader(): schemas.StepError {
  return new schemas.StepError({ id: 'notLeader', step: 'propose' });
}
