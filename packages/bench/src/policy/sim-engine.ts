import * as fakes from '@bramleyridge/fakes';
import type * as schemas from '@bramleyridge/schemas';

import type * as simClocks from './sim-clock.js';

/** Interval between load reports of an engine, and their age when they are read. */
const REPORT_INTERVAL_MS = 500;
const REPORT_LAG_MS = 200;

/** An engine model on virtual time. */
export class SimEngine {
  public readonly model: fakes.EngineModel;
  public isDead = false;
  /** Additional age of reports in milliseconds, for the `late-reports` fault. */
  public extraLagMs = 0;
  private isStepping = false;
  private readonly jobs = new Map<string, fakes.EngineJob>();

  public constructor(
    public readonly upstreamId: string,
    private readonly clock: simClocks.SimClock,
    private readonly onReport: (engine: SimEngine, report: schemas.LoadReport) => void,
  ) {
    this.model = new fakes.EngineModel();
    this.scheduleReports();
  }

  /** Adds a job to the queue. */
  public submit(job: fakes.EngineJob): void {
    this.jobs.set(job.id, job);
    this.model.submit({
      ...job,
      onEnd: () => {
        this.jobs.delete(job.id);
        job.onEnd();
      },
    });
    this.step();
  }

  /** Fails the engine at once and returns the ids of the jobs that are lost with it. */
  public die(): string[] {
    this.isDead = true;
    return [...this.jobs.keys()];
  }

  private step(): void {
    if (this.isStepping || this.isDead || this.model.isIdle()) {
      return;
    }
    this.isStepping = true;
    const step = this.model.step();
    this.clock.after(step.durationMs, () => {
      this.isStepping = false;
      if (!this.isDead) {
        step.finish();
        this.step();
      }
    });
  }

  private scheduleReports(): void {
    const report: schemas.LoadReport = {
      at: this.clock.now(),
      ageMs: REPORT_LAG_MS + this.extraLagMs,
      tokensTotal: this.model.shape.tokensTotal,
      tokensUsed: this.model.getUsed(),
      ...this.model.getCounts(),
      preemptions: this.model.preemptions,
      state: 'live',
      models: [],
    };
    if (!this.isDead) {
      this.clock.after(report.ageMs, () => this.onReport(this, report));
      this.clock.after(REPORT_INTERVAL_MS, () => this.scheduleReports());
    }
  }
}
