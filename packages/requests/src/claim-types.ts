import * as z from 'zod';

/** A proposal's number; the daemon breaks ties. */
export const ballot = z.tuple([z.int(), z.string()]);

/** A proposal's number. */
export type Ballot = z.infer<typeof ballot>;

/** Who holds a seat: since which revision, and which incarnation of the process. */
export const acceptorEpoch = z.tuple([z.int(), z.number()]);

/** Who holds a seat. */
export type AcceptorEpoch = z.infer<typeof acceptorEpoch>;

/** What a claim says: who runs the call, and where. It carries no prompt and no answer. */
export const claimValue = z.object({
  call: z.string(),
  daemonId: z.string(),
  incarnation: z.number(),
  host: z.string(),
  peerPort: z.int(),
  upstreamId: z.string(),
  requestHash: z.string(),
});

/** What a claim says. */
export type ClaimValue = z.infer<typeof claimValue>;

/** One claim as a seat remembers it. */
export const claimRecord = z.object({
  key: z.string(),
  promised: ballot,
  accepted: z.object({ ballot, value: claimValue }).optional(),
  at: z.number(),
});

/** One claim as a seat remembers it. */
export type ClaimRecord = z.infer<typeof claimRecord>;

/** Asks a seat to promise, or with a value to accept. */
export const claimReq = z.object({
  key: z.string(),
  ballot,
  value: claimValue.optional(),
  since: z.array(z.int()),
});

/** Asks a seat to promise, or to accept. */
export type ClaimReq = z.infer<typeof claimReq>;

/** A seat's answer. */
export const claimRes = z.object({
  ok: z.boolean(),
  seat: z.int(),
  /** The highest holder that this seat knows of, for each seat. */
  marks: z.array(acceptorEpoch),
  promised: ballot,
  accepted: z.object({ ballot, value: claimValue }).optional(),
});

/** A seat's answer. */
export type ClaimRes = z.infer<typeof claimRes>;

/** Asks a seat for a page of what it remembers. */
export const recoverReq = z.object({ seat: z.int(), mark: acceptorEpoch, cursor: z.int() });

/** Asks a seat for a page of what it remembers. */
export type RecoverReq = z.infer<typeof recoverReq>;

/** A page of what a seat remembers. */
export const recoverRes = z.object({
  seat: z.int(),
  isComplete: z.boolean(),
  marks: z.array(acceptorEpoch),
  records: z.array(claimRecord),
  cursor: z.int(),
  isLast: z.boolean(),
});

/** A page of what a seat remembers. */
export type RecoverRes = z.infer<typeof recoverRes>;

/** How a proposer or a recovering seat reaches another seat's holder. */
export interface ClaimTransport {
  claim(daemonId: string, req: ClaimReq): Promise<ClaimRes>;
  recover(daemonId: string, req: RecoverReq): Promise<RecoverRes>;
}

/** Whether one proposal number is higher than another. */
export function isHigher(a: Ballot, b: Ballot): boolean {
  return a[0] !== b[0] ? a[0] > b[0] : a[1] > b[1];
}

/** Whether one holder of a seat came after another. */
export function isLater(a: AcceptorEpoch, b: AcceptorEpoch): boolean {
  return a[0] !== b[0] ? a[0] > b[0] : a[1] > b[1];
}

/** The later holder of each seat. */
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
