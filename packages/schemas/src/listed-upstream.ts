import * as z from 'zod';

/** A back end as a list of the platform gives it; the list lags. */
export const listedUpstream = z.object({
  /** Names one run of the back end's process; a restarted one has another. */
  upstreamId: z.string().min(1),
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
