import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';

import * as heldDisks from './held-disk.js';

/** Election timeout of a follower under test, in milliseconds. */
export const ELECTION_MS = 300;

/** Three voters; the second one is the follower under test. */
export const VOTERS = ['v1', 'v2', 'v3'].map((daemonId) => ({
  daemonId,
  voterId: `id-${daemonId}`,
}));

/** Options of `startFollower`. */
export interface FollowerOptions {
  readonly files?: fakes.MemoryFiles;
  readonly transport?: Partial<consensus.Transport>;
  /** Number of entries after which the log is compacted. */
  readonly snapshotEvery?: number;
}

/** One voter of three, on a disk whose operations can be held back; its state is the list of commands. */
export async function startFollower({
  files = new fakes.MemoryFiles(),
  transport = {},
  snapshotEvery = 1_000,
}: FollowerOptions = {}) {
  const clock = new schemas.VirtualClock();
  const disk = new heldDisks.HeldDisk(files);
  const state = { applied: [] as string[] };
  const { daemonId, voterId } = VOTERS[1]!;
  const voter = await consensus.Voter.create({
    daemonId,
    genesis: { voterId, voters: VOTERS },
    wal: new consensus.Wal(disk),
    machine: {
      apply: ({ data }) => state.applied.push(data as string),
      getSnapshot: () => [...state.applied],
      restore: (commands) => {
        state.applied = [...(commands as string[])];
      },
    },
    transport: transport as consensus.Transport,
    clock,
    log: new schemas.SilentLog(),
    timings: { electionMs: ELECTION_MS, leaseMs: 200 },
    random: () => 0.5,
    snapshotEvery,
  });
  return { clock, disk, files, state, voter };
}

/** Returns the entries from one index to another, each a command that names its term and index. */
export function createEntries(term: number, from: number, to: number): consensus.Entry[] {
  return Array.from({ length: to - from + 1 }, (_, i) => ({
    index: from + i,
    term,
    kind: 'command' as const,
    data: `${term}.${from + i}`,
  }));
}

/** Returns an append request of the leader of a term. */
export function createAppend(
  term: number,
  prev: { readonly index: number; readonly term: number },
  entries: readonly consensus.Entry[],
  commit = 0,
): consensus.AppendReq {
  const leader = VOTERS[0]!.daemonId;
  return {
    term,
    leader,
    prevIndex: prev.index,
    prevTerm: prev.term,
    entries: [...entries],
    commit,
  };
}

/** Returns a snapshot request of the leader of a term; all commands that it covers are of that term. */
export function createSnapshot(term: number, lastIndex: number): consensus.SnapshotReq {
  const state = createEntries(term, 1, lastIndex).map(({ data }) => data);
  return {
    term,
    leader: VOTERS[0]!.daemonId,
    lastIndex,
    lastTerm: term,
    voters: VOTERS,
    state,
  };
}

/** Returns the terms of the entries that a power failure at this moment would leave on the disk, by index. */
export async function readDurableTerms(files: fakes.MemoryFiles): Promise<Map<number, number>> {
  const { entries, snapshot } = await new consensus.Wal(files.reopen()).recover();
  const terms = new Map(entries.map(({ index, term }) => [index, term]));
  const covered = snapshot === undefined ? 0 : snapshot.lastIndex;
  for (let index = 1; index <= covered; index += 1) {
    terms.set(index, snapshot!.lastTerm);
  }
  return terms;
}
