import type * as http from 'node:http';
import type * as stream from 'node:stream';

import type * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as checks from './check-stays.js';
import * as completionBodies from './completion-body.js';
import * as completionJobs from './completion-job.js';
import type * as generationRelays from './generation-relay.js';
import type * as handlerContexts from './handler-context.js';
import type * as poolClients from './pool-client.js';
import * as teamPlaces from './team-place.js';

/** Retry-After of a refusal after upstream failures, in seconds. */
const RETRY_AFTER_S = 2;

type Job = completionJobs.CompletionJob;

/** One attempt to run a completion on one engine. */
interface Attempt {
  readonly lifecycle: ReturnType<typeof requests.createRequestLifecycle>;
  readonly call: string;
  readonly grant: poolClients.CapacityGrant;
  readonly generation: string;
  /** On the daemon's clock, in milliseconds. */
  readonly sentAt: number;
}

/**
 * Obtains capacity for a completion and starts it on an engine; reports whether it ran only as far
 * as that is certain.
 */
export class CompletionDispatcher {
  private counter = 0;

  public constructor(private readonly context: handlerContexts.HandlerContext) {}

  /**
   * Obtains capacity, claims the call when it has a key, and starts it on an engine. Retries while
   * it is certain that the call did not run. Resolves to undefined when another call holds the key.
   */
  public async dispatch(
    job: Job,
    res: http.ServerResponse,
  ): Promise<generationRelays.RelayTask | undefined> {
    const { poolClient } = this.context;
    for (;;) {
      const attempt = await this.prepareAttempt(job, res);
      try {
        if (job.key !== undefined && !(await this.claim(job, attempt))) {
          poolClient.release(attempt.call, false);
          return undefined;
        }
        return await this.startAttempt(job, attempt);
      } catch (err) {
        const isFailure = err instanceof requests.UpstreamError;
        poolClient.release(attempt.call, false, isFailure ? err.hasAnswer() : undefined);
        this.settleFailure(job, attempt, err, res);
      }
    }
  }

  private async prepareAttempt(job: Job, res: http.ServerResponse): Promise<Attempt> {
    const { cfg, clock, ids, incarnation } = this.context;
    const lifecycle = requests.createRequestLifecycle();
    const call = this.createCall();
    const grant = await this.requestCapacity(job, call, res);
    await this.permit(job, call, grant, res);
    lifecycle.move('grant');
    const id: requests.GenerationId = {
      availabilityZone: cfg.availabilityZone,
      daemonId: cfg.daemonId,
      incarnation: incarnation.toString(36),
      // Taken from the call id: the counter has advanced for other requests during the wait for
      // capacity.
      counter: call.slice(call.lastIndexOf('.') + 1),
      upstreamId: grant.upstream.upstreamId,
    };
    const generation = ids.encode(id, job.team.name);
    return { lifecycle, call, grant, generation, sentAt: clock.now() };
  }

  /** Checks again after the wait for capacity whether the request may be sent. */
  private async permit(
    job: Job,
    call: string,
    grant: poolClients.CapacityGrant,
    res: http.ServerResponse,
  ): Promise<void> {
    const { guard, poolClient, stop } = this.context;
    try {
      await guard.permit(job.subject, grant.upstream.upstreamId);
      stop.send(res);
    } catch (err) {
      poolClient.release(call, false);
      throw err;
    }
  }

  private async startAttempt(job: Job, attempt: Attempt): Promise<generationRelays.RelayTask> {
    const { call, generation, grant, lifecycle } = attempt;
    lifecycle.move('dispatch');
    const body = await this.start(job, grant, generation);
    this.context.calls.set(generation, { state: 'dispatched' });
    lifecycle.move('stream');
    return {
      call,
      generation,
      team: job.team.name,
      subject: job.subject,
      model: job.body.model,
      place: teamPlaces.createTeamPlace(job.team),
      upstream: grant.upstream,
      from: 0,
      body,
      // A caller that sends a key may resend the request, so its generation is kept for that resend
      // even when no caller is connected.
      mayCancel: job.key === undefined,
    };
  }

  /**
   * Throws the final refusal, or returns when another engine may be tried: the engine certainly did
   * not run the call, or the call may be repeated and its former run is gone.
   */
  private settleFailure(
    job: Job,
    { generation, grant, lifecycle, sentAt }: Attempt,
    err: unknown,
    res: http.ServerResponse,
  ): void {
    const { budget, calls, stop } = this.context;
    if (err instanceof schemas.StepError && !(err instanceof requests.UpstreamError)) {
      calls.set(generation, { state: 'not-run' });
      throw err;
    }
    const failure = requests.createUpstreamError(err, 'start', grant.upstream.upstreamId);
    this.recordFailure(job, grant, generation, failure);
    if (failure.kind === 'lost' || failure.kind === 'gone') {
      this.context.guard.recordLost(job.subject, grant.upstream, { sentAt });
      calls.set(generation, { state: 'lost' });
      if (failure.kind === 'gone' && this.mayRepeat(job, res)) {
        job.endedEngines += 1;
        job.excluded.push(grant.upstream.upstreamId);
        lifecycle.move('retry');
        return;
      }
      lifecycle.move('doubt');
      throw createRefusal('ranUnknown', 'unknown', failure);
    }
    calls.set(generation, { state: 'not-run' });
    this.context.guard.recordNotRun(job.subject);
    job.attempt += job.key === undefined ? 0 : 1;
    job.excluded.push(grant.upstream.upstreamId);
    // Nothing was sent to an engine that has reached its rate limit.
    const isPaid = failure.kind === 'withheld' || budget.take();
    if (!isPaid || res.destroyed) {
      lifecycle.move('refuse');
      throw createRefusal('upstreamRefused', 'not-run', failure);
    }
    if (job.endedEngines === 0) {
      stop.recordNotRun(res);
    }
    lifecycle.move('retry');
  }

  /**
   * Resolves a start whose response was lost by asking the engine on a new connection. A generation
   * that the engine runs is resumed; otherwise it is cancelled, after which the process that answers
   * never runs it. Rejects with `refused` only if that process is `sentTo`, the one that had the
   * engine's address before the start was sent; another process knows nothing of the start, so the
   * generation is `gone` and may have run.
   */
  public async resolveLostStart(
    upstream: schemas.Upstream,
    generation: string,
    place: paths.PlaceRule,
    sentTo: string | undefined,
  ): Promise<stream.Readable> {
    const { engines } = this.context;
    try {
      return await engines.resume(upstream, generation, 0, place);
    } catch (err) {
      const failure = requests.createUpstreamError(err, 'find-out', upstream.upstreamId);
      if (failure.kind === 'gone') {
        const answer = await engines.cancel(upstream, generation, place);
        throw new requests.UpstreamError(
          classifyCancel(answer, sentTo),
          'find-out',
          upstream.upstreamId,
        );
      }
      throw new requests.UpstreamError('lost', 'find-out', upstream.upstreamId, err);
    }
  }

  private async requestCapacity(
    job: Job,
    call: string,
    res: http.ServerResponse,
  ): Promise<poolClients.CapacityGrant> {
    const { cfg, decisions, poolClient, metrics } = this.context;
    const { estimate, intent, team } = job;
    const grant = await poolClient.requestCapacity(
      intent.model,
      {
        generation: call,
        daemonId: cfg.daemonId,
        team: team.name,
        intent: intent.name,
        workClass: estimate.workClass,
        promptTokens: estimate.promptTokens,
        maxTokens: estimate.maxTokens,
        prefix: estimate.prefix,
        waitedMs: 0,
        patienceMs: cfg.limits.queueMs,
        excluded: job.excluded,
      },
      () => res.destroyed || res.writableEnded,
    );
    metrics.time('queued', grant.queuedMs, { class: estimate.workClass });
    decisions.record({
      decision: 'route',
      request: call,
      team: team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: grant.upstream.upstreamId,
      reason: grant.reason,
      workClass: estimate.workClass,
      promptTokens: estimate.promptTokens,
      queuedMs: Math.round(grant.queuedMs),
      pressure: Number(grant.pressure.toFixed(3)),
      attempt: job.attempt,
    });
    return grant;
  }

  private async claim(job: Job, { generation, grant }: Attempt): Promise<boolean> {
    const { calls, claims } = this.context;
    const key = claims.createKey(job.team.name, job.key ?? '', job.attempt);
    calls.open(generation, job.team.name);
    const { upstreamId } = grant.upstream;
    const value = await claims.claim(key, generation, upstreamId, job.requestHash);
    if (value.call !== generation) {
      calls.set(generation, { state: 'not-run' });
    }
    return value.call === generation;
  }

  /**
   * Starts the generation; when the response is lost, determines whether the generation started.
   */
  private async start(
    job: Job,
    grant: poolClients.CapacityGrant,
    generation: string,
  ): Promise<stream.Readable> {
    const { engines, view } = this.context;
    const { upstream } = grant;
    checks.checkStays(view, upstream);
    const place = teamPlaces.createTeamPlace(job.team);
    const body = completionBodies.createEngineBody(job.body, grant.version, job.estimate);
    const sentTo = engines.getProcess(upstream.upstreamId);
    try {
      return await engines.start(upstream, job.path, generation, body, place);
    } catch (err) {
      const failure = requests.createUpstreamError(err, 'start', upstream.upstreamId);
      if (failure.kind !== 'lost') {
        throw failure;
      }
      return this.resolveLostStart(upstream, generation, place, sentTo);
    }
  }

  private recordFailure(
    job: Job,
    grant: poolClients.CapacityGrant,
    generation: string,
    failure: requests.UpstreamError,
  ): void {
    const { cfg, decisions, poolClient } = this.context;
    if (failure.kind !== 'lost' && failure.kind !== 'withheld') {
      poolClient.reportLeaving(job.intent.model, grant.upstream.upstreamId);
    }
    decisions.record({
      decision: 'upstream-failed',
      request: generation,
      team: job.team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: grant.upstream.upstreamId,
      reason: failure.kind,
    });
  }

  private mayRepeat(job: Job, res: http.ServerResponse): boolean {
    return completionJobs.mayRepeat(job) && !res.destroyed && this.context.budget.take();
  }

  private createCall(): string {
    this.counter += 1;
    return `${this.context.callPrefix}${this.counter.toString(36)}`;
  }
}

function classifyCancel(
  { process, state }: requests.CancelAnswer,
  sentTo: string | undefined,
): requests.FailureKind {
  if (state !== 'unknown') {
    return 'lost';
  }
  return process !== undefined && process === sentTo ? 'refused' : 'gone';
}

/** Creates a refusal of the dispatch; it has a Retry-After only when nothing ran. */
export function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause?: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? RETRY_AFTER_S : undefined;
  return new schemas.Refusal({ id, step: 'dispatch', status, outcome, cause, retryAfterS });
}
