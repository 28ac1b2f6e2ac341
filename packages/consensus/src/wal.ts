import * as schemas from '@bramleyridge/schemas';

import * as batchFrame from './batch-frame.js';
import type * as fileLayer from './file-storage.js';
import type * as types from './types.js';

const WAL_FILE = 'log.wal';
const SNAPSHOT_FILE = 'snapshot';

/** What is written ahead: entries, and the term with the vote given in it. */
export type WalRecord =
  | { readonly kind: 'entries'; readonly entries: readonly types.Entry[] }
  | { readonly kind: 'vote'; readonly term: number; readonly votedFor: string | null };

/** A snapshot with the place in the log that it stands for. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly voters: readonly types.VoterSlot[];
  /** Set while seats change hands. */
  readonly formerVoters?: readonly types.VoterSlot[] | undefined;
  readonly state: unknown;
}

/** What a voter remembers after a restart. */
export interface RecoveredState {
  term: number;
  votedFor: string | null;
  snapshot: Snapshot | undefined;
  entries: types.Entry[];
}

/** The write-ahead log of one voter: whatever `append` has resolved for is on the disk. */
export class Wal {
  private queue: WalRecord[] = [];
  private nextBatch: Promise<void> | undefined;
  private tail: Promise<void> = Promise.resolve();
  private failed: Error | undefined;

  public constructor(private readonly files: fileLayer.FileStorage) {}

  /** Reads what was kept, and cuts off a tail that a crash left torn. */
  public async recover(): Promise<RecoveredState> {
    const found: RecoveredState = { term: 0, votedFor: null, snapshot: undefined, entries: [] };
    const snapshotBytes = await this.files.read(SNAPSHOT_FILE);
    if (snapshotBytes !== undefined) {
      found.snapshot = readSnapshot(snapshotBytes);
    }
    const bytes = (await this.files.read(WAL_FILE)) ?? Buffer.alloc(0);
    const { batches, wholeBytes } = batchFrame.decodeBatchFile(WAL_FILE, bytes);
    if (wholeBytes < bytes.length) {
      await this.files.truncate(WAL_FILE, wholeBytes);
    }
    // A process that was killed between a write and its sync leaves entries that are read back but would not
    // survive a power loss. They count as held from here on, so they are synced before anything is said.
    await this.files.sync(WAL_FILE);
    (batches as WalRecord[][]).flat().forEach((record) => replay(found, record));
    const base = found.snapshot?.lastIndex ?? 0;
    found.entries = found.entries.filter((entry) => entry.index > base);
    return found;
  }

  /** Writes records and resolves when they are synced; calls that come together share one sync. */
  public append(...records: WalRecord[]): Promise<void> {
    this.queue.push(...records);
    this.nextBatch ??= this.enqueue(async () => {
      const batch = this.queue;
      this.queue = [];
      this.nextBatch = undefined;
      await this.writeBatch(batch);
    });
    return this.nextBatch;
  }

  /**
   * Keeps a snapshot and starts the log anew with the entries behind it. Records that wait meanwhile are
   * written after it; they repeat what `getRest` gave, and replaying a repeated record changes nothing.
   */
  public async compact(
    snapshot: Snapshot,
    getRest: () => { term: number; votedFor: string | null; entries: readonly types.Entry[] },
  ): Promise<void> {
    await this.enqueue(() => this.files.replace(SNAPSHOT_FILE, batchFrame.encodeBatch(snapshot)));
    await this.enqueue(async () => {
      const { term, votedFor, entries } = getRest();
      const records: WalRecord[] = [
        { kind: 'vote', term, votedFor },
        { kind: 'entries', entries },
      ];
      await this.files.replace(WAL_FILE, batchFrame.encodeBatch(records));
    });
  }

  private enqueue(work: () => Promise<void>): Promise<void> {
    const run = this.tail.then(() => this.guard(work));
    this.tail = run.catch(() => {});
    return run;
  }

  private async writeBatch(batch: readonly WalRecord[]): Promise<void> {
    if (batch.length === 0) {
      return;
    }
    await this.files.append(WAL_FILE, batchFrame.encodeBatch(batch));
    await this.files.sync(WAL_FILE);
  }

  private async guard(work: () => Promise<void>): Promise<void> {
    // After a failed sync the kernel may have dropped the pages, and a second sync would say all is well.
    // So the first failure is final, and the voter stops promising anything.
    if (this.failed !== undefined) {
      throw this.failed;
    }
    try {
      await work();
    } catch (err) {
      this.failed = schemas.toError(err);
      throw this.failed;
    }
  }
}

function readSnapshot(bytes: Buffer): Snapshot {
  const [snapshot] = batchFrame.decodeBatchFile(SNAPSHOT_FILE, bytes).batches;
  if (snapshot === undefined) {
    throw new schemas.StepError({
      id: 'chainBroken',
      step: 'read-snapshot',
      args: [SNAPSHOT_FILE, 0],
    });
  }
  return snapshot as Snapshot;
}

function replay(found: RecoveredState, record: WalRecord): void {
  if (record.kind === 'vote') {
    found.term = record.term;
    found.votedFor = record.votedFor;
    return;
  }
  const first = record.entries[0];
  if (first === undefined) {
    return;
  }
  // An entry with a known index replaces it and all behind it, as it did in memory.
  found.entries = found.entries.filter((entry) => entry.index < first.index);
  found.entries.push(...record.entries);
}
