/** How long an upstream's own word on its load is believed, in milliseconds; older, only our share counts. */
const REPORT_LIFE_MS = 1_500;

/** After which time a failure weighs half, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** What an upstream says of its load in passing, with its answers. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** What this host knows of the load of one upstream: its own calls, and what the upstream said of all. */
export class UpstreamLoad {
  /** Calls of this host that are under way there. */
  public calls = 0;
  /** Tokens of engine memory that these calls are expected to fill. */
  public tokens = 0;
  private othersCalls = 0;
  private reportedAt = -Infinity;
  private failures = 0;
  private failedAt = 0;

  /** Counts a call until the function that it gives is called. */
  public trackCall(tokens: number): () => void {
    let isOpen = true;
    this.calls += 1;
    this.tokens += tokens;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.calls -= 1;
        this.tokens -= tokens;
      }
    };
  }

  /** Takes what the upstream said; this host's own calls are known exactly, so only the others' are kept. */
  public applyReport(report: ReportedLoad, now: number): void {
    this.othersCalls = Math.max(0, report.running + report.waiting - this.calls);
    this.reportedAt = now;
  }

  /** Notes a call that the upstream failed. */
  public recordFailure(now: number): void {
    this.failures = this.getFailures(now) + 1;
    this.failedAt = now;
  }

  /** Calls that are probably under way there, of all hosts. */
  public getActiveCalls(now: number): number {
    const isFresh = now - this.reportedAt < REPORT_LIFE_MS;
    return this.calls + (isFresh ? this.othersCalls : 0);
  }

  /** Failures lately, the older ones counted less. */
  public getFailures(now: number): number {
    return this.failures * 0.5 ** ((now - this.failedAt) / FAILURE_HALF_LIFE_MS);
  }
}
