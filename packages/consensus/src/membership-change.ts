import * as schemas from '@bramleyridge/schemas';

import type * as replicators from './replicator.js';
import type * as types from './types.js';
import type * as voters from './voter.js';

/**
 * How long a new voter may be unresponsive before the change is abandoned, in election timeouts. With one timeout of
 * 600 ms, a single lost message could abandon it: it costs the request deadline of 500 ms and a heartbeat interval of
 * 200 ms.
 */
const UNRESPONSIVE_ELECTIONS = 2;

/** How long a responsive new voter may take to catch up, in election timeouts, in addition to the time for its bytes. */
const CATCH_UP_ELECTIONS = 10;

/** Rate below which a new voter is too slow, in bytes per millisecond: 1 Mbit/s. */
const MIN_CATCH_UP_BYTES_PER_MS = 125;

/** How many times larger than the state entries may be that a new voter is sent in its place. */
const MAX_STATES = 4;

/** The operations of the leader that a membership change uses. */
export interface MembershipLog {
  readonly voter: voters.Voter;
  readonly heartbeatMs: number;
  isActive(): boolean;
  /** Resolves once leadership is confirmed and all entries appended before the call are applied here. */
  barrier(): Promise<void>;
  /** Appends a voter set, which is effective at once, and replicates to all its voters. */
  appendVoterSet(voterSet: types.VoterSet): types.Entry;
  awaitCommitted(index: number): Promise<void>;
  /** The size of a snapshot of the state, in bytes. */
  getSnapshotBytes(): number;
  /** Starts the replication to a host, which may not be a voter yet. */
  startPeer(slot: types.VoterSlot): replicators.Replicator;
  /** Stops the replication to hosts without a voter slot. */
  dropLearners(): void;
}

/** Computes the next voters from the current ones; `undefined` for no change. */
export type GetNextVoters = (
  slots: readonly types.VoterSlot[],
) => readonly types.VoterSlot[] | undefined;

/**
 * Changes the voters by joint consensus, in two entries: after the first, both the former and the next voters must
 * agree, each by a majority of their own; after the second, the next voters alone. Adding and removing one voter at a
 * time would be correct too, but replacing a dead voter of three would pass through a set of four that includes the
 * dead one. The loss of the new voter would then stop the log, though it worked without that voter before. With joint
 * consensus a change never depends on a voter that is needed neither before nor after it. No loss that is tolerated
 * before and after a change stops the log during it, whenever it occurs.
 */
export class MembershipChange {
  private tail: Promise<void> = Promise.resolve();

  public constructor(private readonly log: MembershipLog) {}

  /**
   * Changes the voters to those that `getNext` returns, if any. Changes run one at a time, and `getNext` is called only
   * when its change starts: a plan based on an outdated voter set would undo the changes made since.
   */
  public change(getNext: GetNextVoters): Promise<void> {
    return this.enqueue(async () => {
      await this.finishNow();
      const { seats } = this.log.voter.entries.getVoterSet();
      const next = getNext(seats);
      if (next === undefined || isSameSet(seats, next)) {
        return;
      }
      await this.catchUp(next.filter((slot) => !includesVoter(seats, slot)));
      await this.log.barrier();
      this.log.appendVoterSet({ seats: [...next], former: seats });
      await this.finishNow();
    });
  }

  /**
   * Finishes a change that an earlier leader started; unfinished, it would require majorities of both groups forever.
   */
  public finish(): Promise<void> {
    return this.enqueue(() => this.finishNow());
  }

  private enqueue(work: () => Promise<void>): Promise<void> {
    const run = this.tail.then(work);
    this.tail = run.catch(() => {});
    return run;
  }

  private async finishNow(): Promise<void> {
    const { entries } = this.log.voter;
    const { seats, former } = entries.getVoterSet();
    if (former === undefined) {
      return;
    }
    const index = entries.getLastVoterChangeIndex();
    await this.log.awaitCommitted(index);
    const newVoters = seats.filter((slot) => !includesVoter(former, slot));
    // The next set takes effect alone only when the new voters have the joint entry on disk. A voter without it doesn't
    // know that it may vote, and if the leader failed now, the others could not elect a new one with its vote.
    const isReplicated = await this.awaitAll(newVoters, (peer) => peer.matchIndex >= index);
    const last = this.log.appendVoterSet({ seats: isReplicated ? seats : former });
    await this.log.awaitCommitted(last.index);
    if (!isReplicated) {
      throw this.createCatchUpError(newVoters);
    }
  }

  /** Replicates to new voters until they have all committed entries. */
  private async catchUp(newVoters: readonly types.VoterSlot[]): Promise<void> {
    if (!(await this.awaitAll(newVoters, (peer) => peer.caughtUpAt > -Infinity))) {
      this.log.dropLearners();
      throw this.createCatchUpError(newVoters);
    }
  }

  /**
   * Waits until all new voters satisfy a condition; `false` on a timeout, so that a failed host doesn't block further
   * changes.
   */
  private async awaitAll(
    newVoters: readonly types.VoterSlot[],
    isDone: (peer: replicators.Replicator) => boolean,
  ): Promise<boolean> {
    const { entries, options } = this.log.voter;
    const { clock, timings } = options;
    const startedAt = clock.now();
    // What a new voter is sent: the state, or entries that are not much larger. More is added as it acknowledges it.
    const stateBytes = this.log.getSnapshotBytes();
    const bytes = Math.max(stateBytes, Math.min(entries.countBytes(), MAX_STATES * stateBytes));
    const peers = newVoters.map((slot) => this.log.startPeer(slot));
    while (!peers.every(isDone)) {
      if (!this.log.isActive()) {
        throw new schemas.StepError({ id: 'notLeader', step: 'change-seats' });
      }
      const now = clock.now();
      const isUnresponsive = peers.some(
        (peer) =>
          now - Math.max(peer.ackedAt, startedAt) > UNRESPONSIVE_ELECTIONS * timings.electionMs,
      );
      const ackedBytes = Math.min(...peers.map((peer) => peer.ackedBytes));
      const allowedMs =
        CATCH_UP_ELECTIONS * timings.electionMs + (bytes + ackedBytes) / MIN_CATCH_UP_BYTES_PER_MS;
      if (isUnresponsive || now - startedAt > allowedMs) {
        return false;
      }
      await this.log.voter.changed.wait(clock, this.log.heartbeatMs);
    }
    return true;
  }

  private createCatchUpError(newVoters: readonly types.VoterSlot[]): schemas.StepError {
    const peer = newVoters.map((slot) => slot.daemonId).join();
    return new schemas.StepError({ id: 'linkClosed', step: 'catch-up', peer });
  }
}

function includesVoter(slots: readonly types.VoterSlot[], { voterId }: types.VoterSlot): boolean {
  return slots.some((slot) => slot.voterId === voterId);
}

function isSameSet(some: readonly types.VoterSlot[], others: readonly types.VoterSlot[]): boolean {
  return some.length === others.length && some.every((slot) => includesVoter(others, slot));
}
