import * as z from 'zod';

/** An upstream as listed by the platform; the list lags behind the actual state. */
export const listedUpstream = z.object({
  /** Name of the upstream; a restarted upstream may keep it. */
  upstreamId: z.string().min(1),
  /**
   * Start time of its process, in milliseconds since 1970, if listed. The same name with a later start time is a new
   * process, which has none of the runs or cached data of the former one.
   */
  bornMs: z.int().min(0).optional(),
  service: z.string(),
  /** IP address and port, separated by a colon. */
  address: z.string(),
  availabilityZone: z.string(),
  isLeaving: z.boolean(),
  /** Whether the upstream itself reports that it is leaving before the list shows it; it may withdraw that report. */
  saysLeaving: z.boolean().optional(),
  /** Whether its process has stated in an answer that it leaves; the process does not withdraw that. */
  hasStatedLeaving: z.boolean().optional(),
  slots: z.int().min(1),
  /** Remaining time for which it is slow after its start, in milliseconds. */
  coldMs: z.number().min(0),
});

/** An upstream as listed by the platform. */
export type ListedUpstream = z.infer<typeof listedUpstream>;

/** Returns an id for the process of an upstream; a restart under the same upstream id gives a different one. */
export function getProcessId({
  bornMs,
  upstreamId,
}: Pick<ListedUpstream, 'bornMs' | 'upstreamId'>): string {
  return bornMs === undefined ? upstreamId : `${upstreamId}@${bornMs}`;
}

/** Returns whether an upstream has restarted under the same name between two entries of the list. */
export function hasRestarted(former: ListedUpstream, listed: ListedUpstream): boolean {
  return (
    former.bornMs !== undefined && listed.bornMs !== undefined && listed.bornMs > former.bornMs
  );
}
