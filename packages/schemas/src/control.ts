import * as z from 'zod';

import * as declarations from './declaration.js';

/** One difference between two declarations. */
export const change = z.object({
  kind: z.enum(['team', 'intent', 'service']),
  name: z.string(),
  before: declarations.declarationFile.optional(),
  after: declarations.declarationFile.optional(),
});

/** One difference between two declarations. */
export type Change = z.infer<typeof change>;

/** The states of a plan. */
export const planStatus = z.enum(['planned', 'confirmed', 'superseded', 'expired']);

/** The states of a plan. */
export type PlanStatus = z.infer<typeof planStatus>;

/** What an operator is shown before anything happens. */
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

/** What an operator is shown before anything happens. */
export type Plan = z.infer<typeof plan>;

/** Who holds a seat of the claim group, and since which revision. */
export const claimSeat = z.object({ daemonId: z.string(), since: z.int() });

/** Who holds a seat of the claim group. */
export type ClaimSeat = z.infer<typeof claimSeat>;

/** The configuration in force: the declaration and what the system itself keeps beside it. */
export const configuration = z.object({
  revision: z.int(),
  declaration: declarations.declaration,
  claimSeats: z.array(claimSeat),
  /** `daemonId@incarnation` of those who founded the claim group, and so began with nothing to recover. */
  claimFounders: z.array(z.string()),
  /** The revision at which each team's availability zones last became fewer. */
  narrowedAt: z.record(z.string(), z.int()),
});

/** The configuration in force. */
export type Configuration = z.infer<typeof configuration>;

/** What changed from one revision to the next. */
export const delta = z.object({
  from: z.int(),
  to: z.int(),
  changes: z.array(change),
  claimSeats: z.array(claimSeat),
  claimFounders: z.array(z.string()),
});

/** What changed from one revision to the next. */
export type Delta = z.infer<typeof delta>;

/** A command of the replicated log; `requestId` makes a resend give the first answer. */
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
    /** Who is to hold each seat, as `daemonId@incarnation`. */
    holders: z.array(z.string()),
    /** Begins a new group that remembers nothing of the former one. */
    isFounding: z.boolean(),
  }),
]);

/** A command of the replicated log. */
export type Command = z.infer<typeof command>;

/** The result of a command, the same on every voter. */
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

/** The result of a command. */
export type CommandResult = z.infer<typeof commandResult>;
