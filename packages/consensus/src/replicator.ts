import type * as leaderships from './leadership.js';
import type * as types from './types.js';

/** Maximum number of entries in one append request. */
const MAX_ENTRIES = 256;

/** Replicates the leader's log to one other host. */
export class Replicator {
  /** The highest index that is durable on the host. */
  public matchIndex = 0;
  /** When the last acknowledged request was sent, on the leader's clock. */
  public ackedAt = -Infinity;
  /**
   * When the last request was sent whose response showed that the host had all entries that were committed at the time
   * of sending, on the leader's clock.
   */
  public caughtUpAt = -Infinity;
  private nextIndex: number;
  private stopped = false;
  private retiresAt = Infinity;

  public constructor(
    public readonly slot: types.VoterSlot,
    private readonly leadership: leaderships.Leadership,
  ) {
    this.nextIndex = leadership.voter.entries.lastIndex + 1;
  }

  /** Replicates until stopped or retired. */
  public async run(): Promise<void> {
    const { voter, heartbeatMs } = this.leadership;
    const { clock } = voter.options;
    while (!this.stopped && this.leadership.isActive() && clock.now() < this.retiresAt) {
      const isAcknowledged = await this.exchange();
      const isBehind = this.nextIndex <= voter.entries.lastIndex;
      if (!isAcknowledged) {
        await clock.sleep(heartbeatMs).catch(() => {});
      } else if (!isBehind) {
        await this.leadership.appended.wait(clock, heartbeatMs);
      }
    }
  }

  /** Stops the replication. */
  public stop(): void {
    this.stopped = true;
  }

  /** Whether the replication is neither stopped nor past its retirement. */
  public isRunning(): boolean {
    return !this.stopped && this.leadership.voter.options.clock.now() < this.retiresAt;
  }

  /** Whether the replication is retired, so that it ends soon. */
  public isRetiring(): boolean {
    return this.retiresAt < Infinity;
  }

  /** Stops the replication after a delay, so that a removed voter receives its removal and starts no elections. */
  public retire(afterMs: number): void {
    this.retiresAt = Math.min(this.retiresAt, this.leadership.voter.options.clock.now() + afterMs);
  }

  private async exchange(): Promise<boolean> {
    const { voter } = this.leadership;
    const sentAt = voter.options.clock.now();
    const commitIndexAtSend = voter.commitIndex;
    try {
      const res = await this.send();
      if (res.term > voter.term) {
        await voter.adoptTerm(res.term, null);
        return false;
      }
      return this.handleResponse(res, sentAt, commitIndexAtSend);
    } catch {
      return false;
    }
  }

  private send(): Promise<types.AppendRes> {
    const { voter, term } = this.leadership;
    const { transport } = voter.options;
    const prevIndex = this.nextIndex - 1;
    const prevTerm = voter.entries.findTerm(prevIndex);
    if (prevTerm === undefined || prevIndex < voter.entries.baseIndex) {
      return transport.snapshot(this.slot.daemonId, this.createSnapshotReq());
    }
    return transport.append(this.slot.daemonId, {
      term,
      leader: voter.daemonId,
      prevIndex,
      prevTerm,
      entries: voter.entries.slice(this.nextIndex, MAX_ENTRIES),
      commit: voter.commitIndex,
    });
  }

  private createSnapshotReq(): types.SnapshotReq {
    const { voter, term } = this.leadership;
    const lastIndex = voter.appliedIndex;
    const voterSet = voter.entries.getVoterSetAt(lastIndex);
    return {
      term,
      leader: voter.daemonId,
      lastIndex,
      lastTerm: voter.entries.findTerm(lastIndex) ?? 0,
      voters: voterSet.seats,
      formerVoters: voterSet.former,
      state: structuredClone(voter.options.machine.getSnapshot()),
    };
  }

  private handleResponse(res: types.AppendRes, sentAt: number, commitIndexAtSend: number): boolean {
    // A host that lost its disk answers at the same address with a different id. The entries that its old data
    // directory acknowledged are gone, so this response must not count towards a majority.
    if (res.voterId !== this.slot.voterId) {
      return false;
    }
    this.ackedAt = Math.max(this.ackedAt, sentAt);
    if (res.ok) {
      this.matchIndex = Math.max(this.matchIndex, res.match);
      this.nextIndex = Math.max(this.nextIndex, res.match + 1);
      // A host that is several requests behind succeeds too, but does not have all committed entries yet.
      this.caughtUpAt =
        res.match >= commitIndexAtSend ? Math.max(this.caughtUpAt, sentAt) : this.caughtUpAt;
      this.leadership.advanceCommit();
    } else {
      this.nextIndex = Math.max(1, res.hint + 1);
    }
    return true;
  }
}
