import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as promptParts from './prompt-parts.js';
import type * as routedJobs from './routed-job.js';
import type * as suspectClients from './suspect-client.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** Time after the start of an answer beyond which its run is probably not the cause of a crash, in milliseconds. */
const EARLY_CRASH_MS = 1_000;

/**
 * Maximum wait of a repeated call for the exit check of its last run, in milliseconds. A refused connection is reported
 * within a few milliseconds. During a network partition there is no answer, and a stream that continues elsewhere must
 * not be delayed further.
 */
const MAX_CHECK_WAIT_MS = 30;

/** Time for which a host waits for the leader or a relay to bar a part before it does so itself, in milliseconds. */
const OWN_VERDICT_PATIENCE_MS = 1_000;

/** The outcome of a run on an upstream. */
export type RunOutcome =
  /** The answer was complete and not a failure. */
  | 'served'
  /** The connection broke after the call was sent. */
  | 'lost'
  /** It ended without evidence for or against the call. */
  | 'over'
  /** No upstream ran the call. */
  | 'not-run';

/** The properties of a run that the guard uses. */
export interface GuardedRun {
  readonly known: upstreamDirectories.KnownUpstream;
  /** Start time of its answer on this host's clock, in milliseconds; undefined if no answer had started. */
  readonly answerStartedAt: number | undefined;
}

/** Where a call may be sent: to the picked upstream, to a different one, or to a specific one. */
export type PermitDecision =
  | { readonly kind: 'go' | 'elsewhere' }
  | { readonly kind: 'there'; readonly upstream: upstreamDirectories.KnownUpstream };

/** The permits for one run of a suspect, or of a call with barred parts. */
interface RunPermit {
  readonly permits: readonly routing.Permit[];
  /** Whether no other suspect runs on the permitted process. */
  readonly isAlone: boolean;
  /** Whether it is a trial of the barred parts of the call's prompt. */
  readonly isPartTrial: boolean;
}

/** Dependencies of the crash guard. */
export interface CrashGuardOptions {
  readonly suspects: suspectClients.SuspectClient;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly exitDetector: requests.ProcessExitDetector;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
}

/**
 * Stops calls that crash the upstreams that run them: a call that is repeated under a new id on any host, and calls whose
 * prompts share a part that does. Each crashes an upstream with all runs on it. Every path to an upstream checks here first: attempts, retries and runs
 * that continue on another upstream.
 */
export class CrashGuard {
  private readonly ledger = new routing.CrashLedger();
  /** Pending exit checks by call digest; the same call may arrive again before its check has completed. */
  private readonly exitChecks = new Map<string, Promise<void>>();
  /** The permit for the current run of each job. */
  private readonly permits = new WeakMap<routedJobs.RoutedJob, RunPermit>();
  private readonly parts: requests.PartGuard;

  public constructor(private readonly options: CrashGuardOptions) {
    options.suspects.attach(this.ledger);
    this.parts = new requests.PartGuard({
      ledger: this.ledger,
      sharing: options.suspects,
      patienceMs: OWN_VERDICT_PATIENCE_MS,
      clock: options.clock,
      log: options.log,
    });
  }

  /** Waits for a pending exit check of the call's last run, then throws a refusal if the call is quarantined. */
  public async admit(job: routedJobs.RoutedJob): Promise<void> {
    const check = this.exitChecks.size === 0 ? undefined : this.exitChecks.get(job.getDigest());
    if (check !== undefined) {
      await Promise.race([check, this.options.clock.sleep(MAX_CHECK_WAIT_MS)]);
    }
    this.ensureCallAdmitted(job);
    this.ensurePartsAdmitted(job);
  }

  /**
   * Throws a refusal if the call or a part of its prompt was quarantined while the call waited, unless it has a permit
   * for its send.
   */
  public confirm(job: routedJobs.RoutedJob): void {
    const permitted = this.permits.get(job);
    if (permitted === undefined) {
      this.ensureCallAdmitted(job);
    }
    if (permitted?.isPartTrial !== true) {
      this.ensurePartsAdmitted(job);
    }
  }

  /**
   * Decides whether a call may be sent to the upstream picked for it; throws a refusal if it must not be sent at all.
   * `mayShare` returns true if a suspect has no alternative to an upstream that runs another suspect.
   */
  public async permit(
    job: routedJobs.RoutedJob,
    known: upstreamDirectories.KnownUpstream,
    mayShare: () => boolean,
  ): Promise<PermitDecision> {
    const decision = await this.permitCall(job, known, mayShare);
    if (decision.kind === 'elsewhere' || this.parts.listBarred(createSubject(job)).length === 0) {
      return decision;
    }
    const target = decision.kind === 'there' ? decision.upstream : known;
    const isFixed = decision.kind === 'there' || mayShare();
    const trial = await this.parts.requestTrial(createSubject(job), getProcessId(target), isFixed);
    const permits = [...(this.permits.get(job)?.permits ?? []), ...trial.permits];
    if (trial.refused !== undefined || trial.isElsewhere) {
      this.returnPermits(job, permits);
    }
    if (trial.refused !== undefined) {
      throw this.refuse(job, trial.refused, 'partQuarantined');
    }
    if (trial.isElsewhere) {
      return { kind: 'elsewhere' };
    }
    const isAlone = this.permits.get(job)?.isAlone ?? false;
    this.permits.set(job, { permits, isAlone, isPartTrial: true });
    return decision;
  }

  private async permitCall(
    job: routedJobs.RoutedJob,
    known: upstreamDirectories.KnownUpstream,
    mayShare: () => boolean,
  ): Promise<PermitDecision> {
    if (!this.isTracked(job)) {
      return { kind: 'go' };
    }
    const mayShareProcess = mayShare();
    const permit = await this.requestPermit(job.getDigest(), getProcessId(known), mayShareProcess);
    if (permit.kind === 'refused') {
      throw this.refuse(job, permit, 'quarantined');
    }
    // A leader of the previous version does not report other suspects. If it had a choice, it picked a process without
    // them.
    const isIsolated = permit.kind === 'go' && !mayShareProcess;
    const isAlone = 'isAlone' in permit ? permit.isAlone === true : isIsolated;
    this.permits.set(job, { permits: [permit], isAlone, isPartTrial: false });
    if (permit.kind !== 'there') {
      return permit;
    }
    const { directory } = this.options;
    const upstream = directory
      .listLive(job.call.service.name, job.call.regions)
      .find((other) => getProcessId(other) === permit.processId);
    // This host's list may not contain that process yet, or no longer. Then the picked upstream is the best remaining
    // choice.
    return upstream === undefined ? { kind: 'go' } : { kind: 'there', upstream };
  }

  /** Records the outcome of a run. */
  public recordOutcome(job: routedJobs.RoutedJob, run: GuardedRun, outcome: RunOutcome): void {
    const permitted = this.permits.get(job);
    if (outcome === 'not-run' && permitted !== undefined) {
      this.returnPermits(job, permitted.permits);
    }
    this.permits.delete(job);
    if (outcome === 'lost') {
      this.startExitCheck(job, run, permitted?.isAlone ?? false);
      return;
    }
    if (outcome === 'served') {
      this.parts.recordAnswer(createSubject(job));
    } else {
      this.parts.recordInconclusive(createSubject(job), getProcessId(run.known));
    }
    if (!this.isTracked(job)) {
      return;
    }
    const digest = job.getDigest();
    if (outcome === 'served') {
      this.ledger.clear(digest);
      this.options.suspects.report({ kind: 'served', digest });
    } else {
      this.reportInconclusive(digest, run);
    }
  }

  /** Records that an answer goes on: an answer that is written for some time is on none of the parts that crash. */
  public recordProgress(job: routedJobs.RoutedJob): void {
    if (this.ledger.hasParts && job.times.getAnswerMs() >= EARLY_CRASH_MS) {
      this.parts.recordAnswer(createSubject(job));
    }
  }

  /** Returns whether the ledger has an entry for a call; without any call in it, no digest is computed. */
  private isTracked(job: routedJobs.RoutedJob): boolean {
    return this.ledger.hasCalls && this.ledger.has(job.getDigest());
  }

  private ensureCallAdmitted(job: routedJobs.RoutedJob): void {
    const refusal = this.ledger.hasCalls
      ? this.ledger.findQuarantineRefusal(job.getDigest(), this.options.clock.now())
      : undefined;
    if (refusal !== undefined) {
      throw this.refuse(job, refusal, 'quarantined');
    }
  }

  private ensurePartsAdmitted(job: routedJobs.RoutedJob): void {
    const refusal = this.parts.findRefusal(createSubject(job));
    if (refusal !== undefined) {
      throw this.refuse(job, refusal, 'partQuarantined');
    }
  }

  /** Returns permits that were not used. */
  private returnPermits(job: routedJobs.RoutedJob, permits: readonly routing.Permit[]): void {
    this.permits.delete(job);
    permits.forEach((permit) => this.options.suspects.keepUnusedPermit(permit));
  }

  private reportInconclusive(digest: string, { known }: GuardedRun): void {
    const processId = getProcessId(known);
    this.ledger.recordInconclusiveRun(digest, processId);
    this.options.suspects.report({ kind: 'over', digest, processId });
  }

  private startExitCheck(job: routedJobs.RoutedJob, run: GuardedRun, wasAlone: boolean): void {
    const digest = job.getDigest();
    const check = this.checkExit(job, run, wasAlone)
      .catch((err: unknown) => {
        const { upstreamId } = run.known;
        const description = schemas.describeError(err);
        this.options.log.error({
          ...description,
          event: 'task-failed',
          task: 'check-exit',
          peer: upstreamId,
        });
        // Without a check, nothing is known of the process.
        schemas.runInBackground(async () => this.recordOutcome(job, run, 'over'), {
          log: this.options.log,
          step: 'record-outcome',
          peer: upstreamId,
        });
      })
      .finally(() => {
        if (this.exitChecks.get(digest) === check) {
          this.exitChecks.delete(digest);
        }
      });
    this.exitChecks.set(digest, check);
  }

  /** Checks whether the upstream's process exited during the run, and reports it. */
  private async checkExit(
    job: routedJobs.RoutedJob,
    run: GuardedRun,
    wasAlone: boolean,
  ): Promise<void> {
    const { clock, directory, exitDetector, suspects, log } = this.options;
    const { answerStartedAt, known } = run;
    const { upstreamId } = known;
    const isEarly = answerStartedAt === undefined || clock.now() - answerStartedAt < EARLY_CRASH_MS;
    // An upstream that leaves as announced exits even if calls still run on it, so its exit is no evidence against them.
    const isAnnounced = directory.isLeaving(upstreamId);
    const digest = job.getDigest();
    const request = job.call.facts.requestId;
    log.info({
      decision: 'run-lost',
      request,
      digest,
      upstream: upstreamId,
      route: job.call.route.name,
      team: job.call.team?.name,
      parts: promptParts.listSharedParts(job.call).map(({ partId }) => partId),
      isAnnounced,
      isEarly,
    });
    if (isAnnounced || !(await exitDetector.hasExited(known))) {
      this.recordOutcome(job, run, 'over');
      return;
    }
    log.info({ event: 'process-ended', upstream: upstreamId, digest });
    directory.noteUnreachable(upstreamId);
    directory.noteEnded(upstreamId);
    const processId = getProcessId(known);
    // The leader that granted the permit may have been replaced, and the next leader has no record of the run.
    const processEnd = { processId, isEarly, wasAlone };
    this.ledger.recordProcessEnd(digest, processEnd, clock.now());
    if (isEarly) {
      this.parts.recordEnd(createSubject(job), processId);
    } else {
      this.parts.recordAnswer(createSubject(job));
    }
    const recorded = this.ledger.find(digest)?.ends.find((item) => item.processId === processId);
    suspects.report({ kind: 'ended', digest, end: recorded ?? processEnd });
  }

  /**
   * Requests a permit from the leader, which has the suspects of all hosts. Without an answer, decides by this host's
   * ledger, which keeps apart only the suspects that this host sends.
   */
  private async requestPermit(
    digest: string,
    processId: string,
    mayShare: boolean,
  ): Promise<routing.Permit> {
    const { clock, suspects, log } = this.options;
    const answer = await suspects.requestPermit({ digest, processId, mayShare });
    if (answer !== undefined) {
      return answer;
    }
    const permit = this.ledger.permitWithoutLeader(digest, processId, mayShare, clock.now());
    if (permit.kind !== 'refused') {
      suspects.dropPermitRequest(digest);
    }
    log.info({ decision: 'suspect-alone', digest, upstream: processId, ...permit });
    return permit;
  }

  private refuse(
    job: routedJobs.RoutedJob,
    { retryMs }: routing.PermitRefusal,
    id: 'partQuarantined' | 'quarantined',
  ): schemas.Refusal {
    const { log, metrics } = this.options;
    metrics.count('refusals', { reason: id });
    log.info({
      decision: 'refuse',
      request: job.call.facts.requestId,
      digest: job.getDigest(),
      parts: id === 'partQuarantined' ? this.parts.listBarred(createSubject(job)) : undefined,
      reason: id,
      retryMs: Math.round(retryMs),
      step: 'quarantine',
    });
    return new schemas.Refusal({
      id,
      step: 'quarantine',
      status: 503,
      outcome: 'not-run',
      retryAfterS: retryMs / 1_000,
    });
  }
}

function getProcessId({ listed, upstreamId }: upstreamDirectories.KnownUpstream): string {
  return schemas.getProcessId({ upstreamId, bornMs: listed.bornMs });
}

function createSubject({ call, getDigest }: routedJobs.RoutedJob): requests.RunSubject {
  return {
    requestId: call.facts.requestId,
    getDigest,
    listPartIds: () => promptParts.listPartIds(call),
  };
}
