/** Metrics, rate-limited logs and the explanation of calls from log lines. */
export * from './bounded-log.js';
export * from './call-trail.js';
export * from './fatal-error-reporter.js';
export * from './metric-catalog.js';
export * from './metric-sink.js';
export * from './statsd-metrics.js';
export * from './text-metrics.js';
