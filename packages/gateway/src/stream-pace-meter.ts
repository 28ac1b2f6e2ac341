import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

/** Number of events after which the pace of a stream is reported for the first time; about half a second. */
const FIRST_REPORT_EVENTS = 16;

/**
 * Measures the pace of one engine by the events of a stream as they arrive from it. A stream that resumes on another
 * engine is measured there by another meter.
 */
export class StreamPaceMeter {
  private firstAt = 0;
  private lastAt = 0;
  private events = 0;
  private reportedEvents = 0;
  private longestGapMs = 0;
  private isStopped = false;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly report: (pace: routing.StreamPace) => void,
  ) {}

  /** Records that events have arrived together. */
  public recordEvents(count: number): void {
    if (this.isStopped || count === 0) {
      return;
    }
    const now = this.clock.now();
    if (this.events === 0) {
      // The first part shows when the stream began, however many events it holds.
      this.firstAt = now;
      this.events = 1;
    } else {
      this.longestGapMs = Math.max(this.longestGapMs, now - this.lastAt);
      this.events += count;
    }
    this.lastAt = now;
    if (this.reportedEvents === 0 && this.events >= FIRST_REPORT_EVENTS) {
      this.send();
    }
  }

  /**
   * Ends the measurement and reports it if it covers enough events. It also ends when the caller reads too slowly: from
   * then on, events are read when the caller has room for them and not when the engine produces them.
   */
  public end(): void {
    if (
      !this.isStopped &&
      this.events >= FIRST_REPORT_EVENTS &&
      this.events > this.reportedEvents
    ) {
      this.send();
    }
    this.isStopped = true;
  }

  private send(): void {
    const { events, firstAt, lastAt, longestGapMs } = this;
    this.reportedEvents = events;
    this.report({ msPerEvent: (lastAt - firstAt) / (events - 1), events, longestGapMs });
  }
}
