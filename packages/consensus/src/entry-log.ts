import * as schemas from '@bramleyridge/schemas';

import * as quorums from './quorum.js';
import type * as types from './types.js';
import type * as wals from './wal.js';

/** Size of an entry without its data, in bytes. */
const ENTRY_HEAD_BYTES = 64;

/** The log entries that a voter keeps in memory, after its last snapshot. */
export class EntryLog {
  private entries: types.Entry[];
  /** The size of each entry, in bytes. */
  private sizes: number[];
  private base: { index: number; term: number; seating: types.VoterSet };

  public constructor(recovered: wals.RecoveredState, initialVoters: readonly types.VoterSlot[]) {
    const { snapshot } = recovered;
    this.base = {
      index: snapshot?.lastIndex ?? 0,
      term: snapshot?.lastTerm ?? 0,
      seating:
        snapshot === undefined ? { seats: [...initialVoters] } : getSnapshotVoterSet(snapshot),
    };
    this.entries = recovered.entries;
    this.sizes = this.entries.map(measureEntry);
  }

  /** The index of the last entry. */
  public get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** The term of the last entry. */
  public get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** The index of the last entry that the snapshot covers. */
  public get baseIndex(): number {
    return this.base.index;
  }

  /** The number of entries after the snapshot. */
  public get length(): number {
    return this.entries.length;
  }

  /** The size of the entries from one index to another, in bytes; by default of all. */
  public countBytes(from = this.base.index + 1, to = this.lastIndex): number {
    const start = Math.max(0, from - this.base.index - 1);
    const end = Math.max(start, to - this.base.index);
    return this.sizes.slice(start, end).reduce((sum, bytes) => sum + bytes, 0);
  }

  /** The term of an entry, or `undefined` if the log does not contain it. */
  public findTerm(index: number): number | undefined {
    if (index === this.base.index) {
      return this.base.term;
    }
    return this.find(index)?.term;
  }

  /** The term of an entry; throws if the log does not contain it. */
  public getTerm(index: number): number {
    const term = this.findTerm(index);
    if (term === undefined) {
      throw new Error(`entry ${index} is missing`);
    }
    return term;
  }

  /** An entry, or `undefined` if the log does not contain it. */
  public find(index: number): types.Entry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Returns the entries starting at an index. */
  public slice(from: number): types.Entry[] {
    return this.entries.slice(from - this.base.index - 1);
  }

  /** Returns up to `maxCount` entries of up to `maxBytes` bytes starting at an index; at least one, if there is any. */
  public sliceBatch(from: number, maxCount: number, maxBytes: number): types.Entry[] {
    const start = from - this.base.index - 1;
    let end = start;
    let bytes = 0;
    while (end < this.entries.length && end - start < maxCount) {
      bytes += this.sizes[end]!;
      if (end > start && bytes > maxBytes) {
        break;
      }
      end += 1;
    }
    return this.entries.slice(start, end);
  }

  /** Appends entries, first truncating the log from the index of the first one. */
  public append(entries: readonly types.Entry[]): void {
    const first = entries[0];
    if (first === undefined) {
      return;
    }
    this.entries.length = first.index - this.base.index - 1;
    this.entries.push(...entries);
    this.sizes.length = this.entries.length - entries.length;
    this.sizes.push(...entries.map(measureEntry));
  }

  /** The current voter set. As in Raft, a change takes effect when it is appended, not when it is committed. */
  public getVoterSet(): types.VoterSet {
    return this.getVoterSetAt(this.lastIndex);
  }

  /** The voter set as of an index. */
  public getVoterSetAt(index: number): types.VoterSet {
    const changes = this.entries.filter((item) => item.kind === 'voters' && item.index <= index);
    const last = changes.at(-1);
    return last === undefined ? this.base.seating : readVoterSet(last.data);
  }

  /** The quorum of the current voter set. */
  public getQuorum(): quorums.Quorum {
    return new quorums.Quorum(this.getVoterSet());
  }

  /** All current voters, including those of the former set during a membership change. */
  public getVoters(): readonly types.VoterSlot[] {
    return this.getQuorum().listVoters();
  }

  /** The index of the last voter set entry in the log, or 0. */
  public getLastVoterChangeIndex(): number {
    return this.entries.filter((item) => item.kind === 'voters').at(-1)?.index ?? 0;
  }

  /**
   * Discards the entries up to an index, which a snapshot covers, except for up to `maxCount` entries of up to `maxBytes`
   * bytes before it. Has no effect if the log begins after this index: a later snapshot has replaced it meanwhile.
   */
  public compact(index: number, maxCount: number, maxBytes: number): void {
    if (index <= this.base.index) {
      return;
    }
    let kept = index;
    while (
      kept > Math.max(this.base.index, index - maxCount) &&
      this.countBytes(kept, index) <= maxBytes
    ) {
      kept -= 1;
    }
    this.discardTo(kept);
  }

  private discardTo(index: number): void {
    const term = this.getTerm(index);
    const voterSet = this.getVoterSetAt(index);
    const dropped = index - this.base.index;
    this.entries = this.entries.slice(dropped);
    this.sizes = this.sizes.slice(dropped);
    this.base = { index, term, seating: voterSet };
  }

  /**
   * Replaces the log by a snapshot from the leader. Entries after the snapshot stay if the log contains its last entry:
   * this voter may have acknowledged them.
   */
  public resetTo(snapshot: wals.Snapshot): void {
    const isPrefix = this.findTerm(snapshot.lastIndex) === snapshot.lastTerm;
    const dropped = isPrefix ? snapshot.lastIndex - this.base.index : this.entries.length;
    this.entries = this.entries.slice(dropped);
    this.sizes = this.sizes.slice(dropped);
    this.base = {
      index: snapshot.lastIndex,
      term: snapshot.lastTerm,
      seating: getSnapshotVoterSet(snapshot),
    };
  }
}

function measureEntry({ data }: types.Entry): number {
  return ENTRY_HEAD_BYTES + schemas.estimateEncodedBytes(data);
}

function getSnapshotVoterSet({ voters, formerVoters }: wals.Snapshot): types.VoterSet {
  return formerVoters === undefined
    ? { seats: [...voters] }
    : { seats: [...voters], former: [...formerVoters] };
}

/** Reads a voter set entry. Logs of earlier versions contain a plain list of voters instead. */
function readVoterSet(data: unknown): types.VoterSet {
  return Array.isArray(data) ? { seats: data as types.VoterSlot[] } : (data as types.VoterSet);
}
