import * as schemas from '@bramleyridge/schemas';

import type * as leaderships from './leadership.js';
import type * as types from './types.js';

/** Maximum number of entries in one append request. */
const MAX_ENTRIES = 256;

/** Minimum time between two log lines about the same failing host, in milliseconds. */
const FAILURE_LOG_INTERVAL_MS = 5_000;

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
  /** When the first of the current series of failures occurred; `undefined` after a success. */
  private failingSince: number | undefined;
  private failureLoggedAt = -Infinity;

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
      this.logRecovery();
      return this.handleResponse(res, sentAt, commitIndexAtSend);
    } catch (err) {
      this.logFailure(schemas.toError(err), sentAt);
      return false;
    }
  }

  /** Logs what could not be sent: without its size, a request that is too large looks like a host that is down. */
  private logFailure({ message }: Error, sentAt: number): void {
    const { entries, options } = this.leadership.voter;
    const now = options.clock.now();
    this.failingSince ??= sentAt;
    if (this.stopped || now - this.failureLoggedAt < FAILURE_LOG_INTERVAL_MS) {
      return;
    }
    this.failureLoggedAt = now;
    options.log.warn({
      event: 'replication-failed',
      peer: this.slot.daemonId,
      nextIndex: this.nextIndex,
      lastIndex: entries.lastIndex,
      behindBytes: entries.countBytes(this.nextIndex),
      tookMs: Math.round(now - sentAt),
      failingMs: Math.round(now - this.failingSince),
      err: message,
    });
  }

  private logRecovery(): void {
    if (this.failingSince === undefined) {
      return;
    }
    const { clock, log } = this.leadership.voter.options;
    const failedMs = Math.round(clock.now() - this.failingSince);
    this.failingSince = undefined;
    this.failureLoggedAt = -Infinity;
    log.info({ event: 'replication-resumed', peer: this.slot.daemonId, failedMs });
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
