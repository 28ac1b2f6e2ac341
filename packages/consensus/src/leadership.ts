import * as schemas from '@bramleyridge/schemas';

import * as replicators from './replicator.js';
import type * as types from './types.js';
import type * as voters from './voter.js';

/** Heartbeats in one election timeout. */
const HEARTBEATS_PER_ELECTION = 3;

/** How far a new voter may be behind when it is seated, in entries. */
const CAUGHT_UP_WITHIN = 10;

/** How long a new voter may take to catch up before it is given up for now, in election timeouts. */
const CATCH_UP_ELECTIONS = 10;

/** What a voter does while it leads, and what it knows of the others. */
export class Leadership {
  public readonly term: number;
  public readonly appended = new schemas.ChangeSignal();
  public readonly heartbeatMs: number;
  public readonly startedAt: number;
  private readonly peers = new Map<string, replicators.Replicator>();
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
  public isSettled(): boolean {
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

  /** Seats a voter once it is caught up; an older folder of the same daemon loses its seat first. */
  public async addVoter(seat: types.VoterSeat): Promise<void> {
    if (this.voter.entries.getVoters().some((other) => other.voterId === seat.voterId)) {
      return;
    }
    const learner = this.startPeer(seat);
    try {
      await this.awaitCaughtUp(learner);
    } catch (err) {
      learner.stop();
      this.peers.delete(seat.voterId);
      throw err;
    }
    await this.removeVoter(seat.daemonId);
    // One step at a time: two changes at once could make two majorities that share no voter.
    await this.changeVoters((seats) => [...seats, seat]);
  }

  /** Takes a voter's seat away. */
  public async removeVoter(daemonId: string): Promise<void> {
    if (this.voter.entries.getVoters().some((seat) => seat.daemonId === daemonId)) {
      await this.changeVoters((seats) => seats.filter((seat) => seat.daemonId !== daemonId));
    }
  }

  /** Counts what a majority holds durably; only an entry of this term commits by counting. */
  public advanceCommit(): void {
    const seats = this.voter.entries.getVoters();
    const matches = seats
      .map((seat) =>
        seat.voterId === this.voter.voterId ? this.durableIndex : this.getMatch(seat),
      )
      .sort((a, b) => b - a);
    const index = matches[Math.floor(seats.length / 2)] ?? 0;
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
    return [...this.peers.values()].map((peer) => ({
      daemonId: peer.seat.daemonId,
      match: peer.match,
      silentMs: Math.round(now - peer.ackedAt),
    }));
  }

  /** Who holds a seat and has not answered of late. */
  public listSilentSeats(): string[] {
    const { clock, timings } = this.voter.options;
    const since = clock.now() - 2 * timings.electionMs;
    return this.voter.entries
      .getVoters()
      .filter((seat) => seat.voterId !== this.voter.voterId)
      .filter((seat) => (this.peers.get(seat.voterId)?.ackedAt ?? -Infinity) < since)
      .map((seat) => seat.daemonId);
  }

  /** How many more voters may be lost before the log stands still. */
  public countLossesBorne(): number {
    const { length } = this.voter.entries.getVoters();
    return length - this.listSilentSeats().length - (Math.floor(length / 2) + 1);
  }

  private append(kind: types.Entry['kind'], data: unknown): types.Entry {
    const index = this.voter.entries.lastIndex + 1;
    const entry: types.Entry = { index, term: this.term, kind, data };
    this.voter.entries.append([entry]);
    this.voter.noteSeats();
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

  private async changeVoters(
    change: (seats: readonly types.VoterSeat[]) => types.VoterSeat[],
  ): Promise<void> {
    await this.awaitCommitted(this.voter.entries.getLastChangeIndex());
    await this.barrier();
    const entry = this.append('voters', change(this.voter.entries.getVoters()));
    this.syncPeers();
    await this.awaitCommitted(entry.index);
  }

  private async awaitCommitted(index: number): Promise<void> {
    while (this.voter.commitIndex < index) {
      if (!this.active) {
        throw createNotLeader();
      }
      await this.voter.changed.wait(this.voter.options.clock, this.heartbeatMs);
    }
  }

  private async awaitCaughtUp(peer: replicators.Replicator): Promise<void> {
    const { clock, timings } = this.voter.options;
    const end = clock.now() + CATCH_UP_ELECTIONS * timings.electionMs;
    while (peer.match < this.voter.commitIndex - CAUGHT_UP_WITHIN || peer.match === 0) {
      if (!this.active) {
        throw createNotLeader();
      }
      // A newcomer that dies while it catches up must not hold up the seating of others for ever.
      if (clock.now() > end) {
        const peerName = peer.seat.daemonId;
        throw new schemas.StepError({ id: 'linkClosed', step: 'catch-up', peer: peerName });
      }
      await this.voter.changed.wait(clock, this.heartbeatMs);
    }
  }

  private syncPeers(): void {
    const seats = this.voter.entries.getVoters();
    const others = seats.filter((seat) => seat.voterId !== this.voter.voterId);
    others.filter((seat) => !this.peers.has(seat.voterId)).forEach((seat) => this.startPeer(seat));
    [...this.peers.values()]
      .filter((peer) => !others.some((seat) => seat.voterId === peer.seat.voterId))
      .forEach((peer) => {
        peer.stop();
        this.peers.delete(peer.seat.voterId);
      });
  }

  private startPeer(seat: types.VoterSeat): replicators.Replicator {
    const known = this.peers.get(seat.voterId);
    if (known !== undefined) {
      return known;
    }
    const peer = new replicators.Replicator(seat, this);
    this.peers.set(seat.voterId, peer);
    void peer.run();
    return peer;
  }

  private getMatch(seat: types.VoterSeat): number {
    return this.peers.get(seat.voterId)?.match ?? 0;
  }

  private getMajorityAckedAt(): number {
    const now = this.voter.options.clock.now();
    const seats = this.voter.entries.getVoters();
    const times = seats
      .map((seat) =>
        seat.voterId === this.voter.voterId
          ? now
          : (this.peers.get(seat.voterId)?.ackedAt ?? -Infinity),
      )
      .sort((a, b) => b - a);
    return times[Math.floor(seats.length / 2)] ?? -Infinity;
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
    if (this.active && !this.voter.isSeated()) {
      this.voter.leadership = undefined;
      this.stop('seat was taken away');
    }
  }
}

function createNotLeader(): schemas.StepError {
  return new schemas.StepError({ id: 'notLeader', step: 'propose' });
}
