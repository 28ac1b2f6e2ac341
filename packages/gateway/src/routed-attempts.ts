import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import type * as callAdmissions from './call-admission.js';
import * as copyKeepers from './migration-manager.js';
import type * as crashGuards from './crash-guard.js';
import * as generationCalls from './generation-calls.js';
import type * as ports from './ports.js';
import * as rebornWatches from './abort-on-engine-restart.js';
import type * as routedAnswers from './routed-answer.js';
import type * as routedJobs from './routed-job.js';
import type * as upstreamPickers from './upstream-picker.js';

/**
 * The longest answer that is read whole before the caller gets any of it, in bytes; it can still be replaced
 * when the upstream breaks off. Longer ones are passed on as they come, so that they don't pile up in memory.
 */
const READ_WHOLE_BYTES = 64 * 1024;

/** How often one generation goes on at another engine at most; engines are reclaimed one after the other. */
const MAX_RESUMES = 6;

/** The first status that is no success. */
const FIRST_NO_SUCCESS = 300;

/** The status by which an upstream says that it failed. */
export const FIRST_FAILURE_STATUS = 500;

/** What attempts need. */
export interface RoutedAttemptsOptions extends copyKeepers.MigrationManagerOptions {
  readonly wire: ports.CallWire;
  readonly client: requests.UpstreamClient;
  readonly guard: crashGuards.CrashGuard;
  readonly availabilityZone: string;
  readonly metrics: telemetry.MetricSink;
}

/** One run of a call at one upstream, with what it holds there and at the engine that keeps its copy. */
interface Leg {
  readonly picked: upstreamPickers.PickedUpstream;
  readonly run: copyKeepers.MigratableRun;
  /** Takes it off every account; only the first call counts. */
  readonly release: (hasFailed: boolean) => void;
  /** When its answer began. */
  begunAt: number | undefined;
}

type Coming = routedAnswers.StreamedAnswer;

/** The attempts of routed calls: each sends a call once, and goes on elsewhere when its engine breaks off. */
export class RoutedAttempts {
  private readonly keeper: copyKeepers.MigrationManager;

  public constructor(private readonly options: RoutedAttemptsOptions) {
    this.keeper = new copyKeepers.MigrationManager(options);
  }

  /** One attempt at an upstream. */
  public async attempt(
    job: routedJobs.RoutedJob,
    picked: upstreamPickers.PickedUpstream,
  ): Promise<routedAnswers.RoutedAnswer> {
    const leg = this.begin(job, picked);
    this.noteChoice(job, leg);
    try {
      return await this.receive(job, leg, await this.send(job, leg, undefined));
    } catch (err) {
      leg.release(true);
      this.noteEnd(job, leg, err);
      return this.recover(job, leg, err);
    }
  }

  /** Notes what a failure shows of its upstream. */
  public noteFailure(
    job: routedJobs.RoutedJob,
    { known, upstreamId }: upstreamPickers.PickedUpstream,
    failure: requests.UpstreamError,
  ): void {
    const { clock, directory, log, metrics } = this.options;
    metrics.count('attempts', { service: job.call.service.name, result: failure.kind });
    known.load.recordFailure(clock.now());
    if (failure.kind === 'unreachable') {
      directory.noteUnreachable(upstreamId);
    } else if (failure.kind === 'gone') {
      directory.noteGone(upstreamId);
    }
    log.info({
      decision: 'upstream-failed',
      request: job.call.facts.requestId,
      upstream: upstreamId,
      reason: failure.kind,
      err: failure.message,
    });
  }

  private begin(job: routedJobs.RoutedJob, picked: upstreamPickers.PickedUpstream): Leg {
    const { picker } = this.options;
    const { call, tried } = job;
    tried.add(picked.upstreamId);
    job.upstreamId = picked.upstreamId;
    const leave = picked.known.load.trackCall(generationCalls.getExpectedTokens(call));
    const run = createRun(picked);
    const release = (hasFailed: boolean) => {
      if (run.isOpen) {
        run.isOpen = false;
        run.hasFailed = hasFailed;
        leave();
        picker.release(call, hasFailed);
      }
    };
    return { picked, run, release, begunAt: undefined };
  }

  private send(
    job: routedJobs.RoutedJob,
    leg: Leg,
    resume: ports.ResumeFacts | undefined,
  ): Promise<requests.UpstreamAnswer> {
    const { client, clock, directory, wire } = this.options;
    const { call, body, abort } = job;
    if (!directory.isPlacementAllowed(leg.picked.known, call.regions)) {
      return Promise.reject(
        new requests.UpstreamError('unreachable', 'send', leg.picked.upstreamId),
      );
    }
    const headers = wire.createHeaders(call.facts, {
      upstreamId: leg.picked.upstreamId,
      team: call.team?.name,
      remainingMs: call.endsAt - clock.now(),
      priority: generationCalls.getEnginePriority(call, leg.picked.isFallback),
      backupAddress: leg.picked.backupEngine?.listed.address,
      resume,
    });
    // A stream goes out on a connection of its own: on a kept one that is silently dead nothing would show it.
    const isRepeatable = isIdempotent(call) && !call.route.isStream;
    const { method, path } = call;
    return client.open(
      leg.picked.known,
      { method, path, headers, body, isRepeatable, signal: abort.signal },
      wire.judge(call.facts),
    );
  }

  private async receive(
    job: routedJobs.RoutedJob,
    leg: Leg,
    answer: requests.UpstreamAnswer,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { clock, metrics, wire } = this.options;
    const { known, upstreamId } = leg.picked;
    const { load } = wire.readAnswer(answer);
    if (load !== undefined) {
      known.load.applyReport(load, clock.now());
    }
    const isFailure = answer.status >= FIRST_FAILURE_STATUS;
    metrics.count('attempts', {
      service: job.call.service.name,
      result: isFailure ? 'failure' : 'answer',
    });
    if (isFailure) {
      known.load.recordFailure(clock.now());
    }
    if (job.call.route.isStream && answer.status < FIRST_NO_SUCCESS) {
      return this.createComing(job, leg, answer, Buffer.alloc(0));
    }
    const read = await requests.readAnswer(answer, READ_WHOLE_BYTES, upstreamId);
    if (!read.isWhole) {
      return this.createComing(job, leg, answer, read.bytes);
    }
    leg.release(false);
    const isServed = answer.status < FIRST_NO_SUCCESS;
    this.options.guard.recordOutcome(job, createGuarded(leg), isServed ? 'served' : 'over');
    return { kind: 'whole', head: answer, bytes: read.bytes };
  }

  private createComing(
    job: routedJobs.RoutedJob,
    leg: Leg,
    answer: requests.UpstreamAnswer,
    bytes: Buffer,
  ): Coming {
    leg.begunAt = this.options.clock.now();
    if (generationCalls.wantsBackup(job.call)) {
      void this.keeper.run(job, leg.run);
    }
    void rebornWatches.abortOnEngineRestart(this.options, leg.run, answer);
    return {
      kind: 'coming',
      answer,
      upstreamId: leg.picked.upstreamId,
      bytes,
      release: (hasFailed) => this.endComing(job, leg, hasFailed),
      canResume: () => leg.run.backup !== undefined,
      resume: (lastEventId) => this.resume(job, leg, lastEventId),
    };
  }

  /** A generation that was lost before its first event may have a copy all the same. */
  private async recover(
    job: routedJobs.RoutedJob,
    leg: Leg,
    err: unknown,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { upstreamId } = leg.picked;
    const failure = requests.createUpstreamError(err, 'attempt', upstreamId);
    const mayResume = failure.kind === 'lost' && leg.run.backup !== undefined;
    const resumed = mayResume ? await this.resume(job, leg, undefined) : undefined;
    if (resumed === undefined) {
      throw err;
    }
    return resumed;
  }

  /** Goes on elsewhere; an engine that holds no copy refuses, and nothing has run there. */
  private async resume(
    job: routedJobs.RoutedJob,
    former: Leg,
    lastEventId: string | undefined,
  ): Promise<Coming | undefined> {
    const { log, metrics } = this.options;
    await former.run.finalBackup;
    const next = await this.findNext(job, former);
    if (next === undefined || !(await this.mayGoOn(job, next))) {
      return undefined;
    }
    job.resumes += 1;
    const leg = this.begin(job, next);
    const { upstreamId } = next;
    const details = {
      request: job.call.facts.requestId,
      upstream: upstreamId,
      former: former.picked.upstreamId,
    };
    log.info({
      decision: 'resume',
      ...details,
      lastEventId,
      copyAt: next.backupEngine?.upstreamId,
    });
    try {
      const resume = { copy: former.run.backup?.reference, lastEventId };
      const answer = await this.send(job, leg, resume);
      if (answer.status >= FIRST_NO_SUCCESS) {
        answer.body.destroy();
        throw new requests.UpstreamError('lost', 'resume', upstreamId);
      }
      metrics.count('resumes', { result: 'resumed' });
      return this.createComing(job, leg, answer, Buffer.alloc(0));
    } catch (err) {
      leg.release(true);
      this.noteEnd(job, leg, err);
      metrics.count('resumes', { result: 'failed' });
      log.info({ decision: 'resume-failed', ...details, err: schemas.toError(err).message });
      return undefined;
    }
  }

  /** Notes what an attempt that failed shows of its call. */
  private noteEnd(job: routedJobs.RoutedJob, leg: Leg, err: unknown): void {
    const { kind } = requests.createUpstreamError(err, 'attempt', leg.picked.upstreamId);
    const failed = job.abort.signal.aborted ? 'over' : 'lost';
    const end = kind === 'lost' ? failed : 'not-run';
    this.options.guard.recordOutcome(job, createGuarded(leg), end);
  }

  /** Ends a run whose answer was coming; one that was stopped to be handed over, or whose caller left, shows nothing. */
  private endComing(job: routedJobs.RoutedJob, leg: Leg, hasFailed: boolean): void {
    leg.release(hasFailed);
    const isOurs = leg.run.finalBackup !== undefined || job.abort.signal.aborted;
    const failed = isOurs ? 'over' : 'lost';
    this.options.guard.recordOutcome(job, createGuarded(leg), hasFailed ? failed : 'served');
  }

  /** Whether a run that broke off may go on at an upstream: one that ends its upstreams would end the next one. */
  private async mayGoOn(
    job: routedJobs.RoutedJob,
    next: upstreamPickers.PickedUpstream,
  ): Promise<boolean> {
    const { guard, log, picker } = this.options;
    try {
      await guard.admit(job);
      await guard.permit(job, next.known, () => true);
      return true;
    } catch (err) {
      picker.release(job.call, true);
      const { message } = schemas.toError(err);
      const request = job.call.facts.requestId;
      log.info({ decision: 'resume-refused', request, reason: 'quarantine', err: message });
      return false;
    }
  }

  /** Where a run that broke off goes on: at its copy, or anew where the route allows another run. */
  private async findNext(
    job: routedJobs.RoutedJob,
    { run }: Leg,
  ): Promise<upstreamPickers.PickedUpstream | undefined> {
    const { directory, findBudget, log, metrics, picker } = this.options;
    const { abort, call } = job;
    const mayRunAgain = isIdempotent(call) && job.tried.size < call.route.maxRuns;
    const copy =
      run.backup !== undefined && directory.isPlacementAllowed(run.backup.at)
        ? run.backup
        : undefined;
    const canGoOn = copy !== undefined || mayRunAgain;
    if (!canGoOn || job.resumes >= MAX_RESUMES || abort.signal.aborted) {
      return undefined;
    }
    if (!run.hasRetryGranted && !(await findBudget(call.service.name).take())) {
      const { requestId } = call.facts;
      metrics.count('resumes', { result: 'no-retry' });
      log.warn({ decision: 'resume-refused', request: requestId, reason: 'retry-budget' });
      return undefined;
    }
    return copy === undefined ? picker.pick(call, job.tried) : picker.pickAt(call, copy.at);
  }

  private noteChoice(job: routedJobs.RoutedJob, { picked }: Leg): void {
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
      attempt: job.tried.size,
      leftMs: Math.round(call.endsAt - clock.now()),
      listAgeMs: Math.round(directory.getAgeMs()),
    });
  }
}

function createRun({
  backupEngine: copyAt,
  known,
}: upstreamPickers.PickedUpstream): copyKeepers.MigratableRun {
  const copy = copyAt && {
    at: copyAt,
    reference: { kind: 'kept', backupAddress: copyAt.listed.address } as const,
  };
  return {
    engine: known,
    backup: copy,
    isOpen: true,
    hasFailed: false,
    hasRetryGranted: false,
    finalBackup: undefined,
  };
}

function createGuarded({ begunAt, picked }: Leg): crashGuards.GuardedRun {
  return { known: picked.known, answerStartedAt: begunAt };
}

function isIdempotent({ route }: callAdmissions.AdmittedCall): boolean {
  return route.repeatability === 'idempotent';
}
