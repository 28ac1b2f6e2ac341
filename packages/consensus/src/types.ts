import * as z from 'zod';

/** A voter: the daemon, and the number that its data folder was given when it was made. */
export const voterSlot = z.object({ daemonId: z.string(), voterId: z.string() });

/** A voter. */
export type VoterSlot = z.infer<typeof voterSlot>;

/** Who votes. While seats change hands the former voters must agree too, by a majority of their own. */
export const voterSet = z.object({
  seats: z.array(voterSlot),
  former: z.array(voterSlot).optional(),
});

/** Who votes. */
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

/** Asks for a vote, or with `pre` whether a vote would be given. */
export const voteReq = z.object({
  pre: z.boolean(),
  term: z.int(),
  candidate: voterSlot,
  lastIndex: z.int(),
  lastTerm: z.int(),
});

/** The answer to a vote request. */
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

/** The answer to entries; `match` is durable, `hint` is where to go on after a refusal. */
export const appendRes = z.object({
  term: z.int(),
  ok: z.boolean(),
  match: z.int(),
  hint: z.int(),
  voterId: z.string(),
});

/** A whole snapshot, for a follower that is behind the log. */
export const snapshotReq = z.object({
  term: z.int(),
  leader: z.string(),
  lastIndex: z.int(),
  lastTerm: z.int(),
  voters: z.array(voterSlot),
  /** Set while seats change hands. */
  formerVoters: z.array(voterSlot).optional(),
  state: z.unknown(),
});

/** Asks for a vote. */
export type VoteReq = z.infer<typeof voteReq>;
/** The answer to a vote request. */
export type VoteRes = z.infer<typeof voteRes>;
/** Entries from the leader. */
export type AppendReq = z.infer<typeof appendReq>;
/** The answer to entries. */
export type AppendRes = z.infer<typeof appendRes>;
/** A whole snapshot. */
export type SnapshotReq = z.infer<typeof snapshotReq>;

/** How a voter reaches the others. */
export interface Transport {
  vote(peer: string, req: VoteReq): Promise<VoteRes>;
  append(peer: string, req: AppendReq): Promise<AppendRes>;
  snapshot(peer: string, req: SnapshotReq): Promise<AppendRes>;
}

/** What the log drives: commands are applied in order, once, the same on every voter. */
export interface StateMachine {
  /** Applies a command and gives its result. */
  apply(entry: Entry): unknown;
  /** A copy of the whole state. */
  getSnapshot(): unknown;
  /** Replaces the whole state. */
  restore(state: unknown): void;
}

/** The times of the protocol, in milliseconds. */
export interface Timings {
  readonly electionMs: number;
  readonly leaseMs: number;
}
