/**
 * Calls `onSilence` each time that nothing was heard for a while. After a long task of the process, timers run before what
 * has arrived meanwhile is read; it is read first, and counts.
 */
export class SilenceTimer {
  private readonly timer: NodeJS.Timeout;
  /** Number of times that something was heard. */
  private heard = 0;
  private hasEnded = false;

  public constructor(
    /** Time without a sign of life that is silence, in milliseconds. */
    silenceMs: number,
    private readonly onSilence: () => void,
  ) {
    this.timer = setTimeout(() => this.handleTimeout(), silenceMs);
  }

  /** Records a sign of life. */
  public recordHeard(): void {
    this.heard += 1;
    this.timer.refresh();
  }

  /** Ends the timer; `onSilence` isn't called any more. */
  public end(): void {
    this.hasEnded = true;
    clearTimeout(this.timer);
  }

  private handleTimeout(): void {
    const { heard } = this;
    setImmediate(() => {
      if (this.hasEnded || this.heard !== heard) {
        return;
      }
      this.timer.refresh();
      this.onSilence();
    });
  }
}
