import * as z from 'zod';

/** A voter: its host's name and the random id of its data directory. */
export const voterSlot = z.object({ daemonId: z.string(), voterId: z.string() });

/** A voter. */
export type VoterSlot = z.infer<typeof voterSlot>;

/** The voter set. During a membership change `former` is set and a majority of it must agree too (joint consensus). */
export const voterSet = z.object({
  seats: z.array(voterSlot),
  former: z.array(voterSlot).optional(),
});

/** The voter set. */
export type VoterSet = z.infer<typeof voterSet>;

/** One entry of the replicated log. */
export const entry = z.object({
  index: z.int(),
  term: z.int(),
  kind: z.enum(['noop', 'command', 'voters']),
  data: z.unknown(),
});

/** One entry of the replicated log. */
export type Entry = z.infer<typeof entry>;

/** A vote request, or with `pre` a pre-vote request. */
export const voteReq = z.object({
  pre: z.boolean(),
  term: z.int(),
  candidate: voterSlot,
  lastIndex: z.int(),
  lastTerm: z.int(),
});

/** The response to a vote request. */
export const voteRes = z.object({ term: z.int(), granted: z.boolean(), voterId: z.string() });

/** Entries, or a heartbeat, from the leader. */
export const appendReq = z.object({
  term: z.int(),
  leader: z.string(),
  prevIndex: z.int(),
  prevTerm: z.int(),
  entries: z.array(entry),
  commit: z.int(),
});

/**
 * The response to an append request; `match` is the last durable index, `hint` on rejection the index after which to
 * resume.
 */
export const appendRes = z.object({
  term: z.int(),
  ok: z.boolean(),
  match: z.int(),
  hint: z.int(),
  voterId: z.string(),
});

/** A full snapshot, for a follower that needs entries that the leader has discarded. */
export const snapshotReq = z.object({
  term: z.int(),
  leader: z.string(),
  lastIndex: z.int(),
  lastTerm: z.int(),
  voters: z.array(voterSlot),
  /** Set during a membership change. */
  formerVoters: z.array(voterSlot).optional(),
  state: z.unknown(),
});

/** A vote request. */
export type VoteReq = z.infer<typeof voteReq>;
/** The response to a vote request. */
export type VoteRes = z.infer<typeof voteRes>;
/** Entries from the leader. */
export type AppendReq = z.infer<typeof appendReq>;
/** The response to an append request. */
export type AppendRes = z.infer<typeof appendRes>;
/** A full snapshot. */
export type SnapshotReq = z.infer<typeof snapshotReq>;

/** Sends requests to other voters. */
export interface Transport {
  vote(peer: string, req: VoteReq): Promise<VoteRes>;
  /** `storeMs` is the time that the peer may need in addition to write the entries to its disk, in milliseconds. */
  append(peer: string, req: AppendReq, storeMs: number): Promise<AppendRes>;
  /** `storeMs` is the time that the peer may need in addition to write the snapshot to its disk, in milliseconds. */
  snapshot(peer: string, req: SnapshotReq, storeMs: number): Promise<AppendRes>;
}

/** The replicated state machine. Commands are applied in log order, each once, and deterministically on every voter. */
export interface StateMachine {
  /** Applies a command and returns its result. */
  apply(entry: Entry): unknown;
  /** Returns the full state. */
  getSnapshot(): unknown;
  /** Replaces the full state. */
  restore(state: unknown): void;
}

/** Protocol timeouts, in milliseconds. */
export interface Timings {
  readonly electionMs: number;
  readonly leaseMs: number;
}
