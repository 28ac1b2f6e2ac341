import * as schemas from '@bramleyridge/schemas';

import type * as leaderships from './leadership.js';
import type * as types from './types.js';

/** Maximum number of entries in one append request. */
const MAX_ENTRIES = 256;

/** Maximum size of the entries in one append request, in bytes; a single entry may be larger. */
const MAX_APPEND_BYTES = 512 * 1024;

/** Size of a request during which heartbeats are sent beside it, in bytes. */
const LARGE_REQUEST_BYTES = 64 * 1024;

/** Rate at which a slow disk stores what it receives, in bytes per millisecond. */
const STORE_BYTES_PER_MS = 2_048;

/** Size of the entries that a host lacks above which a much smaller snapshot is sent instead, in bytes. */
const MAX_BEHIND_BYTES = 2 * 1024 * 1024;

/** How many times smaller the snapshot has to be: storing it takes more syncs than appending entries. */
const MIN_SNAPSHOT_GAIN = 4;

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
  /** The number of bytes that the host has acknowledged, of entries and snapshots. */
  public ackedBytes = 0;
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
      const { bytes, res } = await this.send();
      if (res.term > voter.term) {
        await voter.adoptTerm(res.term, null);
        return false;
      }
      this.logRecovery();
      return this.handleResponse(res, bytes, sentAt, commitIndexAtSend);
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

  private async send(): Promise<{ readonly bytes: number; readonly res: types.AppendRes }> {
    const { voter } = this.leadership;
    const { transport } = voter.options;
    const { daemonId } = this.slot;
    if (this.needsSnapshot()) {
      const req = this.createSnapshotReq();
      const bytes = schemas.estimateEncodedBytes(req);
      const sending = transport.snapshot(daemonId, req, bytes / STORE_BYTES_PER_MS);
      return { bytes, res: await this.sendHeartbeatsDuring(sending, bytes) };
    }
    const entries = voter.entries.sliceBatch(this.nextIndex, MAX_ENTRIES, MAX_APPEND_BYTES);
    const bytes = voter.entries.countBytes(this.nextIndex, this.nextIndex + entries.length - 1);
    const req = this.createAppendReq(this.nextIndex - 1, entries);
    const sending = transport.append(daemonId, req, bytes / STORE_BYTES_PER_MS);
    return { bytes, res: await this.sendHeartbeatsDuring(sending, bytes) };
  }

  /**
   * Whether to send a snapshot: the leader has discarded entries that the host lacks, or they are so large that the
   * state is smaller. Sent one by one, large entries may come faster than a host that has missed many receives them.
   */
  private needsSnapshot(): boolean {
    const { appliedIndex, entries } = this.leadership.voter;
    if (entries.findTerm(this.nextIndex - 1) === undefined) {
      return true;
    }
    const bytes = entries.countBytes(this.nextIndex, appliedIndex);
    return (
      bytes > MAX_BEHIND_BYTES && bytes > MIN_SNAPSHOT_GAIN * this.leadership.getSnapshotBytes()
    );
  }

  /**
   * Sends heartbeats while a large request is on its way. A host that receives one for longer than the election timeout
   * would otherwise take the leader for lost.
   */
  private async sendHeartbeatsDuring(
    sending: Promise<types.AppendRes>,
    bytes: number,
  ): Promise<types.AppendRes> {
    if (bytes <= LARGE_REQUEST_BYTES) {
      return sending;
    }
    const over = new AbortController();
    const { log } = this.leadership.voter.options;
    const task = { log, step: 'send-heartbeats', peer: this.slot.daemonId };
    schemas.runInBackground(() => this.sendHeartbeats(over.signal), task);
    return sending.finally(() => over.abort(new Error('over')));
  }

  private async sendHeartbeats(signal: AbortSignal): Promise<void> {
    const { clock } = this.leadership.voter.options;
    await clock.sleep(this.leadership.heartbeatMs, signal).catch(() => {});
    while (!signal.aborted && !this.stopped && this.leadership.isActive()) {
      await this.sendHeartbeat().catch(() => {});
      await clock.sleep(this.leadership.heartbeatMs, signal).catch(() => {});
    }
  }

  private async sendHeartbeat(): Promise<void> {
    const { voter } = this.leadership;
    const sentAt = voter.options.clock.now();
    const prevIndex = Math.max(this.matchIndex, voter.entries.baseIndex);
    const req = this.createAppendReq(prevIndex, []);
    const res = await voter.options.transport.append(this.slot.daemonId, req, 0);
    if (res.term > voter.term) {
      await voter.adoptTerm(res.term, null);
    } else if (res.voterId === this.slot.voterId) {
      this.recordAck(sentAt);
      this.leadership.advanceCommit();
    }
  }

  private recordAck(sentAt: number): void {
    this.ackedAt = Math.max(this.ackedAt, sentAt);
  }

  private createAppendReq(prevIndex: number, entries: readonly types.Entry[]): types.AppendReq {
    const { term, voter } = this.leadership;
    return {
      term,
      leader: voter.daemonId,
      prevIndex,
      prevTerm: voter.entries.findTerm(prevIndex) ?? 0,
      entries: [...entries],
      commit: voter.commitIndex,
    };
  }

  private createSnapshotReq(): types.SnapshotReq {
    const { voter, term } = this.leadership;
    const lastIndex = voter.appliedIndex;
    const voterSet = voter.entries.getVoterSetAt(lastIndex);
    return {
      term,
      leader: voter.daemonId,
      lastIndex,
      lastTerm: voter.entries.getTerm(lastIndex),
      voters: voterSet.seats,
      formerVoters: voterSet.former,
      state: structuredClone(voter.options.machine.getSnapshot()),
    };
  }

  private handleResponse(
    res: types.AppendRes,
    bytes: number,
    sentAt: number,
    commitIndexAtSend: number,
  ): boolean {
    this.ackedBytes += res.ok ? bytes : 0;
    // A host that lost its disk answers at the same address with a different id. The entries that its old data
    // directory acknowledged are gone, so this response must not count towards a majority.
    if (res.voterId !== this.slot.voterId) {
      return false;
    }
    this.recordAck(sentAt);
    if (res.ok) {
      this.matchIndex = Math.max(this.matchIndex, res.match);
      this.nextIndex = Math.max(this.nextIndex, res.match + 1);
      // A host that is several requests behind succeeds too, but does not have all committed entries yet.
      this.caughtUpAt =
        res.match >= commitIndexAtSend ? Math.max(this.caughtUpAt, sentAt) : this.caughtUpAt;
      this.leadership.advanceCommit();
      return true;
    }
    // Without progress the same request would follow at once, from a voter whose disk has failed for as long as it is up.
    const nextIndex = Math.max(1, res.hint + 1);
    const hasProgress = nextIndex !== this.nextIndex;
    this.nextIndex = nextIndex;
    return hasProgress;
  }
}
