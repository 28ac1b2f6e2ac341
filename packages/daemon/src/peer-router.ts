import * as consensus from '@bramleyridge/consensus';
import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as z from 'zod';

import type * as adoptionRegistries from './adoption-registry.js';

/** A request for capacity, which may be repeated while it is queued. */
export const grantInput = z.object({ model: z.string(), req: routing.grantRequest });

/** The reply to a request for capacity; `isPending` while the request is queued. */
export const grantResult = z.object({
  isPending: z.boolean(),
  upstreamId: z.string().optional(),
  /** The version of the model that the upstream serves. */
  version: z.string().optional(),
  reason: z.string(),
  queuedMs: z.number(),
  /** Not finite for an upstream without any memory. */
  pressure: z.custom<number>((value) => typeof value === 'number'),
  retryAfterS: z.number(),
});

/** The reply to a request for capacity. */
export type GrantResult = z.infer<typeof grantResult>;

const poolReport = z.object({
  model: z.string(),
  daemonId: z.string(),
  /** The common prefix of all call ids of this process; the rest of an id is its number. */
  prefix: z.string(),
  /** Whether `tokens` lists every generation of this daemon; reports of ends only do not. */
  isWhole: z.boolean(),
  /** The number and the current tokens of each call, as a flat list of pairs. */
  tokens: z.array(z.int()),
  /**
   * The number and the tokens of each ended call, and 1 if it completed, as a flat list of triples.
   */
  finished: z.array(z.int()),
  registered: z.array(z.unknown()),
  /** Upstreams that this daemon found to be leaving or dead. */
  leaving: z.array(z.string()),
  /** Upstreams at which generations of this daemon got no answer; not sent by daemons of the previous version. */
  unanswered: z.array(z.string()).optional(),
});

/** A daemon's report on its generations to the owner of a pool. */
export type PoolReport = Omit<z.infer<typeof poolReport>, 'registered'> & {
  readonly registered: routing.RunningGeneration[];
};

const suspectReport = z.object({
  daemonId: z.string(),
  availabilityZone: z.string(),
  /** Whether it was passed on by a daemon of another zone. */
  isPassedOn: z.boolean(),
  runs: z.array(z.unknown()),
  facts: z.array(z.unknown()),
});

/** What one daemon tells others about suspects: calls and parts of prompts during whose runs upstreams exited. */
export type SuspectReport = Omit<z.infer<typeof suspectReport>, 'facts' | 'runs'> & {
  readonly runs: routing.SuspectRun[];
  readonly facts: routing.SuspectFacts[];
};

const isAlone = z.boolean().optional();

/** Answer to the request for a permit to send a suspect. */
export const suspectPermit: z.ZodType<routing.Permit> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('go'), isAlone }),
  z.object({ kind: z.literal('elsewhere') }),
  z.object({ kind: z.literal('there'), processId: z.string(), isAlone }),
  z.object({ kind: z.literal('refused'), retryMs: z.number() }),
]);

/** Request for a permit to send a suspect. */
export const suspectPermitReq = z.object({
  digest: z.string(),
  processId: z.string(),
  /** Whether it may be sent where another suspect runs. */
  mayShare: z.boolean(),
  permitId: z.string(),
  /** What the daemon has recorded about it. */
  facts: routing.suspectFacts.optional(),
});

/** Request for a permit to send a suspect. */
export type SuspectPermitReq = z.infer<typeof suspectPermitReq>;

/** A change of the voters. */
export const voterChange = z.object({ action: z.enum(['add', 'remove']), daemonId: z.string() });

/** A change of the voters. */
export type VoterChange = z.infer<typeof voterChange>;

/** The result of a command; a command with faults was not proposed. */
export interface ProposeResult {
  readonly faults: readonly string[];
  readonly effects: readonly string[];
  readonly result?: schemas.CommandResult;
}

/** The procedures that a daemon implements for its peers. */
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
  grant(input: z.infer<typeof grantInput>): Promise<GrantResult>;
  /** Grants or refuses a send to a limited upstream. */
  grantSend(limit: requests.RateLimitFacts): Promise<requests.RateGrantAnswer>;
  /** Records what another daemon has learned about a rate limit. */
  reportLimit(limit: requests.RateLimitFacts): Promise<void>;
  pool(report: PoolReport): Promise<void>;
  /** Records what another daemon tells about suspects; resolves to true. */
  reportSuspects(report: SuspectReport): Promise<boolean>;
  /** Decides whether a suspect may be sent. */
  permitSuspect(req: SuspectPermitReq): Promise<routing.Permit>;
  /** Lists all suspects, for a daemon that starts. */
  listSuspects(): Promise<routing.SuspectFacts[]>;
  claim(req: requests.ClaimReq): Promise<requests.ClaimRes>;
  recover(req: requests.RecoverReq): Promise<requests.RecoverRes>;
  /** Whether this daemon's claim acceptor has recovered its complete state. */
  holdsClaims(): Promise<boolean>;
  outcome(req: { call: string; waitMs: number }): Promise<requests.CallState>;
  adopt(req: { generation: string }): Promise<adoptionRegistries.AdoptResult>;
}

const t = trpc.initTRPC.create();

/**
 * Creates the router of the procedures between daemons; callers set a deadline on every call. A message that doesn't fit
 * its schema is refused. Entries of the lists in a report are read one by one: a daemon of another version may send
 * some that can't be read here, with every report.
 */
export function createPeerRouter(handlers: PeerHandlers, log: schemas.Log) {
  const poolFaults = new schemas.EntryFaultLog(log, 'pool-report-unreadable');
  const suspectFaults = new schemas.EntryFaultLog(log, 'suspect-report-unreadable');
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
    grantSend: t.procedure
      .input(requests.rateLimitFacts)
      .mutation(({ input }) => handlers.grantSend(input)),
    reportLimit: t.procedure
      .input(requests.rateLimitFacts)
      .mutation(({ input }) => handlers.reportLimit(input)),
    reportSuspects: t.procedure.input(suspectReport).mutation(({ input }) => {
      const runs = schemas.parseEntries(routing.suspectRun, input.runs);
      const facts = schemas.parseEntries(routing.suspectFacts, input.facts);
      suspectFaults.record(input.daemonId, {
        unreadable: runs.unreadable + facts.unreadable,
        faults: [...runs.faults, ...facts.faults],
      });
      return handlers.reportSuspects({ ...input, runs: runs.entries, facts: facts.entries });
    }),
    permitSuspect: t.procedure
      .input(suspectPermitReq)
      .mutation(({ input }) => handlers.permitSuspect(input)),
    listSuspects: t.procedure.mutation(() => handlers.listSuspects()),
    pool: t.procedure.input(poolReport).mutation(({ input }) => {
      const registered = schemas.parseEntries(routing.runningGeneration, input.registered);
      poolFaults.record(input.daemonId, registered);
      return handlers.pool({ ...input, registered: registered.entries });
    }),
    claim: t.procedure.input(requests.claimReq).mutation(({ input }) => handlers.claim(input)),
    recover: t.procedure
      .input(requests.recoverReq)
      .mutation(({ input }) => handlers.recover(input)),
    holdsClaims: t.procedure.mutation(() => handlers.holdsClaims()),
    outcome: t.procedure
      .input(z.object({ call: z.string(), waitMs: schemas.waitMs }))
      .mutation(({ input }) => handlers.outcome(input)),
    adopt: t.procedure
      .input(z.object({ generation: z.string() }))
      .mutation(({ input }) => handlers.adopt(input)),
  });
}

/** The type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
