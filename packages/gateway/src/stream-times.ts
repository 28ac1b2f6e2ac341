import type * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

/** Latencies of a stream for the log of its outcome, in milliseconds. */
export interface StreamLatency {
  readonly firstEventMs?: number;
  readonly longestGapMs?: number;
}

/** Records when the events of one stream are sent: a stream is late by its first event or by one long gap. */
export class StreamTimes {
  private firstEventMs: number | undefined;
  private longestGapMs = 0;
  private lastAt: number;

  public constructor(
    private readonly arrivedAt: number,
    private readonly route: schemas.Route,
    private readonly clock: schemas.Clock,
    private readonly metrics: telemetry.MetricSink,
  ) {
    this.lastAt = arrivedAt;
  }

  /** Records that events are sent now; returns whether they are the first. */
  public recordEvents(): boolean {
    const now = this.clock.now();
    const sinceMs = now - this.lastAt;
    this.lastAt = now;
    if (this.firstEventMs === undefined) {
      this.firstEventMs = sinceMs;
      this.metrics.time('firstEventMs', sinceMs, { route: this.route.name });
      return true;
    }
    this.longestGapMs = Math.max(this.longestGapMs, sinceMs);
    this.metrics.time('eventGapMs', sinceMs, { route: this.route.name });
    return false;
  }

  /** Returns for how long events have been sent, in milliseconds; 0 before the first. */
  public getAnswerMs(): number {
    return this.firstEventMs === undefined
      ? 0
      : this.clock.now() - this.arrivedAt - this.firstEventMs;
  }

  /**
   * Returns whether an answer that is complete now was on time: a stream by its first event and its longest gap, any
   * other answer by its end.
   */
  public isOnTime(): boolean {
    const { gapTargetMs = Infinity, targetMs } = this.route;
    const answeredMs = this.firstEventMs ?? this.clock.now() - this.arrivedAt;
    return answeredMs <= targetMs && this.longestGapMs <= gapTargetMs;
  }

  /** Returns the latencies so far; empty for an answer without events. */
  public getLatency(): StreamLatency {
    return this.firstEventMs === undefined
      ? {}
      : {
          firstEventMs: Math.round(this.firstEventMs),
          longestGapMs: Math.round(this.longestGapMs),
        };
  }
}
