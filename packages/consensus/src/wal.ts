import * as schemas from '@bramleyridge/schemas';

import * as batchFrame from './batch-frame.js';
import * as fileStorage from './file-storage.js';
import type * as types from './types.js';

const WAL_FILE = 'log.wal';
const SNAPSHOT_FILE = 'snapshot';

/** A record of the write-ahead log: entries, or a term with the vote granted in it. */
export type WalRecord =
  | { readonly kind: 'entries'; readonly entries: readonly types.Entry[] }
  | { readonly kind: 'vote'; readonly term: number; readonly votedFor: string | null };

/** A snapshot of the state machine and the log position that it covers. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly voters: readonly types.VoterSlot[];
  /** Set during a membership change. */
  readonly formerVoters?: readonly types.VoterSlot[] | undefined;
  readonly state: unknown;
}

/** What the log's file holds: the term, the vote granted in it, and the entries. */
export interface LogState {
  readonly term: number;
  readonly votedFor: string | null;
  readonly entries: readonly types.Entry[];
}

/** The durable state of a voter, as recovered after a restart. */
export interface RecoveredState {
  term: number;
  votedFor: string | null;
  snapshot: Snapshot | undefined;
  entries: types.Entry[];
}

/** The write-ahead log of one voter. Records are on disk once `append` has resolved. */
export class Wal {
  private queue: WalRecord[] = [];
  private nextBatch: Promise<void> | undefined;
  private tail: Promise<void> = Promise.resolve();
  private failed: Error | undefined;
  private fileBytes = 0;
  /** The last index that the snapshot file covers. */
  private snapshotIndex = 0;

  public constructor(private readonly files: fileStorage.FileStorage) {}

  /** The size of the file, in bytes. */
  public get bytes(): number {
    return this.fileBytes;
  }

  /** Reads the durable state and truncates a last batch that a crash left incomplete. */
  public async recover(): Promise<RecoveredState> {
    const state: RecoveredState = { term: 0, votedFor: null, snapshot: undefined, entries: [] };
    const snapshotBytes = await this.files.read(SNAPSHOT_FILE);
    if (snapshotBytes !== undefined) {
      state.snapshot = readSnapshot(snapshotBytes);
    }
    const bytes = (await this.files.read(WAL_FILE)) ?? Buffer.alloc(0);
    const { batches, wholeBytes } = batchFrame.decodeBatchFile(WAL_FILE, bytes);
    this.fileBytes = wholeBytes;
    if (wholeBytes < bytes.length) {
      await this.files.truncate(WAL_FILE, wholeBytes);
    }
    // A process that was killed between a write and its sync leaves entries that can be read but would not survive a
    // power failure. From here on they are reported as durable, so they are synced first.
    await this.files.sync(WAL_FILE);
    (batches as WalRecord[][]).flat().forEach((record) => replay(state, record));
    const base = state.snapshot?.lastIndex ?? 0;
    this.snapshotIndex = base;
    state.entries = state.entries.filter((entry) => entry.index > base);
    return state;
  }

  /** Writes records and resolves once they are synced; concurrent calls share one sync (group commit). */
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
   * Stores a snapshot, then rewrites the log with what `getLogState` returns at that moment. Records that are queued
   * meanwhile are written after it. They may repeat entries of the rewritten log; replaying a record twice has no
   * effect. Throws an `UnchangedFileError` if the disk has no space for it; the log can then be appended to as before.
   */
  public async compact(snapshot: Snapshot, getLogState: () => LogState): Promise<void> {
    await this.enqueue(() => this.storeSnapshot(snapshot));
    await this.enqueue(() => this.rewriteLog(getLogState()));
  }

  private async storeSnapshot(snapshot: Snapshot): Promise<void> {
    // A later snapshot may have been stored while this one waited. The log may no longer hold the entries between them.
    if (snapshot.lastIndex <= this.snapshotIndex) {
      return;
    }
    await this.files.replace(SNAPSHOT_FILE, batchFrame.encodeBatch(snapshot));
    this.snapshotIndex = snapshot.lastIndex;
  }

  private async rewriteLog({ term, votedFor, entries }: LogState): Promise<void> {
    const records: WalRecord[] = [
      { kind: 'vote', term, votedFor },
      { kind: 'entries', entries },
    ];
    const bytes = batchFrame.encodeBatch(records);
    await this.files.replace(WAL_FILE, bytes);
    this.fileBytes = bytes.length;
  }

  private enqueue(work: () => Promise<void>): Promise<void> {
    const run = this.tail.then(() => this.runUnlessFailed(work));
    this.tail = run.catch(() => {});
    return run;
  }

  private async writeBatch(batch: readonly WalRecord[]): Promise<void> {
    if (batch.length === 0) {
      return;
    }
    const bytes = batchFrame.encodeBatch(batch);
    this.fileBytes += bytes.length;
    await this.files.append(WAL_FILE, bytes);
    await this.files.sync(WAL_FILE);
  }

  private async runUnlessFailed(work: () => Promise<void>): Promise<void> {
    // After a failed sync the kernel may have dropped the dirty pages, and a second sync would report success though
    // the data is lost. So the first failure is permanent: all later writes fail too.
    if (this.failed !== undefined) {
      throw this.failed;
    }
    try {
      await work();
    } catch (err) {
      if (err instanceof fileStorage.UnchangedFileError) {
        throw err;
      }
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

function replay(state: RecoveredState, record: WalRecord): void {
  if (record.kind === 'vote') {
    state.term = record.term;
    state.votedFor = record.votedFor;
    return;
  }
  const first = record.entries[0];
  if (first === undefined) {
    return;
  }
  // Truncates the log from the index of the first entry, as the in-memory log did.
  state.entries = state.entries.filter((entry) => entry.index < first.index);
  state.entries.push(...record.entries);
}
