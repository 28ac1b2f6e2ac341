import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import * as verdictTasks from './verdict-task.js';

/** A call as the records of suspects know it. */
export interface RunSubject {
  readonly requestId: string;
  /** Returns the digest that identifies repetitions of the call. */
  readonly getDigest: () => string;
  /** Returns the ids of the parts of its prompt that other calls may share. */
  readonly listPartIds: () => readonly string[];
}

/** Shares suspects with the other hosts. */
export interface SuspectSharing {
  /** Reports the outcome of a run. */
  report(run: routing.SuspectRun): void;
  /** Requests a permit to send a suspect to a process; undefined if no other host answers. */
  requestPermit(req: {
    readonly digest: string;
    readonly processId: string;
    readonly mayShare: boolean;
  }): Promise<routing.Permit | undefined>;
}

/** Dependencies of the part guard. */
export interface PartGuardOptions {
  readonly ledger: routing.CrashLedger;
  readonly sharing: SuspectSharing;
  /** Time for which this host leaves the decision which part to bar to others, in milliseconds. */
  readonly patienceMs: number;
  /** Called with the parts that this host bars. */
  readonly onBarred?: (partIds: readonly string[]) => void;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** The answer to the request to send a call with barred parts. */
export interface TrialDecision {
  /** The permits for its barred parts, all of which allow it if `refused` and `isElsewhere` are not set. */
  readonly permits: readonly routing.Permit[];
  readonly refused?: routing.PermitRefusal;
  /** Whether another suspect runs on the process. */
  readonly isElsewhere: boolean;
}

/** Stops calls whose prompts share a part that crashes the engines which begin an answer on it. */
export class PartGuard {
  private readonly verdicts: verdictTasks.VerdictTask;

  public constructor(private readonly options: PartGuardOptions) {
    const { clock, ledger, log, onBarred, patienceMs } = options;
    this.verdicts = new verdictTasks.VerdictTask({
      getLedger: () => ledger,
      clock,
      patienceMs,
      onBarred: (partIds) => {
        log.info({ decision: 'part-barred', partIds, isOwn: true });
        onBarred?.(partIds);
      },
    });
  }

  /** Returns the refusal of a call by the barred parts of its prompt. */
  public findRefusal(subject: RunSubject): routing.PermitRefusal | undefined {
    const { clock, ledger } = this.options;
    return ledger.hasParts ? ledger.findPartRefusal(subject.listPartIds(), clock.now()) : undefined;
  }

  /** Returns the barred parts of a call's prompt; the call may only be sent as a trial of them. */
  public listBarred(subject: RunSubject): string[] {
    const { ledger } = this.options;
    return ledger.hasParts ? ledger.listBarred(subject.listPartIds()) : [];
  }

  /** Requests a trial of the barred parts of a call on a process. */
  public async requestTrial(
    subject: RunSubject,
    processId: string,
    mayShare: boolean,
  ): Promise<TrialDecision> {
    const { clock, ledger, sharing } = this.options;
    const refused = this.findRefusal(subject);
    if (refused !== undefined) {
      return { permits: [], refused, isElsewhere: false };
    }
    const permits: routing.Permit[] = [];
    for (const digest of this.listBarred(subject)) {
      const permit =
        (await sharing.requestPermit({ digest, processId, mayShare })) ??
        ledger.permitWithoutLeader(digest, processId, mayShare, clock.now());
      if (permit.kind === 'refused') {
        return { permits, refused: permit, isElsewhere: false };
      }
      permits.push(permit);
      if (permit.kind !== 'go') {
        return { permits, isElsewhere: true };
      }
    }
    return { permits, isElsewhere: false };
  }

  /** Records that a process exited before a call had written its answer for long. */
  public recordEnd(subject: RunSubject, processId: string): void {
    const { clock, ledger, sharing } = this.options;
    const calls = [subject.getDigest()];
    subject.listPartIds().forEach((digest) => {
      const end = { processId, isEarly: true, wasAlone: false, calls };
      ledger.recordProcessEnd(digest, end, clock.now());
      sharing.report({ kind: 'ended', digest, end });
    });
    this.verdicts.schedule();
  }

  /** Bars parts when that is due, after other hosts have reported process ends. */
  public decideLater(): void {
    this.verdicts.schedule();
  }

  /** Records that an engine wrote an answer on the parts of a call's prompt, so that none of them is the cause. */
  public recordAnswer(subject: RunSubject): void {
    const { ledger, log, sharing } = this.options;
    if (!ledger.hasParts) {
      return;
    }
    subject
      .listPartIds()
      .filter((digest) => ledger.has(digest))
      .forEach((digest) => {
        if (ledger.getStanding(digest) === 'quarantined') {
          log.info({ decision: 'part-freed', request: subject.requestId, digest });
        }
        ledger.clear(digest);
        sharing.report({ kind: 'served', digest });
      });
  }

  /** Records that a trial ended without a conclusion. */
  public recordInconclusive(subject: RunSubject, processId: string): void {
    const { ledger, sharing } = this.options;
    this.listBarred(subject).forEach((digest) => {
      ledger.recordInconclusiveRun(digest, processId);
      sharing.report({ kind: 'over', digest, processId });
    });
  }
}
