/** A request for a share of scarce capacity. */
export interface ShareRequest {
  /** The team of its caller; empty for calls without a team. */
  readonly team: string;
  /** Its priority; 0 is the highest. */
  readonly priority: number;
  /** Capacity that it takes: service time in milliseconds, or memory in tokens. */
  readonly cost: number;
  /** Expected time from its start to its answer or first event, in milliseconds. */
  readonly serviceMs: number;
  /** Time at which its answer or first event is due. */
  readonly dueAt: number;
  /** Time after which it is of no use. */
  readonly expiresAt: number;
}

/** Returns the time until which a request must start in order to be on time. */
export function getLatestStart({ dueAt, serviceMs }: ShareRequest): number {
  return dueAt - serviceMs;
}
