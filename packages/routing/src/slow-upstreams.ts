import type * as upstreamLedgers from './upstream-ledger.js';

/** Share of the pool's median speed below which an upstream counts as slow. */
const SLOW_SHARE = 0.5;

/** Minimum number of generations for an upstream's speed to count. */
const MIN_GENERATIONS = 2;

/**
 * Returns the upstreams that are slow relative to the others, by measured throughput instead of
 * their own reports: the rule of Sohail et al., "Reducing File Download Delay by QoS Driven
 * Parallelization of Resources" (2005), section 3.3.2, applied to new work only.
 */
export function findSlowUpstreams(all: readonly upstreamLedgers.UpstreamLedger[]): Set<string> {
  const measured = all.filter(
    (upstream) => upstream.tokensPerS > 0 && upstream.generations.size >= MIN_GENERATIONS,
  );
  const speeds = measured.map((upstream) => upstream.tokensPerS).sort((a, b) => a - b);
  const median = speeds[Math.floor(speeds.length / 2)] ?? 0;
  const slow = measured.filter((upstream) => upstream.tokensPerS < SLOW_SHARE * median);
  return new Set(slow.map((upstream) => upstream.upstreamId));
}
