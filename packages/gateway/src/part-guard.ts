import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import * as promptParts from './prompt-parts.js';
import type * as routedJobs from './routed-job.js';
import type * as suspectClients from './suspect-client.js';
import * as verdictTasks from './verdict-task.js';

/** Time for which a host waits for the verdict of the leader or a relay before it decides itself, in milliseconds. */
const OWN_VERDICT_PATIENCE_MS = 1_000;

/** Dependencies of the part guard. */
export interface PartGuardOptions {
  readonly ledger: routing.CrashLedger;
  readonly suspects: suspectClients.SuspectClient;
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
    const { clock, ledger, log } = options;
    this.verdicts = new verdictTasks.VerdictTask({
      getLedger: () => ledger,
      clock,
      patienceMs: OWN_VERDICT_PATIENCE_MS,
      onBarred: (partIds) => log.info({ decision: 'part-barred', partIds, isAlone: true }),
    });
  }

  /** Returns the refusal of a call by the barred parts of its prompt. */
  public findRefusal({ call }: routedJobs.RoutedJob): routing.PermitRefusal | undefined {
    const { clock, ledger } = this.options;
    return ledger.hasParts
      ? ledger.findPartRefusal(promptParts.listPartIds(call), clock.now())
      : undefined;
  }

  /** Returns the barred parts of a call's prompt; the call may only be sent as a trial of them. */
  public listBarred({ call }: routedJobs.RoutedJob): string[] {
    const { ledger } = this.options;
    return ledger.hasParts ? ledger.listBarred(promptParts.listPartIds(call)) : [];
  }

  /** Requests a trial of the barred parts of a call on a process. */
  public async requestTrial(
    job: routedJobs.RoutedJob,
    processId: string,
    mayShare: boolean,
  ): Promise<TrialDecision> {
    const { clock, ledger, suspects } = this.options;
    const refused = this.findRefusal(job);
    if (refused !== undefined) {
      return { permits: [], refused, isElsewhere: false };
    }
    const permits: routing.Permit[] = [];
    for (const digest of this.listBarred(job)) {
      const permit =
        (await suspects.requestPermit({ digest, processId, mayShare })) ??
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
  public recordEnd(job: routedJobs.RoutedJob, processId: string): void {
    const { clock, ledger, suspects } = this.options;
    const calls = [job.getDigest()];
    promptParts.listPartIds(job.call).forEach((digest) => {
      const end = { processId, isEarly: true, wasAlone: false, calls };
      ledger.recordProcessEnd(digest, end, clock.now());
      suspects.report({ kind: 'ended', digest, end });
    });
    this.verdicts.schedule();
  }

  /** Records that an engine wrote an answer on the parts of a call's prompt, so that none of them is the cause. */
  public recordAnswer({ call }: routedJobs.RoutedJob): void {
    const { ledger, log, suspects } = this.options;
    if (!ledger.hasParts) {
      return;
    }
    promptParts
      .listPartIds(call)
      .filter((digest) => ledger.has(digest))
      .forEach((digest) => {
        if (ledger.getStanding(digest) === 'quarantined') {
          log.info({ decision: 'part-freed', request: call.facts.requestId, digest });
        }
        ledger.clear(digest);
        suspects.report({ kind: 'served', digest });
      });
  }

  /** Records that a trial ended without a conclusion. */
  public recordInconclusive(job: routedJobs.RoutedJob, processId: string): void {
    const { ledger, suspects } = this.options;
    this.listBarred(job).forEach((digest) => {
      ledger.recordInconclusiveRun(digest, processId);
      suspects.report({ kind: 'over', digest, processId });
    });
  }
}
