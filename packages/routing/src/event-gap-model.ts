import * as statistics from 'simple-statistics';

/** Number of the latest streams whose longest gaps are used. */
const MAX_GAPS = 200;

/** Number of streams below which nothing is forecast, since one long gap may have any cause. */
const MIN_GAPS = 20;

/**
 * Quantile of the longest gaps that is the gap during a concurrent prefill. In 2 of 6 plays with
 * light load the 0.75 quantile was the gap without one, 31 ms instead of 58. A few longer gaps have
 * other causes, such as a preemption.
 */
const GAP_QUANTILE = 0.9;

/** Number of streams after which the quantile is computed again; selecting it takes 2.5 us. */
const GAPS_PER_UPDATE = 10;

/** How long the pool counts as stating slowdowns after a statement, in milliseconds. */
const STATING_MS = 60_000;

/**
 * Period whose largest slowdown is expected for a long generation, in milliseconds: as long as such
 * a generation runs.
 */
const RECENT_MS = 10_000;

/** Length of the intervals whose largest slowdowns are kept, in milliseconds. */
const INTERVAL_MS = 1_000;

interface Interval {
  readonly index: number;
  readonly largest: number;
}

/** Learns the longest gap between two events of a stream in one pool, and the slowdowns to expect. */
export class EventGapModel {
  private readonly gaps: number[] = [];
  /** Number of gaps added since the usual gap was computed. */
  private addedGaps = 0;
  private usualMs = 0;
  private readonly intervals: Interval[] = [];
  private statedAt = -Infinity;

  /** Records a slowdown that any engine of the pool has stated. */
  public recordSlowdown(slowdown: number, now: number): void {
    this.statedAt = now;
    const index = Math.floor(now / INTERVAL_MS);
    const last = this.intervals.at(-1);
    if (last?.index === index) {
      this.intervals[this.intervals.length - 1] = {
        index,
        largest: Math.max(last.largest, slowdown),
      };
      return;
    }
    this.intervals.push({ index, largest: slowdown });
    while (this.intervals.length > RECENT_MS / INTERVAL_MS) {
      this.intervals.shift();
    }
  }

  /** Records the longest gap of a stream on an engine, and the largest slowdown during it. */
  public recordGap(longestGapMs: number, factor: number, slowdown: number): void {
    this.gaps.push(longestGapMs / factor / slowdown);
    if (this.gaps.length > MAX_GAPS) {
      this.gaps.shift();
    }
    this.addedGaps += 1;
  }

  /** Whether any engine of the pool has stated a slowdown within the last minute. */
  public isStating(now: number): boolean {
    return now - this.statedAt <= STATING_MS;
  }

  /**
   * Returns the largest slowdown stated recently anywhere in the pool. A stream of several seconds
   * must expect it, since interference from co-located work may begin at any time.
   */
  public getLargestSlowdown(now: number): number {
    const first = (now - RECENT_MS) / INTERVAL_MS;
    let largest = 1;
    for (const interval of this.intervals) {
      largest = interval.index >= first ? Math.max(largest, interval.largest) : largest;
    }
    return largest;
  }

  /**
   * Returns the longest gap of a stream beside a prefill on a usual engine without interference, in
   * milliseconds; 0 while too few streams are known.
   */
  public getUsualMs(): number {
    if (this.gaps.length < MIN_GAPS) {
      return 0;
    }
    if (this.addedGaps >= GAPS_PER_UPDATE) {
      this.addedGaps = 0;
      this.usualMs = statistics.quantile(this.gaps, GAP_QUANTILE);
    }
    return this.usualMs;
  }
}
