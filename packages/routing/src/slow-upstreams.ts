import type * as rooms from './upstream-ledger.js';

/** Below which share of the pool's median speed an upstream counts as slow. */
const SLOW_SHARE = 0.5;

/** With how many generations an upstream's speed is taken for evidence. */
const MIN_GENERATIONS = 2;

/**
 * Which upstreams are slow relative to what is expected of them, by the throughput that is measured rather
 * than by what they report: the rule of Sohail et al., "Reducing File Download Delay by QoS Driven
 * Parallelization of Resources" (2005), section 3.3.2, applied to new work only.
 */
export function findSlowUpstreams(all: readonly rooms.UpstreamLedger[]): Set<string> {
  const judged = all.filter((r) => r.tokensPerS > 0 && r.generations.size >= MIN_GENERATIONS);
  const speeds = judged.map((room) => room.tokensPerS).sort((a, b) => a - b);
  const median = speeds[Math.floor(speeds.length / 2)] ?? 0;
  const slow = judged.filter((room) => room.tokensPerS < SLOW_SHARE * median);
  return new Set(slow.map((room) => room.upstreamId));
}
