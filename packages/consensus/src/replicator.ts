import type * as leaderships from './leadership.js';
import type * as types from './types.js';

/** The most entries in one message. */
const MAX_ENTRIES = 256;

/** The leader's task for one other voter: brings it up to the leader's log and keeps it there. */
export class Replicator {
  public matchIndex = 0;
  /** When the last message that was answered had been sent, on the leader's clock. */
  public ackedAt = -Infinity;
  /** When a message was sent upon which it held everything that was committed then, on the leader's clock. */
  public caughtUpAt = -Infinity;
  private next: number;
  private stopped = false;
  private retiresAt = Infinity;

  public constructor(
    public readonly slot: types.VoterSlot,
    private readonly leadership: leaderships.Leadership,
  ) {
    this.next = leadership.voter.entries.lastIndex + 1;
  }

  /** Runs until stopped. */
  public async run(): Promise<void> {
    const { voter, heartbeatMs } = this.leadership;
    const { clock } = voter.options;
    while (!this.stopped && this.leadership.isActive() && clock.now() < this.retiresAt) {
      const isReached = await this.exchange();
      const isBehind = this.next <= voter.entries.lastIndex;
      if (!isReached) {
        await clock.sleep(heartbeatMs).catch(() => {});
      } else if (!isBehind) {
        await this.leadership.appended.wait(clock, heartbeatMs);
      }
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.stopped = true;
  }

  /** Whether the task goes on. */
  public isRunning(): boolean {
    return !this.stopped && this.leadership.voter.options.clock.now() < this.retiresAt;
  }

  /** Whether it only goes on for a little. */
  public isRetiring(): boolean {
    return this.retiresAt < Infinity;
  }

  /** Ends the task a little later, so that a host whose seat was taken away hears of it and does not stand for election. */
  public retire(afterMs: number): void {
    this.retiresAt = Math.min(this.retiresAt, this.leadership.voter.options.clock.now() + afterMs);
  }

  private async exchange(): Promise<boolean> {
    const { voter } = this.leadership;
    const sentAt = voter.options.clock.now();
    const committed = voter.commitIndex;
    try {
      const res = await this.send();
      if (res.term > voter.term) {
        await voter.adoptTerm(res.term, null);
        return false;
      }
      return this.take(res, sentAt, committed);
    } catch {
      return false;
    }
  }

  private send(): Promise<types.AppendRes> {
    const { voter, term } = this.leadership;
    const { transport } = voter.options;
    const prevIndex = this.next - 1;
    const prevTerm = voter.entries.findTerm(prevIndex);
    if (prevTerm === undefined || prevIndex < voter.entries.baseIndex) {
      return transport.snapshot(this.slot.daemonId, this.createSnapshotReq());
    }
    return transport.append(this.slot.daemonId, {
      term,
      leader: voter.daemonId,
      prevIndex,
      prevTerm,
      entries: voter.entries.slice(this.next, MAX_ENTRIES),
      commit: voter.commitIndex,
    });
  }

  private createSnapshotReq(): types.SnapshotReq {
    const { voter, term } = this.leadership;
    const lastIndex = voter.appliedIndex;
    const seating = voter.entries.getVoterSetAt(lastIndex);
    return {
      term,
      leader: voter.daemonId,
      lastIndex,
      lastTerm: voter.entries.findTerm(lastIndex) ?? 0,
      voters: seating.seats,
      formerVoters: seating.former,
      state: structuredClone(voter.options.machine.getSnapshot()),
    };
  }

  private take(res: types.AppendRes, sentAt: number, committed: number): boolean {
    // A daemon that lost its disk answers at the old address with another number. What the old folder
    // promised is gone, so the answer must not count towards a majority.
    if (res.voterId !== this.slot.voterId) {
      return false;
    }
    this.ackedAt = Math.max(this.ackedAt, sentAt);
    if (res.ok) {
      this.matchIndex = Math.max(this.matchIndex, res.match);
      this.next = Math.max(this.next, res.match + 1);
      // One that is several messages behind answers too, but does not hold everything yet.
      this.caughtUpAt =
        res.match >= committed ? Math.max(this.caughtUpAt, sentAt) : this.caughtUpAt;
      this.leadership.advanceCommit();
    } else {
      this.next = Math.max(1, res.hint + 1);
    }
    return true;
  }
}
