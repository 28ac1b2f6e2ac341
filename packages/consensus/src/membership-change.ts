import * as schemas from '@bramleyridge/schemas';

import type * as replicators from './replicator.js';
import type * as types from './types.js';
import type * as voters from './voter.js';

/** How long a newcomer may be silent before it is given up for now, in election timeouts; a lost message costs a quarter. */
const SILENT_ELECTIONS = 2;

/** How long a newcomer that answers may take to hold the log, in election timeouts: 6 s for a snapshot over a slow link. */
const CATCH_UP_ELECTIONS = 10;

/** What a change of seats needs of the leadership under which it is made. */
export interface MembershipLog {
  readonly voter: voters.Voter;
  readonly heartbeatMs: number;
  isActive(): boolean;
  /** Resolves once everything before is applied here and this voter still leads. */
  barrier(): Promise<void>;
  /** Puts who votes into the log, in force from then on, and replicates to everyone who does. */
  appendVoterSet(seating: types.VoterSet): types.Entry;
  awaitCommitted(index: number): Promise<void>;
  /** Replicates to a host that has no seat yet. */
  startPeer(seat: types.VoterSlot): replicators.Replicator;
  /** Replicates no more to hosts that have no seat. */
  dropLearners(): void;
}

/** Who should vote, given who does; nothing for no change. */
export type GetNextVoters = (
  seats: readonly types.VoterSlot[],
) => readonly types.VoterSlot[] | undefined;

/**
 * Changes who votes, in two entries: from the first on the former and the next voters must both agree, each by a
 * majority of their own, from the second on the next alone. One entry more or less at a time would do too, but on its
 * way from three seats to three there are four, one of them dead, and the loss of the newcomer stops a log that did
 * without it before. Here a change never needs a voter that was not needed before or will be after it: of losses that are
 * borne before and after it, placed at every millisecond of it, none stops the log.
 */
export class MembershipChange {
  private tail: Promise<void> = Promise.resolve();

  public constructor(private readonly log: MembershipLog) {}

  /**
   * Changes the voters to those that `getNext` names, or leaves them when it names none. Changes are made one after the
   * other, and each is decided when its turn has come: a plan made upon seats that have changed since would undo that.
   */
  public change(getNext: GetNextVoters): Promise<void> {
    return this.enqueue(async () => {
      await this.finishNow();
      const { seats } = this.log.voter.entries.getVoterSet();
      const next = getNext(seats);
      if (next === undefined || isSameSet(seats, next)) {
        return;
      }
      await this.bringUp(next.filter((seat) => !isIn(seats, seat)));
      await this.log.barrier();
      this.log.appendVoterSet({ seats: [...next], former: seats });
      await this.finishNow();
    });
  }

  /** Finishes a change that an earlier leader began: half done it would need the majorities of both groups for ever. */
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
    const newcomers = seats.filter((seat) => !isIn(former, seat));
    // A newcomer counts alone with the others only when its disk says that it is one. Else it would not know that it
    // may vote, and if the leader went now, the others could not elect one with it.
    const isHeld = await this.awaitAll(newcomers, (peer) => peer.matchIndex >= index);
    const last = this.log.appendVoterSet({ seats: isHeld ? seats : former });
    await this.log.awaitCommitted(last.index);
    if (!isHeld) {
      throw this.createCatchUpError(newcomers);
    }
  }

  /** Replicates to newcomers until they hold everything that is committed. */
  private async bringUp(newcomers: readonly types.VoterSlot[]): Promise<void> {
    if (!(await this.awaitAll(newcomers, (peer) => peer.caughtUpAt > -Infinity))) {
      this.log.dropLearners();
      throw this.createCatchUpError(newcomers);
    }
  }

  /** Whether all of them get there; a newcomer that dies on the way must not hold up the seating of others for ever. */
  private async awaitAll(
    newcomers: readonly types.VoterSlot[],
    isThere: (peer: replicators.Replicator) => boolean,
  ): Promise<boolean> {
    const { clock, timings } = this.log.voter.options;
    const startedAt = clock.now();
    const peers = newcomers.map((seat) => this.log.startPeer(seat));
    while (!peers.every(isThere)) {
      if (!this.log.isActive()) {
        throw new schemas.StepError({ id: 'notLeader', step: 'change-seats' });
      }
      const now = clock.now();
      const isSilent = peers.some(
        (peer) => now - Math.max(peer.ackedAt, startedAt) > SILENT_ELECTIONS * timings.electionMs,
      );
      if (isSilent || now - startedAt > CATCH_UP_ELECTIONS * timings.electionMs) {
        return false;
      }
      await this.log.voter.changed.wait(clock, this.log.heartbeatMs);
    }
    return true;
  }

  private createCatchUpError(newcomers: readonly types.VoterSlot[]): schemas.StepError {
    const peer = newcomers.map((seat) => seat.daemonId).join();
    return new schemas.StepError({ id: 'linkClosed', step: 'catch-up', peer });
  }
}

function isIn(seats: readonly types.VoterSlot[], { voterId }: types.VoterSlot): boolean {
  return seats.some((seat) => seat.voterId === voterId);
}

function isSameSet(some: readonly types.VoterSlot[], others: readonly types.VoterSlot[]): boolean {
  return some.length === others.length && some.every((seat) => isIn(others, seat));
}
