import * as quorums from './quorum.js';
import type * as types from './types.js';
import type * as wal from './wal.js';

/** The entries that a voter holds in memory, behind the snapshot that they follow. */
export class EntryLog {
  private entries: types.Entry[];
  private base: { index: number; term: number; seating: types.VoterSet };

  public constructor(recovered: wal.RecoveredState, genesis: readonly types.VoterSlot[]) {
    const { snapshot } = recovered;
    this.base = {
      index: snapshot?.lastIndex ?? 0,
      term: snapshot?.lastTerm ?? 0,
      seating: snapshot === undefined ? { seats: [...genesis] } : getSnapshotSeating(snapshot),
    };
    this.entries = recovered.entries;
  }

  /** The index of the last entry. */
  public get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** The term of the last entry. */
  public get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** The index that the snapshot stands for. */
  public get baseIndex(): number {
    return this.base.index;
  }

  /** How many entries stand behind the snapshot. */
  public get length(): number {
    return this.entries.length;
  }

  /** The term of an entry, or nothing when the log does not hold it. */
  public findTerm(index: number): number | undefined {
    if (index === this.base.index) {
      return this.base.term;
    }
    return this.find(index)?.term;
  }

  /** An entry, or nothing when the log does not hold it. */
  public find(index: number): types.Entry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Up to `most` entries from an index on. */
  public slice(from: number, most: number): types.Entry[] {
    const start = from - this.base.index - 1;
    return this.entries.slice(start, start + most);
  }

  /** Adds entries, dropping whatever stood at their place and behind. */
  public append(entries: readonly types.Entry[]): void {
    const first = entries[0];
    if (first === undefined) {
      return;
    }
    this.entries.length = first.index - this.base.index - 1;
    this.entries.push(...entries);
  }

  /** Who votes now: a change counts from the moment it stands in the log. */
  public getVoterSet(): types.VoterSet {
    return this.getVoterSetAt(this.lastIndex);
  }

  /** Who votes as of an index. */
  public getVoterSetAt(index: number): types.VoterSet {
    const changes = this.entries.filter((item) => item.kind === 'voters' && item.index <= index);
    const last = changes.at(-1);
    return last === undefined ? this.base.seating : readSeating(last.data);
  }

  /** The majorities that count now. */
  public getQuorum(): quorums.Quorum {
    return new quorums.Quorum(this.getVoterSet());
  }

  /** Everyone who votes now. */
  public getVoters(): readonly types.VoterSlot[] {
    return this.getQuorum().listVoters();
  }

  /** The index of the last change of voters in the log, or 0. */
  public getLastVoterChangeIndex(): number {
    return this.entries.filter((item) => item.kind === 'voters').at(-1)?.index ?? 0;
  }

  /** Drops the entries that a snapshot now stands for. */
  public compactTo(index: number): void {
    const term = this.findTerm(index) ?? this.base.term;
    const seating = this.getVoterSetAt(index);
    this.entries = this.entries.filter((item) => item.index > index);
    this.base = { index, term, seating };
  }

  /** Replaces everything by a snapshot from the leader. */
  public resetTo(snapshot: wal.Snapshot): void {
    this.entries = [];
    this.base = {
      index: snapshot.lastIndex,
      term: snapshot.lastTerm,
      seating: getSnapshotSeating(snapshot),
    };
  }
}

function getSnapshotSeating({ voters, formerVoters }: wal.Snapshot): types.VoterSet {
  return formerVoters === undefined
    ? { seats: [...voters] }
    : { seats: [...voters], former: [...formerVoters] };
}

/** Logs of earlier versions hold the bare list of voters. */
function readSeating(data: unknown): types.VoterSet {
  return Array.isArray(data) ? { seats: data as types.VoterSlot[] } : (data as types.VoterSet);
}
