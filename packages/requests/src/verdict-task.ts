import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

/** Options of `VerdictTask`. */
export interface VerdictTaskOptions {
  readonly getLedger: () => routing.CrashLedger;
  readonly clock: schemas.Clock;
  /** Time for which this host leaves the decision to others, in milliseconds. */
  readonly patienceMs: number;
  /** Called with the ids of parts of prompts that are barred from now on. */
  readonly onBarred: (partIds: readonly string[]) => void;
}

/** Bars parts of prompts once all hosts have had the time to report what they know. */
export class VerdictTask {
  private isRunning = false;

  public constructor(private readonly options: VerdictTaskOptions) {}

  /** Decides when the ledger's next decision is due; called after each process end. */
  public schedule(): void {
    const { clock, getLedger } = this.options;
    if (!this.isRunning && getLedger().findVerdictTime(clock.now()) !== undefined) {
      this.isRunning = true;
      void this.run();
    }
  }

  /** Decides at once, after a barred part was freed: the ends that it explained are held against other parts again. */
  public decide(): void {
    const { clock, getLedger, onBarred } = this.options;
    const barred = getLedger().barParts(clock.now());
    if (barred.length > 0) {
      onBarred(barred);
    }
  }

  private async run(): Promise<void> {
    const { clock, getLedger, patienceMs } = this.options;
    for (;;) {
      const dueAt = getLedger().findVerdictTime(clock.now());
      if (dueAt === undefined) {
        this.isRunning = false;
        return;
      }
      await clock.sleep(dueAt - clock.now() + patienceMs);
      this.decide();
    }
  }
}
