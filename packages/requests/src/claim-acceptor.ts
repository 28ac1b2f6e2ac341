import * as schemas from '@bramleyridge/schemas';

import * as types from './claim-types.js';

/** How long an acceptor keeps a claim, in milliseconds. Operators publish this period to callers. */
export const CLAIM_RETENTION_MS = 3_600_000;

/** Memory of a claim, in bytes. */
export const CLAIM_BYTES = 1_024;

/** Shortest interval between two log lines on refused claims, in milliseconds. */
const FULL_LOG_INTERVAL_MS = 10_000;

/** Maximum number of claims in one page of a recovery. */
const PAGE_RECORDS = 2_000;

/** The pause before another attempt to recover from the other acceptors, in milliseconds. */
const RECOVERY_RETRY_MS = 250;

const NO_BALLOT: types.Ballot = [0, ''];

const NO_EPOCH: types.AcceptorEpoch = [0, 0];

interface StoredRecord extends types.ClaimRecord {
  /** Increases with each change; the cursor of a recovery refers to it. */
  sequence: number;
}

/** The dependencies of a claim acceptor. */
export interface ClaimAcceptorOptions {
  readonly daemonId: string;
  readonly incarnation: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly transport: types.ClaimTransport;
  /** Number of claims from which new keys are refused; those that are stored stay. No limit by default. */
  readonly maxClaims?: number | undefined;
}

/**
 * The acceptor of the claim group on this host. It keeps claims in memory only, since few hosts have disks. After a
 * restart, or when a slot is reassigned, the new holder lacks the promises of the slot, and its vote could allow a
 * second dispatch. It therefore refuses claims until it has copied the records of enough other acceptors to cover
 * every majority that included its slot. These acceptors store its epoch, by which proposers discard votes of the
 * previous holder.
 */
export class ClaimAcceptor {
  private slots: readonly schemas.ClaimAcceptorSlot[] = [];
  private epochs: types.AcceptorEpoch[] = [];
  private slot = -1;
  private complete = false;
  private records = new Map<string, StoredRecord>();
  private sequence = 0;
  private fullLoggedAt = -Infinity;

  public constructor(private readonly options: ClaimAcceptorOptions) {}

  /** Applies the slots in force and starts recovery when this daemon was assigned one. */
  public configure(slots: readonly schemas.ClaimAcceptorSlot[], founders: readonly string[]): void {
    const { daemonId, incarnation } = this.options;
    const slot = slots.findIndex((item) => item.daemonId === daemonId);
    const isNew = slot >= 0 && slots[slot]?.since !== this.slots[this.slot]?.since;
    this.slots = slots;
    this.slot = slot;
    this.epochs = slots.map(
      (item, i) => types.mergeEpochs([this.epochs[i] ?? NO_EPOCH], [[item.since, 0]])[0]!,
    );
    if (slot < 0) {
      this.complete = false;
      this.records.clear();
      return;
    }
    if (isNew) {
      this.epochs[slot] = [slots[slot]!.since, incarnation];
      const isFounder =
        this.isFoundingGroup(slots) && founders.includes(`${daemonId}@${incarnation}`);
      this.records.clear();
      this.complete = isFounder;
      if (!isFounder) {
        const { log } = this.options;
        const { since } = slots[slot]!;
        schemas.runInBackground(() => this.recover(since), { log, step: 'recover-claims' });
      }
    }
  }

  /** Returns whether this acceptor has recovered and votes. */
  public isComplete(): boolean {
    return this.complete;
  }

  /** Returns the number of stored claims. */
  public getSize(): number {
    return this.records.size;
  }

  /** Handles a prepare or accept request. */
  public handleClaim(req: types.ClaimReq): types.ClaimRes {
    const stored = this.records.get(req.key);
    const promised = stored?.promised ?? NO_BALLOT;
    const isFull = stored === undefined && this.isFull();
    const isRefused = isFull || !this.complete || types.isHigher(promised, req.ballot);
    if (!isRefused) {
      const accepted =
        req.value === undefined ? stored?.accepted : { ballot: req.ballot, value: req.value };
      this.store({ key: req.key, promised: req.ballot, accepted, at: this.options.clock.now() });
    }
    return {
      ok: !isRefused,
      seat: this.slot,
      marks: this.epochs,
      promised: isRefused ? promised : req.ballot,
      accepted: stored?.accepted,
    };
  }

  /** Returns a page of the stored claims, and stores the new epoch of the slot that is recovering. */
  public handleRecover(req: types.RecoverReq): types.RecoverRes {
    const merged = types.mergeEpochs([this.epochs[req.seat] ?? NO_EPOCH], [req.mark]);
    this.epochs[req.seat] = merged[0]!;
    const rest = [...this.records.values()].filter((record) => record.sequence > req.cursor);
    const page = rest.slice(0, PAGE_RECORDS);
    return {
      seat: this.slot,
      isComplete: this.complete,
      marks: this.epochs,
      records: page.map(({ sequence, ...record }) => ({
        ...record,
        at: record.at - this.options.clock.now(),
      })),
      cursor: page.at(-1)?.sequence ?? req.cursor,
      isLast: page.length === rest.length,
    };
  }

  /** Deletes claims older than the retention period. */
  public expire(): void {
    const oldest = this.options.clock.now() - CLAIM_RETENTION_MS;
    for (const [key, record] of this.records) {
      if (record.at < oldest) {
        this.records.delete(key);
      }
    }
  }

  /** Returns whether no more keys fit. A claim is never removed early: its call could run a second time. */
  private isFull(): boolean {
    const { clock, log, maxClaims = Infinity } = this.options;
    if (this.records.size < maxClaims) {
      return false;
    }
    if (clock.now() - this.fullLoggedAt >= FULL_LOG_INTERVAL_MS) {
      this.fullLoggedAt = clock.now();
      log.warn({ decision: 'refuse-claims', claims: this.records.size, limit: maxClaims });
    }
    return true;
  }

  private store(record: types.ClaimRecord): void {
    this.sequence += 1;
    this.records.delete(record.key);
    this.records.set(record.key, { ...record, sequence: this.sequence });
  }

  private isFoundingGroup(slots: readonly schemas.ClaimAcceptorSlot[]): boolean {
    return slots.length > 0 && slots.every((item) => item.since === slots[0]?.since);
  }

  private async recover(since: number): Promise<void> {
    const { clock } = this.options;
    const isCurrent = () => this.slots[this.slot]?.since === since;
    while (isCurrent() && !this.complete) {
      const copied = new Set<number>();
      const others = this.slots.filter((_, i) => i !== this.slot);
      await Promise.all(others.map((item) => this.copyFrom(item.daemonId, copied)));
      if (!isCurrent() || !this.completeIfCovered(copied)) {
        await clock.sleep(RECOVERY_RETRY_MS);
      }
    }
  }

  /** Begins to vote if the slots whose records were copied cover every majority that included this one. */
  private completeIfCovered(copied: ReadonlySet<number>): boolean {
    // A majority that included this slot has at least floor(n/2) of the n - 1 others. Copying from n - floor(n/2) of
    // them leaves out fewer than that, so at least one member of each such majority is among those copied.
    const needed = this.slots.length - Math.floor(this.slots.length / 2);
    if (copied.size < needed) {
      return false;
    }
    this.complete = true;
    this.options.log.info({
      decision: 'claim-seat',
      seat: this.slot,
      reason: 'recovered',
      from: copied.size,
    });
    return true;
  }

  private async copyFrom(daemonId: string, copied: Set<number>): Promise<void> {
    const { transport } = this.options;
    const epoch = this.epochs[this.slot]!;
    let cursor = 0;
    let peerEpoch: types.AcceptorEpoch | undefined;
    try {
      for (;;) {
        const res = await transport.recover(daemonId, { seat: this.slot, mark: epoch, cursor });
        const resEpoch = res.marks[res.seat] ?? NO_EPOCH;
        const isStale = types.isLater(this.epochs[res.seat] ?? NO_EPOCH, resEpoch);
        // A peer that has restarted numbers its records anew, so that pages after this cursor don't complete the copy.
        const hasRestarted = peerEpoch !== undefined && types.isLater(resEpoch, peerEpoch);
        if (!res.isComplete || res.seat < 0 || isStale || hasRestarted) {
          return;
        }
        peerEpoch = resEpoch;
        res.records.forEach((record) => this.merge(record));
        cursor = res.cursor;
        if (res.isLast) {
          copied.add(res.seat);
          return;
        }
      }
    } catch {
      // The recovery loop sends the request again.
    }
  }

  private merge(record: types.ClaimRecord): void {
    const stored = this.records.get(record.key);
    const at = this.options.clock.now() + record.at;
    const promised =
      stored !== undefined && types.isHigher(stored.promised, record.promised)
        ? stored.promised
        : record.promised;
    const accepted = pickHigher(stored?.accepted, record.accepted);
    this.store({ key: record.key, promised, accepted, at: Math.max(at, stored?.at ?? -Infinity) });
  }
}

function pickHigher(
  a: types.ClaimRecord['accepted'],
  b: types.ClaimRecord['accepted'],
): types.ClaimRecord['accepted'] {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  return types.isHigher(a.ballot, b.ballot) ? a : b;
}
