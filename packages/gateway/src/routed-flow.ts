import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as pickedUpstreams from './picked-upstream.js';
import * as routedAnswers from './routed-answer.js';
import * as routedAttempts from './routed-attempts.js';
import type * as plannedStops from './planned-stop.js';
import type * as routedJobs from './routed-job.js';
import * as stoppableJobs from './stoppable-job.js';
import * as streamTimes from './stream-times.js';
import * as teamCallCounters from './team-call-counter.js';
import * as upstreamPickers from './upstream-picker.js';

/** `Retry-After` of a call whose time ran out before it was sent, in seconds. */
const RETRY_AFTER_S = 1;

/**
 * Maximum number of times that a suspect is moved to another upstream because a suspect runs at the chosen one. After
 * an upstream has crashed there may be as many suspects as upstreams; without a limit, a suspect that finds none
 * without another suspect would be refused for lack of capacity.
 */
const MAX_SUSPECT_MOVES = 2;

/** Options of `RoutedFlow`. */
export interface RoutedFlowOptions extends routedAttempts.RoutedAttemptsOptions {
  /** Whether capacity is shared among teams, so that answers are counted by team. */
  readonly isSharing: () => boolean;
  readonly held: requests.HeldBytes;
  /** Ends calls when the host stops as planned. */
  readonly stop: plannedStops.PlannedStop;
}

/** Details of a call's outcome, for the log. */
interface OutcomeDetails {
  readonly reason?: schemas.MessageId;
  readonly status?: number;
  readonly step?: string;
  readonly err?: string;
}

/** Abort reason of a call whose caller has disconnected. */
class CallerGone extends Error {
  public override readonly name = 'CallerGone';
}

/** Processes routed calls: admits a call, chooses an upstream, sends the call and delivers the answer. */
export class RoutedFlow {
  private readonly attempts: routedAttempts.RoutedAttempts;

  public constructor(private readonly options: RoutedFlowOptions) {
    this.attempts = new routedAttempts.RoutedAttempts(options);
  }

  /** Serves one call. */
  public async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const held = this.options.held.begin(res);
    try {
      await this.handleHeld(req, res, held);
    } finally {
      this.options.held.end(held, res);
    }
  }

  private async handleHeld(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    held: requests.HeldCall,
  ): Promise<void> {
    const { clock, findBudget, metrics } = this.options;
    const { call, body } = await this.admit(req, held);
    const abort = new AbortController();
    const job: routedJobs.RoutedJob = {
      call,
      body,
      held,
      getDigest: createDigest(call, body),
      abort,
      tried: new Set(),
      upstreamId: undefined,
      resumes: 0,
      times: new streamTimes.StreamTimes(call.arrivedAt, call.route, clock, metrics),
    };
    findBudget(call.service.name).recordRequest();
    const timer = setTimeout(
      () => abort.abort(createTimeoutRefusal(job.upstreamId !== undefined)),
      Math.max(0, call.endsAt - clock.now()),
    );
    const { admission, stop } = this.options;
    const isRepeatable = () => admission.isRepeatable(call);
    const stoppable = new stoppableJobs.StoppableJob(job, { stop, res, isRepeatable });
    const leaveStop = stop.add(stoppable);
    const onClose = () => abort.abort(new CallerGone('the caller has disconnected'));
    res.once('close', onClose);
    if (res.destroyed) {
      onClose();
    }
    try {
      await this.serve(job, stoppable, res);
    } finally {
      clearTimeout(timer);
      leaveStop();
      res.off('close', onClose);
    }
  }

  private async admit(
    req: http.IncomingMessage,
    held: requests.HeldCall,
  ): Promise<{ call: callAdmissions.AdmittedCall; body: Buffer }> {
    const { admission, log, metrics, wire } = this.options;
    try {
      const call = admission.admit(req);
      this.checkHeldBytes();
      return { call, body: await this.readBody(req, call, held) };
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

  /** Reads the body of a call, which a planned stop may refuse before it is complete. */
  private async readBody(
    req: http.IncomingMessage,
    call: callAdmissions.AdmittedCall,
    held: requests.HeldCall,
  ): Promise<Buffer> {
    const { admission, clock, stop } = this.options;
    const bodyTimeoutMs = Math.max(1, call.endsAt - clock.now());
    const refused = new AbortController();
    const refuse = (refusal: schemas.Refusal) => refused.abort(refusal);
    const leaveStop = stop.add({
      endsAt: call.endsAt,
      targetMs: call.route.targetMs,
      isStream: call.route.isStream,
      isRepeatable: () => admission.isRepeatable(call),
      isSent: () => false,
      isAnswered: () => false,
      refuse,
      end: refuse,
    });
    try {
      const limits = { ...call.limits, bodyTimeoutMs };
      return await requests.readBody(req, limits, held, refused.signal);
    } finally {
      leaveStop();
    }
  }

  private checkHeldBytes(): void {
    if (this.options.held.isFull()) {
      throw requests.createHostFull();
    }
  }

  private async serve(
    job: routedJobs.RoutedJob,
    stoppable: stoppableJobs.StoppableJob,
    res: http.ServerResponse,
  ): Promise<void> {
    const { isStream } = job.call.route;
    try {
      const answer = await this.requestAnswer(job, stoppable);
      const status = answer.kind === 'whole' ? answer.head.status : answer.answer.status;
      job.held.passAnswer();
      await routedAnswers.deliverAnswer(res, answer, isStream, () => this.noteEvents(job));
      this.recordOutcome(job, 'complete', { status });
      this.countAnswer(job, status);
    } catch (err) {
      if (job.abort.signal.reason instanceof CallerGone) {
        this.recordOutcome(job, 'caller-left', {});
        return;
      }
      if (res.headersSent) {
        this.recordOutcome(job, 'incomplete', { err: schemas.toError(err).message });
        requests.breakOff(res);
        return;
      }
      const refusal = requests.toRefusal(err);
      const { outcome, status, step } = refusal.options;
      this.recordOutcome(job, outcome, { reason: refusal.id, status, step, err: refusal.message });
      throw refusal;
    }
  }

  private noteEvents(job: routedJobs.RoutedJob): void {
    if (job.times.recordEvents()) {
      this.options.picker.reportEvent(job.call, 'begun');
    }
    this.options.guard.recordProgress(job);
  }

  private requestAnswer(
    job: routedJobs.RoutedJob,
    stoppable: stoppableJobs.StoppableJob,
  ): Promise<routedAnswers.RoutedAnswer> {
    const { findBudget } = this.options;
    const { call } = job;
    return requests.runAttempts(
      {
        isRepeatable: () => stoppable.isRepeatable(),
        maxRuns: call.route.maxRuns,
        budget: findBudget(call.service.name),
        signal: job.abort.signal,
      },
      {
        choose: () =>
          stoppable.choose(
            (signal) => this.choose(job, signal),
            (picked) => this.attempts.discard(job, picked),
          ),
        attempt: (picked) => this.attempts.attempt(job, picked),
        discard: (picked) => this.attempts.discard(job, picked),
        isFailure: (answer) =>
          answer.kind === 'whole' && answer.head.status >= routedAttempts.FIRST_FAILURE_STATUS,
        recordFailure: (picked, failure) => this.attempts.noteFailure(job, picked, failure),
      },
    );
  }

  /** Picks an upstream. A suspect is not sent where another suspect runs, as long as there are other upstreams. */
  private async choose(
    job: routedJobs.RoutedJob,
    signal: AbortSignal,
  ): Promise<pickedUpstreams.PickedUpstream> {
    const { client, guard, picker } = this.options;
    const { call } = job;
    if (client.isFull()) {
      throw requests.createHostFull();
    }
    await guard.admit(job);
    const excluded = new Set(job.tried);
    for (let moves = 0; ; moves += 1) {
      const picked = await picker.pick(call, excluded, signal);
      const mayShare = () => moves >= MAX_SUSPECT_MOVES || !this.hasOther(call, picked, excluded);
      const permit = await guard.permit(job, picked.known, mayShare).catch((err: unknown) => {
        picker.release(call, picked, upstreamPickers.UNSENT);
        throw err;
      });
      if (permit.kind === 'go') {
        return picked;
      }
      picker.release(call, picked, upstreamPickers.UNSENT);
      if (permit.kind === 'there') {
        return picker.pickAt(call, permit.upstream);
      }
      excluded.add(picked.upstreamId);
    }
  }

  private hasOther(
    { regions, service }: callAdmissions.AdmittedCall,
    picked: pickedUpstreams.PickedUpstream,
    excluded: ReadonlySet<string>,
  ): boolean {
    return this.options.directory
      .listLive(service.name, regions)
      .some(({ upstreamId }) => upstreamId !== picked.upstreamId && !excluded.has(upstreamId));
  }

  /** Counts a complete answer by its team, unless the upstream reports a failure. */
  private countAnswer({ call, times }: routedJobs.RoutedJob, status: number): void {
    const { isSharing, metrics } = this.options;
    if (status < routedAttempts.FIRST_FAILURE_STATUS && isSharing()) {
      const team = teamCallCounters.getTeamLabel(call.team?.name);
      const result = times.isOnTime() ? 'on-time' : 'late';
      metrics.count('teamAnswers', { route: call.route.name, team, result });
    }
  }

  private recordOutcome(job: routedJobs.RoutedJob, outcome: string, details: OutcomeDetails): void {
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

/** Computes a call's digest on first use; most calls never need one. */
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

function createTimeoutRefusal(wasSent: boolean): schemas.Refusal {
  return new schemas.Refusal({
    id: wasSent ? 'timeOver' : 'timeOverNotRun',
    step: 'wait',
    status: wasSent ? 504 : 503,
    outcome: wasSent ? 'unknown' : 'not-run',
    retryAfterS: wasSent ? undefined : RETRY_AFTER_S,
  });
}
