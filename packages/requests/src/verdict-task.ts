import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

/** Options of `VerdictTask`. */
export interface VerdictTaskOptions {
  readonly getLedger: () => routing.CrashLedger;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Time for which this host leaves the decision to others, in milliseconds. */
  readonly patienceMs: number;
  /** Called with the ids of parts of prompts that are barred from now on. */
  readonly onBarred: (partIds: readonly string[]) => void;
}

/** Bars parts of prompts once all hosts have had the time to report what they know. */
export class VerdictTask {
  /** Resolves at the next decision; undefined while none is due. */
  private decision: Promise<void> | undefined;
  private endDecision = () => {};
  /** Time of the last decision, which all verdicts up to then were part of. */
  private decidedAt = -Infinity;

  public constructor(private readonly options: VerdictTaskOptions) {}

  /** Decides when the ledger's next decision is due; called after each process end. */
  public schedule(): void {
    if (this.decision === undefined && this.findDueTime() !== undefined) {
      this.awaitNext();
      schemas.runInBackground(() => this.run(), { log: this.options.log, step: 'bar-parts' });
    }
  }

  /** Returns a promise of the next decision if one is due. */
  public findDecision(): Promise<void> | undefined {
    return this.decision;
  }

  /** Decides at once, after a barred part was freed: the ends that it explained are held against other parts again. */
  public decide(): void {
    const { clock, getLedger, onBarred } = this.options;
    this.decidedAt = clock.now();
    const barred = getLedger().barParts(this.decidedAt);
    if (barred.length > 0) {
      onBarred(barred);
    }
  }

  private async run(): Promise<void> {
    const { clock, log, patienceMs } = this.options;
    for (;;) {
      const dueAt = this.findDueTime();
      if (dueAt === undefined) {
        this.decision = undefined;
        this.endDecision();
        return;
      }
      await clock.sleep(Math.max(0, dueAt + patienceMs - clock.now()));
      await schemas.runRound(() => this.decide(), { log, step: 'bar-parts' });
      this.endDecision();
      this.awaitNext();
    }
  }

  private awaitNext(): void {
    this.decision = new Promise((resolve) => {
      this.endDecision = resolve;
    });
  }

  /** Returns the time of the next verdict; a timer may fire early, so that one is due only after the last decision. */
  private findDueTime(): number | undefined {
    return this.options.getLedger().findVerdictTime(this.decidedAt);
  }
}
