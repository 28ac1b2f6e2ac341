import * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

/** Dependencies of `reportRunEnd`. */
export interface RunEndReportOptions {
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
}

/** How a run whose answer was streamed came to its end. */
export interface RunEnd {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly answer: requests.UpstreamAnswer;
  /** Number of its events that have arrived. */
  readonly events: number;
  readonly hasFailed: boolean;
  /** Whether this host had ordered that the run stops. */
  readonly isStopOrdered: boolean;
}

/**
 * Counts the end of a streamed run, and logs one that only the end of its connection shows or that this host may have
 * caused.
 */
export function reportRunEnd({ log, metrics }: RunEndReportOptions, run: RunEnd): void {
  const { answer, events, isStopOrdered, requestId: request, upstreamId: upstream } = run;
  const end = getEnd(run);
  const stop = isStopOrdered ? 'ordered' : 'none';
  metrics.count('runEnds', { end, stop });
  if (end === 'connection' || isStopOrdered) {
    const wasReset = answer.wasReset();
    log.info({ decision: 'run-end', request, upstream, end, stop, wasReset, events });
  }
}

/** Returns what showed the end: a mark in the answer, the end of its connection, or a failure. */
function getEnd({ answer, hasFailed }: RunEnd): 'marked' | 'connection' | 'broken' {
  if (hasFailed) {
    return 'broken';
  }
  return requests.hasMarkedEnd(answer) ? 'marked' : 'connection';
}
