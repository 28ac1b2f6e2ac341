import type * as schemas from '@bramleyridge/schemas';

import type * as metricSinks from './metric-sink.js';

/**
 * Lines of one kind per second. An entry host at the size that the design is made for ends 8 calls a second and writes
 * two lines for each; a burst of ten times that is still logged in full.
 */
const LINES_PER_S = 80;

/** Lines of one kind that may come at once, on top of that. */
const BURST_LINES = 160;

/** How often it is told what was left out, in milliseconds. */
const SUMMARY_MS = 1_000;

/** Outcomes that are no failure; lines about failures have a budget of their own. */
const SUCCESSES = new Set(['complete', undefined]);

type Level = 'debug' | 'info' | 'warn' | 'error';

interface Bucket {
  left: number;
  at: number;
  leftOut: number;
}

/** What a bounded log needs. */
export interface BoundedLogOptions {
  readonly log: schemas.Log;
  readonly clock: schemas.Clock;
  readonly metrics: metricSinks.MetricSink;
}

/**
 * A log whose volume is bounded. Under a flood of calls, or of one fault, each kind of line has its own budget, and
 * the lines about failures have theirs apart from successes of the same kind, so neither hides the other nor
 * fills the disk of whoever collects them. What is left out is counted and told.
 */
export class BoundedLog implements schemas.Log {
  private readonly buckets = new Map<string, Bucket>();
  private toldAt = 0;

  public constructor(private readonly options: BoundedLogOptions) {}

  public debug(fields: object, msg?: string): void {
    this.write('debug', fields, msg);
  }

  public info(fields: object, msg?: string): void {
    this.write('info', fields, msg);
  }

  public warn(fields: object, msg?: string): void {
    this.write('warn', fields, msg);
  }

  public error(fields: object, msg?: string): void {
    this.write('error', fields, msg);
  }

  private write(level: Level, fields: object, msg: string | undefined): void {
    const { clock, log, metrics } = this.options;
    const now = clock.now();
    this.tell(now);
    const kind = getKind(level, fields);
    const bucket = this.fill(kind, now);
    if (bucket.left < 1) {
      bucket.leftOut += 1;
      metrics.count('logLinesLeftOut', { kind });
      return;
    }
    bucket.left -= 1;
    log[level](fields, msg);
  }

  private fill(kind: string, now: number): Bucket {
    const bucket = this.buckets.get(kind) ?? { left: BURST_LINES, at: now, leftOut: 0 };
    this.buckets.set(kind, bucket);
    bucket.left = Math.min(BURST_LINES, bucket.left + ((now - bucket.at) / 1_000) * LINES_PER_S);
    bucket.at = now;
    return bucket;
  }

  /** Tells what was left out, at most once in a while. */
  private tell(now: number): void {
    if (now - this.toldAt < SUMMARY_MS) {
      return;
    }
    this.toldAt = now;
    const leftOut = [...this.buckets].filter(([, bucket]) => bucket.leftOut > 0);
    if (leftOut.length === 0) {
      return;
    }
    const counts = Object.fromEntries(leftOut.map(([kind, bucket]) => [kind, bucket.leftOut]));
    leftOut.forEach(([, bucket]) => {
      bucket.leftOut = 0;
    });
    this.options.log.warn({ event: 'log-lines-left-out', counts });
  }
}

/** The kind of a line: what it tells of, and whether it tells of a failure. */
function getKind(level: Level, fields: object): string {
  const { decision, event, outcome, step } = fields as Record<string, string | undefined>;
  const isFailure = level === 'warn' || level === 'error' || !SUCCESSES.has(outcome);
  return `${decision ?? event ?? step ?? 'other'}${isFailure ? ':failure' : ''}`;
}
