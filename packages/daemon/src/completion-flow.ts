import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import type * as grantClients from './grant-client.js';
import * as httpIo from './http-io.js';
import type * as parts from './parts.js';
import type * as relayFlows from './relay-flow.js';
import * as wholeAnswers from './whole-answer.js';

/** The longest Idempotency-Key that is taken. */
const MAX_KEY_CHARS = 255;

/** What a refused caller is told to wait when upstreams failed, in seconds. */
const RETRY_AFTER_S = 2;

/** A completion on its way. */
interface Job {
  readonly team: schemas.Team;
  readonly intent: schemas.Intent;
  readonly body: completionBodies.CompletionBody;
  readonly measured: completionBodies.Measured;
  readonly path: string;
  readonly isChat: boolean;
  readonly key: string | undefined;
  readonly requestHash: string;
  readonly isRepeatable: boolean;
  readonly excluded: string[];
  attempt: number;
}

/** The flow of a completion: who asks, may it be here, was it asked before, where is room, pass it on. */
export class CompletionFlow {
  private counter = 0;

  public constructor(
    private readonly parts: parts.Parts,
    private readonly relays: relayFlows.RelayFlow,
  ) {}

  /** Serves one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    path: string,
  ): Promise<void> {
    const { access, budget, cfg } = this.parts;
    const team = access.authenticate(req);
    access.checkPlace(team, path);
    const raw = await httpIo.readBody(req, cfg.limits);
    const body = httpIo.parseJson(completionBodies.completionBody, raw);
    const job = this.createJob(req, team, body, raw, path);
    budget.noteRequest();
    if (job.key !== undefined && (await this.join(job, res))) {
      return;
    }
    await this.run(job, res);
  }

  private async run(job: Job, res: http.ServerResponse): Promise<void> {
    for (;;) {
      const task = await this.dispatch(job, res);
      if (task === undefined) {
        if (await this.join(job, res)) {
          return;
        }
        continue;
      }
      if (job.body.stream) {
        await this.relays.stream(task, res);
        return;
      }
      if (await this.answerWhole(job, task, res)) {
        return;
      }
    }
  }

  /** Finds room, claims the call where it has a key, and hands it to the engine; tries on while it did not run. */
  private async dispatch(
    job: Job,
    res: http.ServerResponse,
  ): Promise<relayFlows.RelayTask | undefined> {
    const { budget, calls, grants, ids, incarnation, cfg } = this.parts;
    for (;;) {
      const life = requests.createRequestLife();
      const call = this.createCall();
      const grant = await this.askRoom(job, call, res);
      life.move('grant');
      const [availabilityZone, daemonId, , counter] = call.split('.') as [
        string,
        string,
        string,
        string,
      ];
      const generation = ids.create(
        {
          availabilityZone,
          daemonId,
          incarnation: incarnation.toString(36),
          counter,
          upstreamId: grant.upstream.upstreamId,
        },
        job.team.name,
      );
      try {
        if (job.key !== undefined && !(await this.claim(job, generation, grant))) {
          grants.finish(call, false);
          return undefined;
        }
        life.move('dispatch');
        const body = await this.start(job, grant, generation, res);
        calls.set(generation, { state: 'dispatched' });
        life.move('stream');
        const { upstream } = grant;
        const task = { call, generation, team: job.team.name, model: job.body.model, upstream };
        return { ...task, from: 0, body, mayCancel: true };
      } catch (err) {
        grants.finish(call, false);
        const failure = requests.createUpstreamError(err, 'start', grant.upstream.upstreamId);
        if (err instanceof schemas.StepError && !(err instanceof requests.UpstreamError)) {
          calls.set(generation, { state: 'not-run' });
          throw err;
        }
        this.noteFailure(job, grant, generation, failure);
        if (failure.kind === 'lost') {
          calls.set(generation, { state: 'lost' });
          life.move('doubt');
          throw createRefusal('ranUnknown', 'unknown', failure);
        }
        // Only here is it certain that the engine did not run it, so another may.
        calls.set(generation, { state: 'not-run' });
        job.attempt += job.key === undefined ? 0 : 1;
        job.excluded.push(grant.upstream.upstreamId);
        if (!budget.take() || res.destroyed || cfg.limits.queueMs <= 0) {
          life.move('refuse');
          throw createRefusal('upstreamRefused', 'not-run', failure);
        }
        life.move('retry');
      }
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

  private async claim(job: Job, generation: string, grant: grantClients.Grant): Promise<boolean> {
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
    res: http.ServerResponse,
  ): Promise<stream.Readable> {
    const { cfg, engines } = this.parts;
    const { upstream } = grant;
    const body = completionBodies.createEngineBody(job.body, grant.version, job.measured.workClass);
    const gone = new AbortController();
    const limit = setTimeout(
      () => gone.abort(new Error('no answer')),
      cfg.limits.upstreamSilenceMs,
    );
    try {
      return await engines.start(upstream, job.path, generation, body, gone.signal);
    } catch (err) {
      const failure = requests.createUpstreamError(err, 'start', upstream.upstreamId);
      if (failure.kind !== 'lost' || res.destroyed) {
        throw failure;
      }
      return await this.findOut(upstream, generation);
    } finally {
      clearTimeout(limit);
    }
  }

  /**
   * The call was handed over and the answer was lost. The engine is asked on a new connection: if it runs
   * the generation we go on with it; if not, it is made to promise that it never will.
   */
  private async findOut(upstream: schemas.Upstream, generation: string): Promise<stream.Readable> {
    const { cfg, engines } = this.parts;
    const signal = AbortSignal.timeout(cfg.limits.upstreamSilenceMs);
    try {
      return await engines.resume(upstream, generation, 0, signal);
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

  /** Answers whole; false when the generation is known gone and may be made anew. */
  private async answerWhole(
    job: Job,
    task: relayFlows.RelayTask,
    res: http.ServerResponse,
  ): Promise<boolean> {
    const { budget } = this.parts;
    const { generation } = task;
    const answer = new wholeAnswers.WholeAnswer(generation, job.isChat, job.measured.promptTokens);
    const end = await this.relays.collect(task, res, (bytes) => answer.add(bytes));
    if (res.destroyed) {
      return true;
    }
    const headers = { [schemas.GENERATION_HEADER]: generation };
    if (end.outcome === 'complete') {
      const outcome = { [schemas.OUTCOME_HEADER]: 'complete' };
      httpIo.sendJson(res, 200, answer.create(end), { ...headers, ...outcome });
      return true;
    }
    // Nothing was delivered, so a new generation is no splice; but only when the former can't still run.
    const isOver = end.err?.kind === 'gone' || end.err?.isDead() === true;
    if (isOver && job.isRepeatable && job.key === undefined && budget.take()) {
      job.excluded.push(task.upstream.upstreamId);
      return false;
    }
    throw new schemas.Refusal({
      id: 'generationGone',
      step: 'relay',
      status: 502,
      outcome: 'incomplete',
      args: [0],
      cause: end.err,
      retryAfterS: RETRY_AFTER_S,
    });
  }

  /** Joins the call that holds this request's key; false when the key is free at `job.attempt`. */
  private async join(job: Job, res: http.ServerResponse): Promise<boolean> {
    const { claims } = this.parts;
    for (;;) {
      const key = claims.createKey(job.team.name, job.key ?? '', job.attempt);
      const claimed = await claims.find(key, job.requestHash);
      if (claimed === undefined) {
        return false;
      }
      if (claimed.state.state !== 'not-run' && (await this.joinClaimed(job, claimed.value, res))) {
        return true;
      }
      // That attempt is proved not to have run, so the next one may be claimed.
      job.attempt += 1;
    }
  }

  private async joinClaimed(
    job: Job,
    value: requests.ClaimValue,
    res: http.ServerResponse,
  ): Promise<boolean> {
    const { cfg, decisions, grants } = this.parts;
    const upstream = grants.findUpstream(value.upstreamId);
    const { team } = job;
    decisions.note({
      decision: 'join',
      request: value.call,
      team: team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: value.upstreamId,
      reason: 'same idempotency key',
    });
    if (upstream === undefined) {
      throw createRefusal('claimLost', 'unknown');
    }
    const isConnected = await this.takeOver(value);
    const body = await this.findOut(upstream, value.call).catch((err: unknown) => {
      if (err instanceof requests.UpstreamError && err.kind === 'refused') {
        return undefined;
      }
      throw createRefusal('claimLost', 'unknown', err);
    });
    if (body === undefined) {
      return false;
    }
    const task: relayFlows.RelayTask = {
      call: value.call,
      generation: value.call,
      team: team.name,
      model: job.body.model,
      upstream,
      from: 0,
      body,
      mayCancel: !isConnected,
    };
    if (job.body.stream) {
      await this.relays.stream(task, res);
      return true;
    }
    return this.answerWhole({ ...job, isRepeatable: false }, task, res);
  }

  /** Tells the daemon that began a call that another caller takes it too. */
  private async takeOver(value: requests.ClaimValue): Promise<boolean> {
    const { adoptions, cfg, mesh } = this.parts;
    if (value.daemonId === cfg.daemonId) {
      return adoptions.adopt(value.call).isConnected;
    }
    const peer = mesh.getAt(value.daemonId, value);
    const answer = await peer.adopt.mutate({ generation: value.call }).catch(() => undefined);
    return answer?.isConnected ?? false;
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

  private createJob(
    req: http.IncomingMessage,
    team: schemas.Team,
    body: completionBodies.CompletionBody,
    raw: Buffer,
    path: string,
  ): Job {
    const { cfg, store } = this.parts;
    const intent = store
      .get()
      .declaration.intents.filter((item) => item.model === body.model)
      .filter((item) => item.availabilityZones.includes(cfg.availabilityZone))
      .find((item) => item.teams.includes(team.name));
    if (intent === undefined) {
      throw new schemas.Refusal({
        id: 'noModel',
        step: 'find-intent',
        status: 404,
        outcome: 'not-run',
        args: [body.model, team.name, cfg.availabilityZone],
        param: 'model',
      });
    }
    const wantedClass = req.headers[schemas.CLASS_HEADER];
    const measured = completionBodies.measureBody(body, wantedClass?.toString());
    return {
      team,
      intent,
      body,
      measured,
      path,
      isChat: path.includes('/chat/'),
      key: req.headers['idempotency-key']?.toString().slice(0, MAX_KEY_CHARS),
      requestHash: schemas.getSha256(raw.toString('utf8')).slice(0, 32),
      isRepeatable: req.headers[schemas.REPEATABLE_HEADER] !== 'no',
      excluded: [],
      attempt: 0,
    };
  }

  private createCall(): string {
    this.counter += 1;
    return `${this.parts.callPrefix}${this.counter.toString(36)}`;
  }
}

function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause?: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? RETRY_AFTER_S : undefined;
  return new schemas.Refusal({ id, step: 'dispatch', status, outcome, cause, retryAfterS });
}
