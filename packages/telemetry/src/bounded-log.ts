import type * as schemas from '@bramleyridge/schemas';

import type * as metricSinks from './metric-sink.js';

/**
 * Sustained rate per kind of line. At the size this system is designed for, an entry host completes 8 calls a second
 * and writes two lines for each; a burst of ten times that rate is still logged in full.
 */
const LINES_PER_S = 80;

/** Capacity of the token bucket of each kind, in lines: the burst that is logged beyond the sustained rate. */
const BURST_LINES = 160;

/** Minimum interval between two summaries of dropped lines, in milliseconds. */
const SUMMARY_INTERVAL_MS = 1_000;

/** Outcomes that are not failures. Lines about failures have a separate token bucket. */
const SUCCESS_OUTCOMES = new Set(['complete', undefined]);

type Level = 'debug' | 'info' | 'warn' | 'error';

interface Bucket {
  tokens: number;
  refilledAt: number;
  droppedLines: number;
}

/** Options of {@link BoundedLog}. */
export interface BoundedLogOptions {
  readonly log: schemas.Log;
  readonly clock: schemas.Clock;
  readonly metrics: metricSinks.MetricSink;
}

/**
 * A log with a rate limit per kind of line. Failures and successes of the same kind are limited separately, so that
 * under a burst of calls or of one fault neither suppresses the other and the collector's disk does not fill up.
 * Dropped lines are counted in a metric and reported in summary lines.
 */
export class BoundedLog implements schemas.Log {
  private readonly buckets = new Map<string, Bucket>();
  private lastSummaryAt = 0;

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
    this.writeSummaryIfDue(now);
    const kind = getKind(level, fields);
    const bucket = this.refillBucket(kind, now);
    if (bucket.tokens < 1) {
      bucket.droppedLines += 1;
      metrics.count('logLinesLeftOut', { kind });
      return;
    }
    bucket.tokens -= 1;
    log[level](fields, msg);
  }

  private refillBucket(kind: string, now: number): Bucket {
    const bucket = this.buckets.get(kind) ?? {
      tokens: BURST_LINES,
      refilledAt: now,
      droppedLines: 0,
    };
    this.buckets.set(kind, bucket);
    bucket.tokens = Math.min(
      BURST_LINES,
      bucket.tokens + ((now - bucket.refilledAt) / 1_000) * LINES_PER_S,
    );
    bucket.refilledAt = now;
    return bucket;
  }

  /** Logs how many lines of each kind were dropped, at most once per {@link SUMMARY_INTERVAL_MS}. */
  private writeSummaryIfDue(now: number): void {
    if (now - this.lastSummaryAt < SUMMARY_INTERVAL_MS) {
      return;
    }
    this.lastSummaryAt = now;
    const limited = [...this.buckets].filter(([, bucket]) => bucket.droppedLines > 0);
    if (limited.length === 0) {
      return;
    }
    const counts = Object.fromEntries(limited.map(([kind, bucket]) => [kind, bucket.droppedLines]));
    limited.forEach(([, bucket]) => {
      bucket.droppedLines = 0;
    });
    this.options.log.warn({ event: 'log-lines-left-out', counts });
  }
}

/** Returns the kind of a line: its decision, event or step, and whether it reports a failure. */
function getKind(level: Level, fields: object): string {
  const { decision, event, outcome, step } = fields as Record<string, string | undefined>;
  const isFailure = level === 'warn' || level === 'error' || !SUCCESS_OUTCOMES.has(outcome);
  return `${decision ?? event ?? step ?? 'other'}${isFailure ? ':failure' : ''}`;
}
