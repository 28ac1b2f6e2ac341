import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import type * as callAdmissions from './call-admission.js';
import * as migrationManagers from './migration-manager.js';
import type * as crashGuards from './crash-guard.js';
import * as callPatience from './call-patience.js';
import * as generationCalls from './generation-calls.js';
import type * as pickedUpstreams from './picked-upstream.js';
import type * as ports from './ports.js';
import * as streamPaceMeters from './stream-pace-meter.js';
import * as engineRestarts from './abort-on-engine-restart.js';
import type * as routedAnswers from './routed-answer.js';
import * as routedJobs from './routed-job.js';
import * as runBackups from './run-backup.js';
import * as runEndReports from './run-end-report.js';
import type * as slotMessages from './slot-messages.js';
import * as silentRunStops from './silent-run-stop.js';
import * as slotResults from './slot-result.js';
import * as unknownEndErrors from './unknown-end-error.js';
import type * as upstreamDirectories from './upstream-directory.js';
import * as upstreamPickers from './upstream-picker.js';

/**
 * Maximum size of an answer that is buffered before any of it is sent to the caller, in bytes: it can still be replaced
 * if the upstream breaks off. Longer answers are streamed, so that they don't accumulate in memory.
 */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Maximum number of times that one generation is resumed; engines are reclaimed one after the other. */
const MAX_RESUMES = 6;

/**
 * Maximum time for which a run that broke off waits for room at the upstream that can resume it, in milliseconds. Its
 * answer has begun, so it can't be refused.
 */
const RESUME_WAIT_MS = 1_500;

/**
 * Time before its limit from which on the end of an answer may be that of a run which its upstream has stopped there, in
 * milliseconds: the limit that is sent is rounded down, and timers may be early.
 */
const LIMIT_MARGIN_MS = 5;

/** Lowest status that is not a success. */
const FIRST_NON_SUCCESS_STATUS = 300;

/** Lowest status that reports a failure of the upstream. */
export const FIRST_FAILURE_STATUS = 500;

/** Options of `RoutedAttempts`. */
export interface RoutedAttemptsOptions extends migrationManagers.MigrationManagerOptions {
  readonly admission: callAdmissions.CallAdmission;
  readonly wire: ports.CallWire;
  readonly client: requests.UpstreamClient;
  readonly gate: requests.UpstreamGate;
  readonly guard: crashGuards.CrashGuard;
  readonly availabilityZone: string;
  /** Returns the time after which a leaving upstream must get no more requests, in milliseconds. */
  readonly getLeavingBoundMs: () => number;
  readonly metrics: telemetry.MetricSink;
}

/** One run of a call at one upstream, with the load accounted for it there and at its backup engine. */
interface Attempt {
  readonly picked: pickedUpstreams.PickedUpstream;
  readonly run: migrationManagers.MigratableRun;
  /** Releases the run's accounted load and its slot; only the first call has an effect. */
  readonly release: (hasFailed: boolean, result: slotMessages.SlotResult) => void;
  /** Takes back that the call was sent, for one that was withheld. */
  readonly takeBack: () => void;
  /** Load that the upstream stated with its answer. */
  load: ports.AnswerFacts['load'];
  /** Whether its answer began; `undefined` while it has not, or if its end shows nothing about the upstream. */
  hasAnswered: boolean | undefined;
  readonly sentAt: number;
  /** Time at which its answer began. */
  answerStartedAt: number | undefined;
  /** Number of its events that have arrived. */
  events: number;
  /** Whether its stream was ended since its engine had been silent. */
  isSilent: boolean;
}

/** Where a run goes on, and the copy from which it does; without one it runs again. */
interface ResumeChoice {
  readonly picked: pickedUpstreams.PickedUpstream;
  readonly backup: runBackups.KvCacheBackup | undefined;
}

type Streamed = routedAnswers.StreamedAnswer;

/** Runs the attempts of routed calls: each sends a call once, and resumes it elsewhere if its engine breaks off. */
export class RoutedAttempts {
  private readonly migrations: migrationManagers.MigrationManager;

  public constructor(private readonly options: RoutedAttemptsOptions) {
    this.migrations = new migrationManagers.MigrationManager(options);
  }

  /** Makes one attempt at an upstream. */
  public async attempt(
    job: routedJobs.RoutedJob,
    picked: pickedUpstreams.PickedUpstream,
  ): Promise<routedAnswers.RoutedAnswer> {
    const permit = await this.admit(job, picked);
    const attempt = this.begin(job, picked);
    this.logChoice(job, attempt);
    try {
      return await this.receive(job, attempt, await this.send(job, attempt, permit, undefined));
    } catch (err) {
      const result = slotResults.getFailureResult(err, job.abort.signal);
      const isWithheld = result === 'unused' && !job.abort.signal.aborted;
      attempt.hasAnswered = slotResults.getFailureAnswered(attempt, err, job.abort.signal);
      attempt.release(!isWithheld, result);
      this.recordEnd(job, attempt, err);
      if (isWithheld) {
        attempt.takeBack();
      }
      throw err;
    }
  }

  /** Releases an upstream that was picked for a call and gets nothing. */
  public discard(job: routedJobs.RoutedJob, picked: pickedUpstreams.PickedUpstream): void {
    const { guard, picker } = this.options;
    picker.release(job.call, picked, upstreamPickers.UNSENT);
    guard.recordOutcome(job, { known: picked.known, answerStartedAt: undefined }, 'not-run');
  }

  /** Records what a failure shows about its upstream. */
  public noteFailure(
    job: routedJobs.RoutedJob,
    { known, upstreamId }: pickedUpstreams.PickedUpstream,
    failure: requests.UpstreamError,
  ): void {
    const { clock, directory, gate, log, metrics } = this.options;
    metrics.count('attempts', { service: job.call.service.name, result: failure.kind });
    // One that has asked for rest is full, and gets no calls until its rest ends. The loss of this host's path shows
    // nothing about the upstream.
    const isPathFailure = failure.cause() instanceof paths.PathBlockedError;
    if (gate.isOpen(known) && !isPathFailure) {
      known.load.recordFailure(clock.now());
    }
    if (failure.kind === 'unreachable') {
      directory.noteUnreachable(upstreamId);
      if (failure.isConnectionRefused()) {
        directory.noteEnded(upstreamId);
      }
    } else if (failure.kind === 'gone') {
      directory.noteGone(upstreamId);
    }
    log.info({
      decision: 'upstream-failed',
      request: job.call.facts.requestId,
      upstream: upstreamId,
      reason: failure.kind,
      leftMs: Math.round(job.call.endsAt - clock.now()),
      err: failure.message,
    });
  }

  /** Permits the send of a call to the upstream picked for it; otherwise another one is picked. */
  private async admit(
    job: routedJobs.RoutedJob,
    picked: pickedUpstreams.PickedUpstream,
  ): Promise<requests.SendPermit> {
    const { gate, guard, log } = this.options;
    try {
      const permit = await gate.admit(picked.known);
      guard.confirm(job);
      return permit;
    } catch (err) {
      this.discard(job, picked);
      const { requestId } = job.call.facts;
      log.info({ decision: 'send-withheld', request: requestId, upstream: picked.upstreamId });
      throw err;
    }
  }

  private begin(job: routedJobs.RoutedJob, picked: pickedUpstreams.PickedUpstream): Attempt {
    const { clock, picker } = this.options;
    const { call } = job;
    const takeBack = routedJobs.recordSend(job, picked.upstreamId);
    const leave = picked.known.load.trackCall(generationCalls.getExpectedTokens(call));
    const run = this.createRun(call, picked);
    const sentAt = clock.now();
    const { trial } = picked.known.load;
    trial.recordSend(run, sentAt);
    const attempt: Attempt = {
      picked,
      run,
      load: undefined,
      hasAnswered: undefined,
      sentAt,
      answerStartedAt: undefined,
      events: 0,
      isSilent: false,
      takeBack,
      release: (hasFailed, result) => {
        if (run.isOpen) {
          run.isOpen = false;
          run.hasFailed = hasFailed;
          leave();
          const { hasAnswered, load } = attempt;
          trial.recordEnd(run, hasAnswered, clock.now());
          const tookMs = clock.now() - sentAt;
          picker.release(call, picked, { hasFailed, result, tookMs, load, hasAnswered });
        }
      },
    };
    return attempt;
  }

  private createRun(
    { service }: callAdmissions.AdmittedCall,
    { backupEngine, known }: pickedUpstreams.PickedUpstream,
  ): migrationManagers.MigratableRun {
    const kept = backupEngine && {
      at: backupEngine,
      reference: { kind: 'kept', backupAddress: backupEngine.listed.address } as const,
    };
    const copyTtlMs = service.engine?.copyTtlMs;
    return {
      engine: known,
      sentAt: this.options.clock.now(),
      backup: new runBackups.RunBackup({ ...this.options, copyTtlMs }, kept),
      isOpen: true,
      hasFailed: false,
      hasRetryGranted: false,
      finalBackup: undefined,
    };
  }

  private send(
    job: routedJobs.RoutedJob,
    attempt: Attempt,
    permit: requests.SendPermit,
    resume: ports.ResumeFacts | undefined,
  ): Promise<requests.UpstreamAnswer> {
    const { client, clock, directory, wire } = this.options;
    const { call, body, abort } = job;
    if (!directory.isPlacementAllowed(attempt.picked.known, call.regions)) {
      return Promise.reject(
        new requests.UpstreamError('unreachable', 'send', attempt.picked.upstreamId),
      );
    }
    const headers = wire.createHeaders(call.facts, {
      upstreamId: attempt.picked.upstreamId,
      team: call.team?.name,
      remainingMs: call.endsAt - clock.now(),
      priority: generationCalls.getEnginePriority(call, attempt.picked.isFallback),
      backupAddress: attempt.picked.backupEngine?.listed.address,
      resume,
    });
    // A stream gets a connection of its own: a kept-alive connection may be dead, and a silent stream would not show
    // it.
    const isRepeatable = isIdempotent(call) && !call.route.isStream;
    const { method, path } = call;
    return client.open(
      attempt.picked.known,
      {
        method,
        path,
        headers,
        body,
        isRepeatable,
        permit,
        place: directory.createPlaceRule(call.regions),
        patienceMs: callPatience.getPatienceMs(call),
        signal: abort.signal,
      },
      wire.createHeadClassifier(call.facts),
    );
  }

  private async receive(
    job: routedJobs.RoutedJob,
    attempt: Attempt,
    answer: requests.UpstreamAnswer,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { clock, metrics, wire } = this.options;
    const { known, upstreamId } = attempt.picked;
    job.held.beginAnswer(answer.body);
    const { load } = wire.readAnswer(answer);
    recordBegun(attempt);
    if (load !== undefined) {
      known.load.applyReport(load, clock.now());
    }
    attempt.load = load;
    const isFailure = answer.status >= FIRST_FAILURE_STATUS;
    metrics.count('attempts', {
      service: job.call.service.name,
      result: isFailure ? 'failure' : 'answer',
    });
    if (isFailure) {
      known.load.recordFailure(clock.now());
    }
    if (job.call.route.isStream && answer.status < FIRST_NON_SUCCESS_STATUS) {
      return this.createStreamed(job, attempt, answer, Buffer.alloc(0));
    }
    const read = await requests.readAnswer(answer, MAX_BUFFERED_BYTES, upstreamId, (bytes) =>
      job.held.addAnswer(bytes),
    );
    if (!read.isWhole) {
      return this.createStreamed(job, attempt, answer, read.bytes);
    }
    this.checkLimit(job, attempt, answer);
    const isServed = answer.status < FIRST_NON_SUCCESS_STATUS;
    attempt.release(false, slotResults.getAnswerResult(isServed, isFailure));
    if (isServed && !generationCalls.isGeneration(job.call)) {
      const now = clock.now();
      known.load.serviceTime.recordAnswer(now - attempt.sentAt, load, now);
    }
    this.options.guard.recordOutcome(job, createGuardedRun(attempt), isServed ? 'served' : 'over');
    return { kind: 'whole', head: answer, bytes: read.bytes };
  }

  private createStreamed(
    job: routedJobs.RoutedJob,
    attempt: Attempt,
    answer: requests.UpstreamAnswer,
    bytes: Buffer,
  ): Streamed {
    attempt.answerStartedAt = this.options.clock.now();
    const { log } = this.options;
    const peer = attempt.picked.upstreamId;
    if (generationCalls.wantsBackup(job.call)) {
      const migrate = () => this.migrations.run(job, attempt.run);
      schemas.runInBackground(migrate, { log, step: 'migrate', peer });
    }
    const watchEngine = () =>
      engineRestarts.abortOnEngineRestart(this.options, attempt.run, answer);
    schemas.runInBackground(watchEngine, { log, step: 'watch-engine', peer });
    const paceMeter = this.createPaceMeter(job, attempt, answer);
    return {
      kind: 'coming',
      answer,
      upstreamId: attempt.picked.upstreamId,
      bytes,
      paceMeter,
      recordEvents: (count) => {
        attempt.events += count;
        attempt.run.backup.recordEvents();
      },
      release: (hasFailed) => {
        // The leader knows the run until it is released.
        paceMeter?.end();
        this.endStreamed(job, attempt, answer, hasFailed);
      },
      confirmEnd: async () => {
        this.checkLimit(job, attempt, answer);
        await confirmEnd(attempt, answer);
      },
      recordSilence: () => {
        attempt.isSilent = true;
      },
      canResume: () => attempt.run.backup.findConfirmed() !== undefined,
      resume: (lastEventId) => this.resume(job, attempt, lastEventId),
    };
  }

  /** Throws if an answer whose end is not marked has ended at the time limit that was sent with the call. */
  private checkLimit(
    { call }: routedJobs.RoutedJob,
    { picked }: Attempt,
    answer: requests.UpstreamAnswer,
  ): void {
    const isOver = this.options.clock.now() >= call.endsAt - LIMIT_MARGIN_MS;
    if (isOver && !requests.hasMarkedEnd(answer)) {
      throw new requests.UpstreamError('lost', 'time-limit', picked.upstreamId);
    }
  }

  /** Creates the meter of a generation placed by the leader on an engine that states its slowdown. */
  private createPaceMeter(
    { call }: routedJobs.RoutedJob,
    { picked }: Attempt,
    answer: requests.UpstreamAnswer,
  ): streamPaceMeters.StreamPaceMeter | undefined {
    const { clock, picker, wire } = this.options;
    const isStated = wire.readAnswer(answer).load?.slowdown !== undefined;
    if (!isStated || picked.isFallback || !generationCalls.isGeneration(call)) {
      return undefined;
    }
    return new streamPaceMeters.StreamPaceMeter(clock, (pace) =>
      picker.reportPace(call, picked.upstreamId, pace),
    );
  }

  /**
   * Resumes a generation elsewhere: from a copy of its run that is known to exist, or by another run if the route allows
   * one.
   */
  private async resume(
    job: routedJobs.RoutedJob,
    previous: Attempt,
    lastEventId: string | undefined,
  ): Promise<Streamed | undefined> {
    const { log, metrics } = this.options;
    await previous.run.finalBackup;
    await this.stopSilentRun(job, previous);
    const choice = await this.chooseNext(job, previous);
    const permit = choice && (await this.admitResume(job, choice.picked));
    if (choice === undefined || permit === undefined) {
      return undefined;
    }
    const { backup, picked } = choice;
    // While it waited for the permit, the upstream may have left for too long, or the copy may have been lost.
    if (!this.mayResumeAt(picked.known) || !this.isAllowed(job, previous, backup)) {
      this.logMissingCopy(job, previous);
      this.options.picker.release(job.call, picked, { ...upstreamPickers.UNSENT, hasFailed: true });
      return undefined;
    }
    job.resumes += 1;
    const attempt = this.begin(job, picked);
    const { upstreamId } = picked;
    const details = {
      request: job.call.facts.requestId,
      upstream: upstreamId,
      former: previous.picked.upstreamId,
      formerEvents: previous.events,
      copy: backup?.reference.kind,
    };
    const after = getProgress(previous);
    log.info({
      decision: 'resume',
      ...details,
      formerMs: Math.round(this.options.clock.now() - previous.sentAt),
      lastEventId,
      copyAt: picked.backupEngine?.upstreamId,
    });
    try {
      const resume = { copy: backup?.reference, lastEventId };
      const answer = await this.send(job, attempt, permit, resume);
      if (answer.status >= FIRST_NON_SUCCESS_STATUS) {
        answer.body.destroy();
        throw new requests.UpstreamError('lost', 'resume', upstreamId);
      }
      recordBegun(attempt);
      job.held.beginAnswer(answer.body);
      metrics.count('resumes', { result: 'resumed', after });
      return this.createStreamed(job, attempt, answer, Buffer.alloc(0));
    } catch (err) {
      attempt.hasAnswered = slotResults.getFailureAnswered(attempt, err, job.abort.signal);
      attempt.release(true, slotResults.getFailureResult(err, job.abort.signal));
      this.recordEnd(job, attempt, err);
      metrics.count('resumes', { result: 'failed', after });
      log.info({ decision: 'resume-failed', ...details, err: schemas.toError(err).message });
      return undefined;
    }
  }

  /** Stops a run before it goes on from its copy, where its engine may still work on it. */
  private async stopSilentRun({ call }: routedJobs.RoutedJob, previous: Attempt): Promise<void> {
    const copy = this.findUsableBackup(previous);
    if (previous.isSilent && copy !== undefined) {
      await silentRunStops.stopSilentRun(this.options, call.facts.requestId, previous.run, copy);
    }
  }

  /** Reports to the crash guard how a failed attempt ended. */
  private recordEnd(job: routedJobs.RoutedJob, attempt: Attempt, err: unknown): void {
    const { kind } = requests.createUpstreamError(err, 'attempt', attempt.picked.upstreamId);
    const failed = job.abort.signal.aborted ? 'over' : 'lost';
    const end = kind === 'lost' ? failed : 'not-run';
    this.options.guard.recordOutcome(job, createGuardedRun(attempt), end);
  }

  /**
   * Ends a run whose answer was streamed. A run stopped for a migration or because its caller has disconnected shows
   * nothing about the call.
   */
  private endStreamed(
    job: routedJobs.RoutedJob,
    attempt: Attempt,
    answer: requests.UpstreamAnswer,
    hasFailed: boolean,
  ): void {
    const isStopOrdered = attempt.run.finalBackup !== undefined;
    const isStoppedHere = isStopOrdered || job.abort.signal.aborted;
    const { requestId } = job.call.facts;
    const { upstreamId } = attempt.picked;
    const { events } = attempt;
    runEndReports.reportRunEnd(this.options, {
      requestId,
      upstreamId,
      answer,
      events,
      hasFailed,
      isStopOrdered,
    });
    const failed = isStoppedHere ? 'over' : 'lost';
    attempt.hasAnswered = hasFailed ? undefined : true;
    attempt.release(hasFailed, slotResults.getStreamResult(hasFailed, isStoppedHere));
    this.options.guard.recordOutcome(job, createGuardedRun(attempt), hasFailed ? failed : 'served');
  }

  /**
   * Permits a run to resume at an upstream: the crash guard, since a call that crashed one process would crash the next,
   * and the gate of the upstream.
   */
  private async admitResume(
    job: routedJobs.RoutedJob,
    next: pickedUpstreams.PickedUpstream,
  ): Promise<requests.SendPermit | undefined> {
    const { gate, guard, log, picker } = this.options;
    try {
      await guard.admit(job);
      await guard.permit(job, next.known, () => true);
      return await gate.admitResume(next.known, {
        arrivedAt: job.call.arrivedAt,
        patienceMs: RESUME_WAIT_MS,
        signal: job.abort.signal,
      });
    } catch (err) {
      picker.release(job.call, next, { ...upstreamPickers.UNSENT, hasFailed: true });
      const { message } = schemas.toError(err);
      const request = job.call.facts.requestId;
      const reason = err instanceof requests.UpstreamError ? 'rate-limit' : 'quarantine';
      log.info({ decision: 'resume-refused', request, reason, err: message });
      return undefined;
    }
  }

  /** Chooses where to resume: at the engine with the copy, or at any engine if the route allows another run. */
  private async chooseNext(
    job: routedJobs.RoutedJob,
    previous: Attempt,
  ): Promise<ResumeChoice | undefined> {
    const { findBudget, log, metrics, picker } = this.options;
    const { abort, call } = job;
    const { run } = previous;
    const backup = this.findUsableBackup(previous);
    if (job.resumes >= MAX_RESUMES || abort.signal.aborted) {
      return undefined;
    }
    if (backup === undefined && !this.mayRunAgain(job)) {
      this.logMissingCopy(job, previous);
      return undefined;
    }
    if (!run.hasRetryGranted && !(await findBudget(call.service.name).take())) {
      const { requestId } = call.facts;
      metrics.count('resumes', { result: 'no-retry', after: getProgress(previous) });
      log.warn({ decision: 'resume-refused', request: requestId, reason: 'retry-budget' });
      return undefined;
    }
    const picked = await (backup === undefined
      ? picker.pick(call, job.tried, abort.signal)
      : picker.pickAt(call, backup.at));
    return { picked, backup };
  }

  /** Returns the copy from which a run can go on now, if any. */
  private findUsableBackup({ run }: Attempt): runBackups.KvCacheBackup | undefined {
    const backup = run.backup.findConfirmed();
    return backup !== undefined && this.mayResumeAt(backup.at) ? backup : undefined;
  }

  /** Returns whether a run may still go on from its copy, or without one if the route allows another run. */
  private isAllowed(
    job: routedJobs.RoutedJob,
    previous: Attempt,
    backup: runBackups.KvCacheBackup | undefined,
  ): boolean {
    return backup === undefined
      ? this.mayRunAgain(job)
      : this.findUsableBackup(previous) === backup;
  }

  private logMissingCopy({ call }: routedJobs.RoutedJob, { events, picked, run }: Attempt): void {
    const asked = run.backup.find();
    if (asked === undefined || run.backup.findConfirmed() !== undefined) {
      return;
    }
    this.options.log.info({
      decision: 'resume-refused',
      request: call.facts.requestId,
      reason: 'no-copy',
      upstream: asked.at.upstreamId,
      former: picked.upstreamId,
      formerEvents: events,
    });
  }

  private mayRunAgain({ call, tried }: routedJobs.RoutedJob): boolean {
    return this.options.admission.isRepeatable(call) && tried.size < call.route.maxRuns;
  }

  /** Returns whether a run may go on at an upstream; one that leaves takes it until the bound. */
  private mayResumeAt(known: upstreamDirectories.KnownUpstream): boolean {
    const { directory, getLeavingBoundMs, log } = this.options;
    const leavingMs = directory.getListedLeavingMs(known.upstreamId);
    if (leavingMs >= getLeavingBoundMs()) {
      const { upstreamId: upstream } = known;
      log.info({ decision: 'resume-refused', reason: 'leaving', upstream, leavingMs });
      return false;
    }
    return directory.isPlacementAllowed(known);
  }

  private logChoice(job: routedJobs.RoutedJob, { picked }: Attempt): void {
    const { availabilityZone, clock, directory, log } = this.options;
    const { call } = job;
    log.info({
      decision: 'route',
      request: call.facts.requestId,
      route: call.route.name,
      team: call.team?.name,
      availabilityZone,
      upstream: picked.upstreamId,
      upstreamZone: picked.known.listed.availabilityZone,
      copyAt: picked.backupEngine?.upstreamId,
      copyZone: picked.backupEngine?.listed.availabilityZone,
      waitedMs: picked.waitedMs,
      share: Number(picked.share.toFixed(2)),
      expectedMs: picked.expectedMs && Math.round(picked.expectedMs),
      slowdown: picked.slowdown && Number(picked.slowdown.toFixed(2)),
      attempt: job.tried.size,
      leftMs: Math.round(call.endsAt - clock.now()),
      listAgeMs: Math.round(directory.getAgeMs()),
    });
  }
}

function recordBegun(attempt: Attempt): void {
  attempt.hasAnswered = true;
  attempt.picked.known.load.trial.recordAnswer();
}

/**
 * Throws if the end of an answer may be that of a run which this host has stopped: without a mark in the answer, only what
 * came of the order tells the two apart.
 */
async function confirmEnd(
  { picked, run }: Attempt,
  answer: requests.UpstreamAnswer,
): Promise<void> {
  if (run.finalBackup === undefined || requests.hasMarkedEnd(answer)) {
    return;
  }
  const stop = await run.finalBackup;
  if (stop === 'stopped') {
    throw new requests.UpstreamError('lost', 'stop-run', picked.upstreamId);
  }
  if (stop === 'unknown') {
    throw new unknownEndErrors.UnknownEndError(picked.upstreamId);
  }
}

/** Returns whether any event of a run has arrived, for metrics. */
function getProgress({ events }: Attempt): string {
  return events > 0 ? 'events' : 'nothing';
}

function createGuardedRun({ answerStartedAt, picked }: Attempt): crashGuards.GuardedRun {
  return { known: picked.known, answerStartedAt };
}

function isIdempotent({ route }: callAdmissions.AdmittedCall): boolean {
  return route.repeatability === 'idempotent';
}
