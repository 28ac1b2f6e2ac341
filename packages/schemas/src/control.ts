import * as z from 'zod';

import * as declarations from './declaration.js';

/** One difference between two declarations. */
export const change = z.object({
  kind: z.enum(['team', 'intent', 'service']),
  name: z.string(),
  before: declarations.storedFile.optional(),
  after: declarations.storedFile.optional(),
});

/** One difference between two declarations. */
export type Change = z.infer<typeof change>;

/** States of a plan. */
export const planStatus = z.enum(['planned', 'confirmed', 'superseded', 'expired']);

/** States of a plan. */
export type PlanStatus = z.infer<typeof planStatus>;

/** A set of changes that an operator reviews, and confirms to put it in force. */
export const plan = z.object({
  planId: z.string(),
  operator: z.string(),
  baseRevision: z.int(),
  contentHash: z.string(),
  status: planStatus,
  changes: z.array(change),
  createdAt: z.number(),
  revision: z.int().optional(),
  supersededBy: z.string().optional(),
});

/** A set of changes that an operator reviews, and confirms to put it in force. */
export type Plan = z.infer<typeof plan>;

/** The daemon that is a claim acceptor, and the revision since which it is. */
export const claimAcceptorSlot = z.object({ daemonId: z.string(), since: z.int() });

/** The daemon that is a claim acceptor. */
export type ClaimAcceptorSlot = z.infer<typeof claimAcceptorSlot>;

/** The configuration in force: the declaration and the state that the system maintains with it. */
export const configuration = z.object({
  revision: z.int(),
  declaration: declarations.storedDeclaration,
  claimSeats: z.array(claimAcceptorSlot),
  /** `daemonId@incarnation` of the first acceptors of the claim group, which have no earlier claims to recover. */
  claimFounders: z.array(z.string()),
  /** For each team, the revision at which availability zones were last removed from it. */
  narrowedAt: z.record(z.string(), z.int()),
});

/** The configuration in force. */
export type Configuration = z.infer<typeof configuration>;

/** Changes from one revision to the next. */
export const delta = z.object({
  from: z.int(),
  to: z.int(),
  changes: z.array(change),
  claimSeats: z.array(claimAcceptorSlot),
  claimFounders: z.array(z.string()),
});

/** Changes from one revision to the next. */
export type Delta = z.infer<typeof delta>;

/** A command of the replicated log. A retry with the same `requestId` gets the result of the first attempt. */
export const command = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('plan'),
    requestId: z.string(),
    operator: z.string(),
    at: z.number(),
    declaration: declarations.declaration,
  }),
  z.object({
    kind: z.literal('confirm'),
    requestId: z.string(),
    operator: z.string(),
    at: z.number(),
    planId: z.string(),
  }),
  z.object({
    kind: z.literal('seats'),
    requestId: z.string(),
    operator: z.string(),
    at: z.number(),
    /** The acceptors that form the claim group, as `daemonId@incarnation`. */
    holders: z.array(z.string()),
    /** Whether a new claim group starts, without the claims of the former one. */
    isFounding: z.boolean(),
  }),
]);

/** A command of the replicated log. */
export type Command = z.infer<typeof command>;

/** Result of a command, identical on every voter. */
export const commandResult = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('planned'), plan }),
  z.object({ kind: z.literal('confirmed'), planId: z.string(), revision: z.int() }),
  z.object({ kind: z.literal('seated'), revision: z.int() }),
  z.object({
    kind: z.literal('refused'),
    id: z.enum(['noPlan', 'planExpired', 'conflict']),
    args: z.array(z.union([z.string(), z.number()])),
  }),
]);

/** Result of a command. */
export type CommandResult = z.infer<typeof commandResult>;
