import * as consensus from '@bramleyridge/consensus';
import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as z from 'zod';

import type * as adoptionRegistries from './adoption-registry.js';

/** A request for room, which may be asked again while it waits. */
export const grantInput = z.object({ model: z.string(), req: routing.grantRequest });

/** The answer to a request for room; `pending` while it waits. */
export const grantResult = z.object({
  isPending: z.boolean(),
  upstreamId: z.string().optional(),
  /** The version of the model that the upstream serves. */
  version: z.string().optional(),
  reason: z.string(),
  queuedMs: z.number(),
  pressure: z.number(),
  retryAfterS: z.number(),
});

/** The answer to a request for room. */
export type GrantResult = z.infer<typeof grantResult>;

/** What a daemon tells a pool's owner of its generations. */
export const poolReport = z.object({
  model: z.string(),
  daemonId: z.string(),
  /** What every call of this process begins with; the rest is its number. */
  prefix: z.string(),
  /** Whether `tokens` names every generation of this daemon; an end is told without them. */
  isWhole: z.boolean(),
  /** For each call its number and its tokens so far, one after the other. */
  tokens: z.array(z.int()),
  /** For each call that ended its number, its tokens, and 1 if it came to its own end. */
  finished: z.array(z.int()),
  registered: z.array(routing.runningGeneration),
  /** Upstreams that this daemon found leaving or dead. */
  leaving: z.array(z.string()),
});

/** What a daemon tells a pool's owner of its generations. */
export type PoolReport = z.infer<typeof poolReport>;

/** A change of the voters. */
export const voterChange = z.object({ action: z.enum(['add', 'remove']), daemonId: z.string() });

/** A change of the voters. */
export type VoterChange = z.infer<typeof voterChange>;

/** What became of a command; faults mean that it was not even proposed. */
export interface ProposeResult {
  readonly faults: readonly string[];
  readonly effects: readonly string[];
  readonly result?: schemas.CommandResult;
}

/** What this daemon does for its peers. */
export interface PeerHandlers {
  genesis(): Promise<consensus.Genesis>;
  vote(req: consensus.VoteReq): Promise<consensus.VoteRes>;
  append(req: consensus.AppendReq): Promise<consensus.AppendRes>;
  snapshot(req: consensus.SnapshotReq): Promise<consensus.AppendRes>;
  sync(req: schemas.SyncReq): Promise<schemas.SyncRes>;
  propose(command: schemas.Command): Promise<ProposeResult>;
  status(): Promise<schemas.StatusReport>;
  changeVoters(change: VoterChange): Promise<void>;
  refoundClaims(): Promise<void>;
  grant(ask: z.infer<typeof grantInput>): Promise<GrantResult>;
  pool(report: PoolReport): Promise<void>;
  claim(req: requests.ClaimReq): Promise<requests.ClaimRes>;
  recover(req: requests.RecoverReq): Promise<requests.RecoverRes>;
  /** Whether this daemon holds what its seat in the claim group has promised. */
  holdsClaims(): Promise<boolean>;
  outcome(req: { call: string; waitMs: number }): Promise<requests.CallState>;
  adopt(req: { generation: string }): Promise<adoptionRegistries.AdoptResult>;
}

const t = trpc.initTRPC.create();

/** The procedures between daemons; every one has a deadline on the asking side. */
export function createPeerRouter(handlers: PeerHandlers) {
  return t.router({
    genesis: t.procedure.mutation(() => handlers.genesis()),
    vote: t.procedure.input(consensus.voteReq).mutation(({ input }) => handlers.vote(input)),
    append: t.procedure.input(consensus.appendReq).mutation(({ input }) => handlers.append(input)),
    snapshot: t.procedure
      .input(consensus.snapshotReq)
      .mutation(({ input }) => handlers.snapshot(input)),
    sync: t.procedure.input(schemas.syncReq).mutation(({ input }) => handlers.sync(input)),
    propose: t.procedure.input(schemas.command).mutation(({ input }) => handlers.propose(input)),
    status: t.procedure.mutation(() => handlers.status()),
    changeVoters: t.procedure
      .input(voterChange)
      .mutation(({ input }) => handlers.changeVoters(input)),
    refoundClaims: t.procedure.mutation(() => handlers.refoundClaims()),
    grant: t.procedure.input(grantInput).mutation(({ input }) => handlers.grant(input)),
    pool: t.procedure.input(poolReport).mutation(({ input }) => handlers.pool(input)),
    claim: t.procedure.input(requests.claimReq).mutation(({ input }) => handlers.claim(input)),
    recover: t.procedure
      .input(requests.recoverReq)
      .mutation(({ input }) => handlers.recover(input)),
    holdsClaims: t.procedure.mutation(() => handlers.holdsClaims()),
    outcome: t.procedure
      .input(z.object({ call: z.string(), waitMs: z.int() }))
      .mutation(({ input }) => handlers.outcome(input)),
    adopt: t.procedure
      .input(z.object({ generation: z.string() }))
      .mutation(({ input }) => handlers.adopt(input)),
  });
}

/** The type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
