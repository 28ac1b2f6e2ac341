import type * as scheduling from '@bramleyridge/scheduling';

import type * as slotMessages from './slot-messages.js';

/** How the send for which a slot was taken ended. */
export interface SlotEnd {
  readonly result: slotMessages.SlotResult;
  /** Time from the send to the end of the answer, in milliseconds. */
  readonly tookMs: number;
  readonly load?: scheduling.StatedLoad | undefined;
  /** Whether an answer began; `undefined` if that shows nothing about the upstream. */
  readonly hasAnswered?: boolean | undefined;
}

/** A slot that a call of this host holds; it is returned exactly once. */
export class HeldSlot {
  /** The leader that knows of it; undefined if none does. */
  public knownTo: string | undefined;
  private isReturned = false;

  public constructor(
    public readonly service: string,
    public readonly callId: string,
    public readonly upstreamId: string,
    /** Deadline of the call, on this host's clock. */
    public readonly expiresAt: number,
    /** Whether this host chose the upstream without the leader. */
    public readonly isAlone: boolean,
    private readonly onReturn: (slot: HeldSlot, end: SlotEnd) => void,
  ) {}

  /** Returns the slot; only the first call has an effect. */
  public release(end: SlotEnd): void {
    if (!this.isReturned) {
      this.isReturned = true;
      this.onReturn(this, end);
    }
  }

  /** Returns the slot of a call that was not sent. */
  public releaseUnused(): void {
    this.release({ result: 'unused', tookMs: 0 });
  }
}
