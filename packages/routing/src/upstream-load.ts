import * as scheduling from '@bramleyridge/scheduling';

/**
 * How long an upstream's load report is used, in milliseconds; after that only this host's own
 * calls count.
 */
const REPORT_TTL_MS = 1_500;

/** Time after which a failure counts half, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 2_000;

/**
 * The load of one upstream as known to this host: its own calls, and the total that the upstream
 * reported.
 */
export class UpstreamLoad {
  /** Calls of this host in progress there. */
  public calls = 0;
  /** Engine memory that these calls are expected to use, in tokens. */
  public tokens = 0;
  public readonly serviceTime = new scheduling.ServiceTime();
  /** How many calls this host may send there after one that got no answer. */
  public readonly trial = new scheduling.SendTrial();
  private othersCalls = 0;
  private reportedAt = -Infinity;
  private failures = 0;
  private failedAt = 0;

  /** Counts a call until the returned function is called. */
  public trackCall(tokens: number): () => void {
    let isActive = true;
    this.calls += 1;
    this.tokens += tokens;
    return () => {
      if (isActive) {
        isActive = false;
        this.calls -= 1;
        this.tokens -= tokens;
      }
    };
  }

  /**
   * Applies a report. This host's own calls are known exactly, so only those of other hosts are
   * taken from it.
   */
  public applyReport(report: scheduling.StatedLoad, now: number): void {
    this.othersCalls = Math.max(0, report.running + report.waiting - this.calls);
    this.reportedAt = now;
    this.serviceTime.applyLoad(report, now);
  }

  /** Records a call that failed on the upstream. */
  public recordFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** Returns the estimated number of calls in progress there, from all hosts. */
  public getActiveCalls(now: number): number {
    const isFresh = now - this.reportedAt < REPORT_TTL_MS;
    return this.calls + (isFresh ? this.othersCalls : 0);
  }

  /** Returns the number of recent failures, with older ones counted less. */
  public getFailures(now: number): number {
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
