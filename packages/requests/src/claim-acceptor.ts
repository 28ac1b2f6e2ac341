import type * as schemas from '@bramleyridge/schemas';

import * as types from './claim-types.js';

/** How long a claim is remembered, in milliseconds; operators tell callers this. */
export const CLAIM_RETENTION_MS = 3_600_000;

/** How many claims are given in one page of a recovery. */
const PAGE = 2_000;

/** How long to wait before asking the other seats again, in milliseconds. */
const ASK_AGAIN_MS = 250;

const NO_BALLOT: types.Ballot = [0, ''];

interface StoredRecord extends types.ClaimRecord {
  order: number;
}

/** What a seat needs to know of its daemon. */
export interface ClaimAcceptorOptions {
  readonly daemonId: string;
  readonly incarnation: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly transport: types.ClaimTransport;
}

/**
 * One seat of the claim group. It keeps claims in memory only, since few hosts have disks. A holder that
 * restarted or was newly seated has forgotten what the seat promised; a vote of it could let a second
 * dispatch through. So it answers nothing until enough other seats have told it everything that any
 * majority with this seat could have agreed, and they note from then on that the former holder is gone.
 * A majority that still counted the former holder is recognised by these notes and is not counted.
 */
export class ClaimAcceptor {
  private seats: readonly schemas.ClaimSeat[] = [];
  private marks: types.AcceptorEpoch[] = [];
  private seat = -1;
  private complete = false;
  private records = new Map<string, StoredRecord>();
  private order = 0;

  public constructor(private readonly options: ClaimAcceptorOptions) {}

  /** Takes the seats in force; begins to recover when this daemon got one. */
  public configure(seats: readonly schemas.ClaimSeat[], founders: readonly string[]): void {
    const { daemonId, incarnation } = this.options;
    const seat = seats.findIndex((item) => item.daemonId === daemonId);
    const isNew = seat >= 0 && seats[seat]?.since !== this.seats[this.seat]?.since;
    this.seats = seats;
    this.seat = seat;
    this.marks = seats.map(
      (item, i) => types.mergeEpochs([this.marks[i] ?? [0, 0]], [[item.since, 0]])[0]!,
    );
    if (seat < 0) {
      this.complete = false;
      this.records.clear();
      return;
    }
    if (isNew) {
      this.marks[seat] = [seats[seat]!.since, incarnation];
      const isFounder = this.isFounding(seats) && founders.includes(`${daemonId}@${incarnation}`);
      this.records.clear();
      this.complete = isFounder;
      if (!isFounder) {
        void this.recover(seats[seat]!.since);
      }
    }
  }

  /** Whether this seat counts. */
  public isComplete(): boolean {
    return this.complete;
  }

  /** How many claims are remembered. */
  public getSize(): number {
    return this.records.size;
  }

  /** Promises, or accepts. */
  public handleClaim(req: types.ClaimReq): types.ClaimRes {
    const known = this.records.get(req.key);
    const promised = known?.promised ?? NO_BALLOT;
    const isRefused = !this.complete || types.isHigher(promised, req.ballot);
    if (!isRefused) {
      const accepted =
        req.value === undefined ? known?.accepted : { ballot: req.ballot, value: req.value };
      this.store({ key: req.key, promised: req.ballot, accepted, at: this.options.clock.now() });
    }
    return {
      ok: !isRefused,
      seat: this.seat,
      marks: this.marks,
      promised: isRefused ? promised : req.ballot,
      accepted: known?.accepted,
    };
  }

  /** Gives a page of what is remembered, and notes that a seat has a new holder. */
  public handleRecover(req: types.RecoverReq): types.RecoverRes {
    const noted = types.mergeEpochs([this.marks[req.seat] ?? [0, 0]], [req.mark]);
    this.marks[req.seat] = noted[0]!;
    const rest = [...this.records.values()].filter((record) => record.order > req.cursor);
    const page = rest.slice(0, PAGE);
    return {
      seat: this.seat,
      isComplete: this.complete,
      marks: this.marks,
      records: page.map(({ order, ...record }) => ({
        ...record,
        at: record.at - this.options.clock.now(),
      })),
      cursor: page.at(-1)?.order ?? req.cursor,
      isLast: page.length === rest.length,
    };
  }

  /** Forgets claims whose time is over. */
  public expire(): void {
    const oldest = this.options.clock.now() - CLAIM_RETENTION_MS;
    for (const [key, record] of this.records) {
      if (record.at < oldest) {
        this.records.delete(key);
      }
    }
  }

  private store(record: types.ClaimRecord): void {
    this.order += 1;
    this.records.delete(record.key);
    this.records.set(record.key, { ...record, order: this.order });
  }

  private isFounding(seats: readonly schemas.ClaimSeat[]): boolean {
    return seats.length > 0 && seats.every((item) => item.since === seats[0]?.since);
  }

  private async recover(since: number): Promise<void> {
    const { clock, log } = this.options;
    const isCurrent = () => this.seats[this.seat]?.since === since;
    while (isCurrent() && !this.complete) {
      const told = new Set<number>();
      const others = this.seats.filter((_, i) => i !== this.seat);
      await Promise.all(others.map((item) => this.copyFrom(item.daemonId, told)));
      // Any majority that had this seat has this many others at least one in common with these.
      const needed = this.seats.length - Math.floor(this.seats.length / 2);
      if (isCurrent() && told.size >= needed) {
        this.complete = true;
        log.info({ decision: 'claim-seat', seat: this.seat, reason: 'recovered', from: told.size });
      } else {
        await clock.sleep(ASK_AGAIN_MS);
      }
    }
  }

  private async copyFrom(daemonId: string, told: Set<number>): Promise<void> {
    const { transport } = this.options;
    const mark = this.marks[this.seat]!;
    let cursor = 0;
    try {
      for (;;) {
        const res = await transport.recover(daemonId, { seat: this.seat, mark, cursor });
        const isStale = types.isLater(
          this.marks[res.seat] ?? [0, 0],
          res.marks[res.seat] ?? [0, 0],
        );
        if (!res.isComplete || res.seat < 0 || isStale) {
          return;
        }
        res.records.forEach((record) => this.merge(record));
        cursor = res.cursor;
        if (res.isLast) {
          told.add(res.seat);
          return;
        }
      }
    } catch {
      // It is asked again with the others.
    }
  }

  private merge(record: types.ClaimRecord): void {
    const known = this.records.get(record.key);
    const at = this.options.clock.now() + record.at;
    const promised =
      known !== undefined && types.isHigher(known.promised, record.promised)
        ? known.promised
        : record.promised;
    const accepted = pickHigher(known?.accepted, record.accepted);
    this.store({ key: record.key, promised, accepted, at: Math.max(at, known?.at ?? -Infinity) });
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
