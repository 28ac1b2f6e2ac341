/** Pause after a call that got no answer, and the longest one, in milliseconds; each further such call doubles it. */
const FIRST_PAUSE_MS = 20;
const MAX_PAUSE_MS = 320;

/**
 * Time in flight from which on a call shows that connections aren't closed at once, in milliseconds. A stream ends, and is
 * then known to have been answered, only much later.
 */
const MAX_TRIAL_MS = 300;

/**
 * How many calls an upstream may get after one that got no answer: one at a time, after growing pauses, until an answer
 * begins. An upstream that closes every connection at once is always free, and would otherwise be preferred.
 */
export class SendTrial {
  private pauseMs = 0;
  private openAt = -Infinity;
  private current: { readonly id: unknown; readonly sentAt: number } | undefined;

  /** Returns whether the last end that shows anything was that of a call without an answer. */
  public isOn(now: number): boolean {
    return this.pauseMs > 0 && !this.isLasting(now);
  }

  /** Returns the end of the pause after the last call without an answer. */
  public getPauseEnd(): number {
    return this.openAt;
  }

  /** Returns whether a call may be sent now. */
  public mayReceive(now: number): boolean {
    return !this.isOn(now) || (this.current === undefined && this.openAt <= now);
  }

  /** Records that a call is sent. */
  public recordSend(id: unknown, now: number): void {
    if (this.isOn(now)) {
      this.current = { id, sentAt: now };
    }
  }

  /** Records the end of a call; `hasAnswered` is `undefined` if it shows nothing about the upstream. */
  public recordEnd(id: unknown, hasAnswered: boolean | undefined, now: number): void {
    if (this.current?.id === id) {
      this.current = undefined;
    }
    if (hasAnswered === true) {
      this.recordAnswer();
    } else if (hasAnswered === false && now >= this.openAt) {
      // Ends within the pause are those of calls that were sent before.
      this.pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, 2 * this.pauseMs));
      this.openAt = now + this.pauseMs;
      // A call that hangs, or whose end is never reported, shows no more than the end of another one.
      this.current = this.isLasting(now) ? undefined : this.current;
    }
  }

  /** Records that an answer has begun. */
  public recordAnswer(): void {
    this.pauseMs = 0;
    this.openAt = -Infinity;
    this.current = undefined;
  }

  private isLasting(now: number): boolean {
    return this.current !== undefined && now - this.current.sentAt >= MAX_TRIAL_MS;
  }
}
