import * as z from 'zod';

/** A back end as a list of the platform gives it; the list lags. */
export const listedUpstream = z.object({
  /** Names the back end; one that starts again may keep the name. */
  upstreamId: z.string().min(1),
  /**
   * When its process started, in milliseconds since 1970, where it is told. The same name with a later start is a
   * process that holds and knows nothing of what ran before.
   */
  bornMs: z.int().min(0).optional(),
  service: z.string(),
  /** IP address and port. */
  address: z.string(),
  availabilityZone: z.string(),
  isLeaving: z.boolean(),
  /** Whether it says itself that it leaves, while the list does not show it yet; it may take that back. */
  saysLeaving: z.boolean().optional(),
  slots: z.int().min(1),
  /** How long it will still be slow after its start, in milliseconds. */
  coldMs: z.number().min(0),
});

/** A back end as a list of the platform gives it. */
export type ListedUpstream = z.infer<typeof listedUpstream>;

/** Whether a back end has started again since it was listed so, under the name that it had. */
export function isReborn(former: ListedUpstream, listed: ListedUpstream): boolean {
  return (
    former.bornMs !== undefined && listed.bornMs !== undefined && listed.bornMs > former.bornMs
  );
}
