import * as z from 'zod';

/** The ballot number of a proposal: a counter, and the proposer's id as the tie-breaker. */
export const ballot = z.tuple([z.int(), z.string()]);

/** The ballot number of a proposal. */
export type Ballot = z.infer<typeof ballot>;

/** The epoch of an acceptor slot: the revision since which its holder has it, and the incarnation of that process. */
export const acceptorEpoch = z.tuple([z.int(), z.number()]);

/** The epoch of an acceptor slot. */
export type AcceptorEpoch = z.infer<typeof acceptorEpoch>;

/** Highest number of an acceptor slot; a claim group has a few. */
const MAX_SLOT = 255;

/** Epochs by slot; an acceptor that isn't configured yet knows those of some slots only. */
const epochs = z.array(
  acceptorEpoch.nullish().transform((epoch): AcceptorEpoch => epoch ?? [0, 0]),
);

/** The value of a claim: which daemon runs the call, and on which upstream. Contains no prompt and no response. */
export const claimValue = z.object({
  call: z.string(),
  daemonId: z.string(),
  incarnation: z.number(),
  host: z.string(),
  peerPort: z.int(),
  upstreamId: z.string(),
  requestHash: z.string(),
});

/** The value of a claim. */
export type ClaimValue = z.infer<typeof claimValue>;

/** The state of one claim at an acceptor; in a recovery page `at` is relative to the time of sending. */
export const claimRecord = z.object({
  key: z.string(),
  promised: ballot,
  accepted: z.object({ ballot, value: claimValue }).optional(),
  at: z.number(),
});

/** The state of one claim at an acceptor. */
export type ClaimRecord = z.infer<typeof claimRecord>;

/** A request to an acceptor: prepare without a value, accept with one. */
export const claimReq = z.object({
  key: z.string(),
  ballot,
  value: claimValue.optional(),
  since: z.array(z.int()),
});

/** A prepare or accept request. */
export type ClaimReq = z.infer<typeof claimReq>;

/** An acceptor's response to a prepare or accept request. */
export const claimRes = z.object({
  ok: z.boolean(),
  seat: z.int(),
  /** For each slot, the latest epoch that this acceptor has seen. */
  marks: epochs,
  promised: ballot,
  accepted: z.object({ ballot, value: claimValue }).optional(),
});

/** An acceptor's response to a prepare or accept request. */
export type ClaimRes = z.infer<typeof claimRes>;

/** A request of a recovering acceptor for a page of another acceptor's records. */
export const recoverReq = z.object({
  seat: z.int().min(0).max(MAX_SLOT),
  mark: acceptorEpoch,
  cursor: z.int(),
});

/** A request for a page of an acceptor's records. */
export type RecoverReq = z.infer<typeof recoverReq>;

/** A page of an acceptor's records. */
export const recoverRes = z.object({
  seat: z.int(),
  isComplete: z.boolean(),
  marks: epochs,
  records: z.array(claimRecord),
  cursor: z.int(),
  isLast: z.boolean(),
});

/** A page of an acceptor's records. */
export type RecoverRes = z.infer<typeof recoverRes>;

/** Sends the requests of a proposer or of a recovering acceptor to an acceptor. */
export interface ClaimTransport {
  claim(daemonId: string, req: ClaimReq): Promise<ClaimRes>;
  recover(daemonId: string, req: RecoverReq): Promise<RecoverRes>;
}

/** Returns whether ballot `a` is higher than ballot `b`. */
export function isHigher(a: Ballot, b: Ballot): boolean {
  return a[0] !== b[0] ? a[0] > b[0] : a[1] > b[1];
}

/** Returns whether epoch `a` of a slot is later than epoch `b`. */
export function isLater(a: AcceptorEpoch, b: AcceptorEpoch): boolean {
  return a[0] !== b[0] ? a[0] > b[0] : a[1] > b[1];
}

/** Returns the later epoch of each slot. */
export function mergeEpochs(
  a: readonly AcceptorEpoch[],
  b: readonly AcceptorEpoch[],
): AcceptorEpoch[] {
  const length = Math.max(a.length, b.length);
  return Array.from({ length }, (_, i) => {
    const x = a[i] ?? [0, 0];
    const y = b[i] ?? [0, 0];
    return isLater(x, y) ? x : y;
  });
}
