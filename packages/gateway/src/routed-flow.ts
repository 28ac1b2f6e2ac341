import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as ports from './ports.js';
import * as routedAnswers from './routed-answer.js';
import type * as upstreamDirectories from './upstream-directory.js';
import * as upstreamPickers from './upstream-picker.js';

/**
 * The longest answer that is read whole before the caller gets any of it, in bytes; it can still be replaced
 * when the upstream breaks off. Longer ones are passed on as they come, so that they don't pile up in memory.
 */
const READ_WHOLE_BYTES = 64 * 1024;

/** What a caller whose time ran out before its call was sent is told to wait, in seconds. */
const RETRY_AFTER_S = 1;

/** The status by which an upstream says that it failed. */
const FIRST_FAILURE_STATUS = 500;

/** What the flow needs. */
export interface RoutedFlowOptions {
  readonly wire: ports.CallWire;
  readonly admission: callAdmissions.CallAdmission;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly picker: upstreamPickers.UpstreamPicker;
  readonly client: requests.UpstreamClient;
  readonly findBudget: (service: string) => requests.RetryBudget;
  readonly availabilityZone: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

interface Job {
  readonly call: callAdmissions.AdmittedCall;
  readonly body: Buffer;
  readonly abort: AbortController;
  readonly tried: Set<string>;
  /** The upstream of the last attempt, once there was one. */
  upstreamId: string | undefined;
}

/** The reason for which an attempt ends when its caller has left. */
class CallerGone extends Error {
  public override readonly name = 'CallerGone';
}

/** The flow of a routed call: admit, choose, send, judge, deliver. */
export class RoutedFlow {
  public constructor(private readonly options: RoutedFlowOptions) {}

  /** Serves one call. */
  public async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { clock, findBudget } = this.options;
    const { call, body } = await this.admit(req);
    const abort = new AbortController();
    const job: Job = { call, body, abort, tried: new Set(), upstreamId: undefined };
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
    const { admission, clock, log, wire } = this.options;
    try {
      const call = admission.admit(req);
      const bodyTimeoutMs = Math.max(1, call.endsAt - clock.now());
      return { call, body: await requests.readBody(req, { ...call.limits, bodyTimeoutMs }) };
    } catch (err) {
      const refusal = requests.toRefusal(err);
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

  private async serve(job: Job, res: http.ServerResponse): Promise<void> {
    const { call } = job;
    try {
      const answer = await this.obtain(job);
      const status = answer.kind === 'whole' ? answer.head.status : answer.answer.status;
      await routedAnswers.deliverAnswer(res, answer, call.route.isStream, job.upstreamId ?? '');
      this.noteOutcome(job, 'complete', { status });
    } catch (err) {
      if (err instanceof CallerGone || job.abort.signal.reason instanceof CallerGone) {
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
      this.noteOutcome(job, outcome, { status, step, err: refusal.message });
      throw refusal;
    }
  }

  private obtain(job: Job): Promise<routedAnswers.RoutedAnswer> {
    const { findBudget, picker } = this.options;
    const { call } = job;
    return requests.runAttempts(
      {
        isRepeatable: call.route.repeatability === 'idempotent',
        maxRuns: call.route.maxRuns,
        budget: findBudget(call.service.name),
        signal: job.abort.signal,
      },
      {
        choose: () => picker.pick(call, job.tried),
        attempt: (picked) => this.attempt(job, picked),
        isFailure: (answer) =>
          answer.kind === 'whole' && answer.head.status >= FIRST_FAILURE_STATUS,
        noteFailure: (picked, failure) => this.noteFailure(job, picked, failure),
      },
    );
  }

  private async attempt(
    job: Job,
    picked: upstreamPickers.PickedUpstream,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { client, clock, wire } = this.options;
    const { call, body, abort, tried } = job;
    const { known, upstreamId } = picked;
    tried.add(upstreamId);
    job.upstreamId = upstreamId;
    this.noteChoice(job, picked);
    const leftMs = call.endsAt - clock.now();
    const release = known.load.enter(upstreamPickers.getExpectedTokens(call));
    try {
      const headers = wire.createHeaders(call.facts, { upstreamId, team: call.team?.name, leftMs });
      const isRepeatable = call.route.repeatability === 'idempotent';
      const { method, path } = call;
      const answer = await client.open(
        known,
        { method, path, headers, body, isRepeatable, signal: abort.signal },
        wire.judge(call.facts),
      );
      return await this.receive(job, picked, answer, release);
    } catch (err) {
      release();
      throw err;
    }
  }

  private async receive(
    job: Job,
    { known, upstreamId }: upstreamPickers.PickedUpstream,
    answer: requests.UpstreamAnswer,
    release: () => void,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { clock, wire } = this.options;
    const { load } = wire.readAnswer(answer);
    if (load !== undefined) {
      known.load.takeReport(load, clock.now());
    }
    if (answer.status >= FIRST_FAILURE_STATUS) {
      known.load.noteFailure(clock.now());
    }
    if (job.call.route.isStream && answer.status < 300) {
      return { kind: 'coming', answer, bytes: Buffer.alloc(0), release };
    }
    const read = await requests.readAnswer(answer, READ_WHOLE_BYTES, upstreamId);
    if (!read.isWhole) {
      return { kind: 'coming', answer, bytes: read.bytes, release };
    }
    release();
    return { kind: 'whole', head: answer, bytes: read.bytes };
  }

  private noteFailure(
    job: Job,
    { known, upstreamId }: upstreamPickers.PickedUpstream,
    failure: requests.UpstreamError,
  ): void {
    const { clock, directory, log } = this.options;
    known.load.noteFailure(clock.now());
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

  private noteChoice(job: Job, picked: upstreamPickers.PickedUpstream): void {
    const { availabilityZone, clock, directory, log } = this.options;
    const { call } = job;
    log.info({
      decision: 'route',
      request: call.facts.requestId,
      route: call.route.name,
      team: call.team?.name,
      availabilityZone,
      upstream: picked.upstreamId,
      share: Number(picked.share.toFixed(2)),
      attempt: job.tried.size,
      leftMs: Math.round(call.endsAt - clock.now()),
      listAgeMs: Math.round(directory.getAgeMs()),
    });
  }

  private noteOutcome(job: Job, outcome: string, details: object): void {
    const { clock, log } = this.options;
    log.info({
      decision: 'outcome',
      request: job.call.facts.requestId,
      upstream: job.upstreamId,
      outcome,
      tookMs: Math.round(clock.now() - job.call.arrivedAt),
      ...details,
    });
  }
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
