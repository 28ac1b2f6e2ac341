import type * as heldSlots from './held-slot.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** The upstream picked for one attempt. */
export interface PickedUpstream {
  readonly upstreamId: string;
  readonly known: upstreamDirectories.KnownUpstream;
  /** Its share of busy slots or of used memory when it was picked, for the log. */
  readonly share: number;
  /** The engine that keeps a backup while the generation runs, if any. */
  readonly backupEngine: upstreamDirectories.KnownUpstream | undefined;
  /** How long the call waited for capacity, in milliseconds. */
  readonly waitedMs: number;
  /** Whether it was picked by fallback placement, without the leader's ledger of all hosts. */
  readonly isFallback: boolean;
  /** The slot that the call holds there; undefined where slots are not scheduled. */
  readonly slot?: heldSlots.HeldSlot | undefined;
  /** Time that the call is expected to take there, in milliseconds, where slots are scheduled and it is known. */
  readonly expectedMs?: number | undefined;
  /** Slowdown that the upstream states, where slots are scheduled. */
  readonly slowdown?: number | undefined;
}
