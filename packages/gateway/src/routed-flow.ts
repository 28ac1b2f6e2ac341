import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import * as routedAnswers from './routed-answer.js';
import * as routedAttempts from './routed-attempts.js';
import type * as routedJobs from './routed-job.js';
import * as streamTimes from './stream-times.js';
import type * as upstreamPickers from './upstream-picker.js';

/** What a caller whose time ran out before its call was sent is told to wait, in seconds. */
const RETRY_AFTER_S = 1;

/**
 * How often a suspect is moved on from where another one runs. After an upstream's end there may be as many suspects as
 * upstreams; one that found no place apart would be refused for want of room.
 */
const MAX_MOVES = 2;

/** What the flow needs. */
export interface RoutedFlowOptions extends routedAttempts.RoutedAttemptsOptions {
  readonly admission: callAdmissions.CallAdmission;
}

/** What is known of how a call ended. */
interface OutcomeDetails {
  readonly reason?: schemas.MessageId;
  readonly status?: number;
  readonly step?: string;
  readonly err?: string;
}

/** The reason for which an attempt ends when its caller has left. */
class CallerGone extends Error {
  public override readonly name = 'CallerGone';
}

/** The flow of a routed call: admit, choose, send, judge, deliver. */
export class RoutedFlow {
  private readonly attempts: routedAttempts.RoutedAttempts;

  public constructor(private readonly options: RoutedFlowOptions) {
    this.attempts = new routedAttempts.RoutedAttempts(options);
  }

  /** Serves one call. */
  public async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { clock, findBudget, metrics } = this.options;
    const { call, body } = await this.admit(req);
    const abort = new AbortController();
    const job: routedJobs.RoutedJob = {
      call,
      body,
      getDigest: createDigest(call, body),
      abort,
      tried: new Set(),
      upstreamId: undefined,
      resumes: 0,
      times: new streamTimes.StreamTimes(call.arrivedAt, call.route.name, clock, metrics),
    };
    findBudget(call.service.name).noteRequest();
    const timer = setTimeout(
      () => abort.abort(createTimeOver(job.upstreamId !== undefined)),
      Math.max(0, call.endsAt - clock.now()),
    );
    const onClose = () => abort.abort(new CallerGone('the caller has left'));
    res.once('close', onClose);
    if (res.destroyed) {
      onClose();
    }
    try {
      await this.serve(job, res);
    } finally {
      clearTimeout(timer);
      res.off('close', onClose);
    }
  }

  private async admit(
    req: http.IncomingMessage,
  ): Promise<{ call: callAdmissions.AdmittedCall; body: Buffer }> {
    const { admission, clock, log, metrics, wire } = this.options;
    try {
      const call = admission.admit(req);
      const bodyTimeoutMs = Math.max(1, call.endsAt - clock.now());
      return { call, body: await requests.readBody(req, { ...call.limits, bodyTimeoutMs }) };
    } catch (err) {
      const refusal = requests.toRefusal(err);
      metrics.count('refusals', { reason: refusal.id });
      log.info({
        decision: 'refuse',
        request: wire.findRequestId(req.headers),
        reason: refusal.id,
        status: refusal.options.status,
        step: refusal.options.step,
        version: admission.getVersion(),
      });
      throw refusal;
    }
  }

  private async serve(job: routedJobs.RoutedJob, res: http.ServerResponse): Promise<void> {
    const { isStream } = job.call.route;
    try {
      const answer = await this.obtain(job);
      const status = answer.kind === 'whole' ? answer.head.status : answer.answer.status;
      await routedAnswers.deliverAnswer(res, answer, isStream, () => this.noteEvents(job));
      this.noteOutcome(job, 'complete', { status });
    } catch (err) {
      if (job.abort.signal.reason instanceof CallerGone) {
        this.noteOutcome(job, 'caller-left', {});
        return;
      }
      if (res.headersSent) {
        this.noteOutcome(job, 'incomplete', { err: schemas.toError(err).message });
        res.destroy();
        return;
      }
      const refusal = requests.toRefusal(err);
      const { outcome, status, step } = refusal.options;
      this.noteOutcome(job, outcome, { reason: refusal.id, status, step, err: refusal.message });
      throw refusal;
    }
  }

  private noteEvents({ call, times }: routedJobs.RoutedJob): void {
    if (times.recordEvents()) {
      this.options.picker.noteRun(call, 'begun');
    }
  }

  private obtain(job: routedJobs.RoutedJob): Promise<routedAnswers.RoutedAnswer> {
    const { findBudget } = this.options;
    const { call } = job;
    return requests.runAttempts(
      {
        isRepeatable: call.route.repeatability === 'idempotent',
        maxRuns: call.route.maxRuns,
        budget: findBudget(call.service.name),
        signal: job.abort.signal,
      },
      {
        choose: () => this.choose(job),
        attempt: (picked) => this.attempts.attempt(job, picked),
        isFailure: (answer) =>
          answer.kind === 'whole' && answer.head.status >= routedAttempts.FIRST_FAILURE_STATUS,
        noteFailure: (picked, failure) => this.attempts.noteFailure(job, picked, failure),
      },
    );
  }

  /** Picks an upstream; a suspect doesn't go where another one runs, as long as there are others. */
  private async choose(job: routedJobs.RoutedJob): Promise<upstreamPickers.PickedUpstream> {
    const { guard, picker } = this.options;
    const { call } = job;
    await guard.admit(job);
    const avoided = new Set(job.tried);
    for (let moves = 0; ; moves += 1) {
      const picked = await picker.pick(call, avoided);
      const mayShare = () => moves >= MAX_MOVES || !this.hasOther(call, picked, avoided);
      const granted = await guard.permit(job, picked.known, mayShare).catch((err: unknown) => {
        picker.release(call, false);
        throw err;
      });
      if (granted.kind === 'go') {
        return picked;
      }
      picker.release(call, false);
      if (granted.kind === 'there') {
        return picker.pickAt(call, granted.upstream);
      }
      avoided.add(picked.upstreamId);
    }
  }

  private hasOther(
    { regions, service }: callAdmissions.AdmittedCall,
    picked: upstreamPickers.PickedUpstream,
    avoided: ReadonlySet<string>,
  ): boolean {
    return this.options.directory
      .listLive(service.name, regions)
      .some(({ upstreamId }) => upstreamId !== picked.upstreamId && !avoided.has(upstreamId));
  }

  private noteOutcome(job: routedJobs.RoutedJob, outcome: string, details: OutcomeDetails): void {
    const { clock, log, metrics } = this.options;
    const { arrivedAt, route } = job.call;
    const reason = details.reason ?? 'none';
    metrics.count('calls', { route: route.name, outcome, reason });
    metrics.time('callMs', clock.now() - arrivedAt, { route: route.name });
    log.info({
      decision: 'outcome',
      request: job.call.facts.requestId,
      upstream: job.upstreamId,
      outcome,
      resumes: job.resumes,
      tookMs: Math.round(clock.now() - arrivedAt),
      ...job.times.getLatency(),
      ...details,
    });
  }
}

/** Makes a call's digest when it is first asked for; most calls never need one. */
function createDigest(
  { method, path, route, team }: callAdmissions.AdmittedCall,
  body: Buffer,
): () => string {
  let digest: string | undefined;
  return () => {
    digest ??= requests.getCallDigest({ method, host: route.host, path, team: team?.name, body });
    return digest;
  };
}

function createTimeOver(wasSent: boolean): schemas.Refusal {
  return new schemas.Refusal({
    id: wasSent ? 'timeOver' : 'timeOverNotRun',
    step: 'wait',
    status: wasSent ? 504 : 503,
    outcome: wasSent ? 'unknown' : 'not-run',
    retryAfterS: wasSent ? undefined : RETRY_AFTER_S,
  });
}
