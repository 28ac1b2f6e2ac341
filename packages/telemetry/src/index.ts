/** Counters, histograms and logs of bounded volume. */
export * from './bounded-log.js';
export * from './call-trail.js';
export * from './metric-catalog.js';
export * from './metric-sink.js';
export * from './statsd-metrics.js';
export * from './text-metrics.js';
