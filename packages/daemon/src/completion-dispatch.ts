import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import type * as completionJobs from './completion-job.js';
import type * as grantClients from './grant-client.js';
import type * as parts from './parts.js';
import type * as relayFlows from './relay-flow.js';

/** What a refused caller is told to wait when upstreams failed, in seconds. */
const RETRY_AFTER_S = 2;

type Job = completionJobs.CompletionJob;

/** One try of a completion at one engine. */
interface Attempt {
  readonly life: ReturnType<typeof requests.createRequestLifecycle>;
  readonly call: string;
  readonly grant: grantClients.Grant;
  readonly generation: string;
}

/** Finds room for a completion and hands it to an engine, truthfully. */
export class CompletionDispatch {
  private counter = 0;

  public constructor(private readonly parts: parts.Parts) {}

  /**
   * Finds room, claims the call where it has a key, and hands it to the engine; tries on while it did not
   * run. Gives nothing when another call holds the key.
   */
  public async dispatch(
    job: Job,
    res: http.ServerResponse,
  ): Promise<relayFlows.RelayTask | undefined> {
    const { grants } = this.parts;
    for (;;) {
      const attempt = await this.begin(job, res);
      try {
        if (job.key !== undefined && !(await this.claim(job, attempt))) {
          grants.finish(attempt.call, false);
          return undefined;
        }
        return await this.handOver(job, attempt);
      } catch (err) {
        grants.finish(attempt.call, false);
        this.settleFailure(job, attempt, err, res);
      }
    }
  }

  private async begin(job: Job, res: http.ServerResponse): Promise<Attempt> {
    const { cfg, ids, incarnation } = this.parts;
    const life = requests.createRequestLifecycle();
    const call = this.createCall();
    const grant = await this.askRoom(job, call, res);
    life.move('grant');
    const id: requests.GenerationId = {
      availabilityZone: cfg.availabilityZone,
      daemonId: cfg.daemonId,
      incarnation: incarnation.toString(36),
      // Not the counter itself: other requests have gone on while this one waited for room.
      counter: call.slice(call.lastIndexOf('.') + 1),
      upstreamId: grant.upstream.upstreamId,
    };
    return { life, call, grant, generation: ids.encode(id, job.team.name) };
  }

  private async handOver(job: Job, attempt: Attempt): Promise<relayFlows.RelayTask> {
    const { call, generation, grant, life } = attempt;
    life.move('dispatch');
    const body = await this.start(job, grant, generation);
    this.parts.calls.set(generation, { state: 'dispatched' });
    life.move('stream');
    return {
      call,
      generation,
      team: job.team.name,
      model: job.body.model,
      upstream: grant.upstream,
      from: 0,
      body,
      // Who sends a key means to ask again; the answer is kept for that, also when nobody listens now.
      mayCancel: job.key === undefined,
    };
  }

  /** Ends the request, or returns when it is certain that the engine did not run it and another may. */
  private settleFailure(
    job: Job,
    { generation, grant, life }: Attempt,
    err: unknown,
    res: http.ServerResponse,
  ): void {
    const { budget, calls } = this.parts;
    if (err instanceof schemas.StepError && !(err instanceof requests.UpstreamError)) {
      calls.set(generation, { state: 'not-run' });
      throw err;
    }
    const failure = requests.createUpstreamError(err, 'start', grant.upstream.upstreamId);
    this.noteFailure(job, grant, generation, failure);
    if (failure.kind === 'lost') {
      calls.set(generation, { state: 'lost' });
      life.move('doubt');
      throw createRefusal('ranUnknown', 'unknown', failure);
    }
    calls.set(generation, { state: 'not-run' });
    job.attempt += job.key === undefined ? 0 : 1;
    job.excluded.push(grant.upstream.upstreamId);
    if (!budget.take() || res.destroyed) {
      life.move('refuse');
      throw createRefusal('upstreamRefused', 'not-run', failure);
    }
    life.move('retry');
  }

  /**
   * The call was handed over and the answer was lost. The engine is asked on a new connection: if it runs
   * the generation we go on with it; if not, it is made to promise that it never will.
   */
  public async findOut(upstream: schemas.Upstream, generation: string): Promise<stream.Readable> {
    const { engines } = this.parts;
    try {
      return await engines.resume(upstream, generation, 0);
    } catch (err) {
      const failure = requests.createUpstreamError(err, 'find-out', upstream.upstreamId);
      if (failure.kind === 'gone') {
        const { state } = await engines.cancel(upstream, generation);
        const kind = state === 'unknown' ? 'refused' : 'lost';
        throw new requests.UpstreamError(kind, 'find-out', upstream.upstreamId);
      }
      throw new requests.UpstreamError('lost', 'find-out', upstream.upstreamId, err);
    }
  }

  private async askRoom(
    job: Job,
    call: string,
    res: http.ServerResponse,
  ): Promise<grantClients.Grant> {
    const { cfg, decisions, grants, metrics } = this.parts;
    const { measured, intent, team } = job;
    const grant = await grants.ask(
      intent.model,
      {
        generation: call,
        daemonId: cfg.daemonId,
        team: team.name,
        intent: intent.name,
        workClass: measured.workClass,
        promptTokens: measured.promptTokens,
        maxTokens: measured.maxTokens,
        prefix: measured.prefix,
        waitedMs: 0,
        patienceMs: cfg.limits.queueMs,
        excluded: job.excluded,
      },
      () => res.destroyed,
    );
    metrics.time('queued', grant.queuedMs, { class: measured.workClass });
    decisions.note({
      decision: 'route',
      request: call,
      team: team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: grant.upstream.upstreamId,
      reason: grant.reason,
      workClass: measured.workClass,
      promptTokens: measured.promptTokens,
      queuedMs: Math.round(grant.queuedMs),
      pressure: Number(grant.pressure.toFixed(3)),
      attempt: job.attempt,
    });
    return grant;
  }

  private async claim(job: Job, { generation, grant }: Attempt): Promise<boolean> {
    const { calls, claims } = this.parts;
    const key = claims.createKey(job.team.name, job.key ?? '', job.attempt);
    calls.open(generation);
    const { upstreamId } = grant.upstream;
    const value = await claims.claim(key, generation, upstreamId, job.requestHash);
    if (value.call !== generation) {
      calls.set(generation, { state: 'not-run' });
    }
    return value.call === generation;
  }

  /** Starts the generation; when the answer is lost, finds out whether it began. */
  private async start(
    job: Job,
    grant: grantClients.Grant,
    generation: string,
  ): Promise<stream.Readable> {
    const { engines } = this.parts;
    const { upstream } = grant;
    const body = completionBodies.createEngineBody(job.body, grant.version, job.measured);
    try {
      return await engines.start(upstream, job.path, generation, body);
    } catch (err) {
      const failure = requests.createUpstreamError(err, 'start', upstream.upstreamId);
      if (failure.kind !== 'lost') {
        throw failure;
      }
      return this.findOut(upstream, generation);
    }
  }

  private noteFailure(
    job: Job,
    grant: grantClients.Grant,
    generation: string,
    failure: requests.UpstreamError,
  ): void {
    const { cfg, decisions, grants } = this.parts;
    if (failure.kind !== 'lost') {
      grants.noteLeaving(job.intent.model, grant.upstream.upstreamId);
    }
    decisions.note({
      decision: 'upstream-failed',
      request: generation,
      team: job.team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: grant.upstream.upstreamId,
      reason: failure.kind,
    });
  }

  private createCall(): string {
    this.counter += 1;
    return `${this.parts.callPrefix}${this.counter.toString(36)}`;
  }
}

/** A refusal of the dispatch, which says when to come back where nothing ran. */
export function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause?: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? RETRY_AFTER_S : undefined;
  return new schemas.Refusal({ id, step: 'dispatch', status, outcome, cause, retryAfterS });
}
