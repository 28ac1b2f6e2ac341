import type * as statedLoads from './stated-load.js';

/**
 * Shortest time for which a call may wait for a slot, in milliseconds, where its deadline allows it. A call whose target
 * is shorter than a burst of calls lasts is still worth an answer that is late.
 */
export const MIN_HOLD_MS = 500;

/** One send of a call of a plain service, which needs a slot. */
export interface CallSpec {
  readonly callId: string;
  readonly hostId: string;
  /** Identifies the process of the host. */
  readonly incarnation: string;
  /** Empty for calls without a team. */
  readonly team: string;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly availabilityZone: string;
  /** Time at which its answer is due. */
  readonly dueAt: number;
  /** Time at which its caller gives up. */
  readonly expiresAt: number;
  /** Upstreams that must not be used for it. */
  readonly excluded: readonly string[];
}

/** An upstream of a plain service. */
export interface SchedulableUpstream {
  readonly upstreamId: string;
  /** Identifies its process; a restart gives another one. */
  readonly processId: string;
  readonly availabilityZone: string;
  /** Number of calls that it declares to process concurrently. */
  readonly slots: number;
  /** End of its cold period. */
  readonly coldUntil: number;
  /** Maximum number of calls per second while it is cold; `undefined` for no limit. */
  readonly coldCallsPerS?: number | undefined;
  /** Number of calls in a second after which it ends if it turns away more; `undefined` if it bears any number. */
  readonly maxRejectionsPerS?: number | undefined;
  /** Number of its slots that this scheduler may use where others use the rest; `undefined` if they are not divided. */
  readonly ownedSlots?: number | undefined;
}

/** Why a call gets no slot. */
export type SlotRefusalReason = 'no-time' | 'no-upstream';

/** A call that got a slot. */
export interface GrantedCall {
  readonly kind: 'granted';
  readonly spec: CallSpec;
  readonly upstreamId: string;
  readonly waitedMs: number;
}

/** A call that gets no slot. */
export interface RefusedCall {
  readonly kind: 'refused';
  readonly spec: CallSpec;
  readonly reason: SlotRefusalReason;
  /** Time after which its caller may return, in milliseconds. */
  readonly retryAfterMs: number;
  readonly waitedMs: number;
}

/** A call that got a slot or was refused. */
export type SettledCall = GrantedCall | RefusedCall;

/** How the send of a call ended. */
export interface CallEnd {
  /** `not-run` if the upstream refused it as full; `unused` if the slot was not used or its use shows nothing. */
  readonly result: 'answered' | 'failed' | 'not-run' | 'unused';
  /** Time from the send to the end of the answer, in milliseconds; NaN if it is not known. */
  readonly tookMs: number;
  readonly load?: statedLoads.StatedLoad | undefined;
  /** Whether an answer began; `undefined` if that shows nothing about the upstream, as where the caller left. */
  readonly hasAnswered?: boolean | undefined;
}

/** Returns how long a call may wait for a slot, in milliseconds. */
export function getHoldMs({ dueInMs, leftMs }: { dueInMs: number; leftMs: number }): number {
  return Math.max(0, Math.min(leftMs, Math.max(dueInMs, MIN_HOLD_MS)));
}
