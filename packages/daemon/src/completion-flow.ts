import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import * as dispatches from './completion-dispatch.js';
import * as completionJobs from './completion-job.js';
import type * as parts from './parts.js';
import type * as relayFlows from './relay-flow.js';
import * as wholeAnswers from './whole-answer.js';

/** What a caller is told to wait when its generation was lost, in seconds. */
const RETRY_AFTER_S = 2;

type Job = completionJobs.CompletionJob;

/**
 * How many engines may end under one generation. Two in a row have most likely ended for what it asks of them, and each
 * takes with it all else that it runs.
 */
const MOST_ENDED = 2;

/** The flow of a completion: who asks, may it be here, was it asked before, where is room, pass it on. */
export class CompletionFlow {
  private readonly dispatch: dispatches.CompletionDispatch;

  public constructor(
    private readonly parts: parts.Parts,
    private readonly relays: relayFlows.RelayFlow,
  ) {
    this.dispatch = new dispatches.CompletionDispatch(parts);
  }

  /** Serves one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    path: string,
  ): Promise<void> {
    const { access, budget, cfg } = this.parts;
    const team = access.authenticate(req);
    access.checkPlace(team, path);
    const raw = await requests.readBody(req, cfg.limits);
    const body = requests.parseJson(completionBodies.completionBody, raw);
    const job = completionJobs.createJob(this.parts, req, team, body, raw, path);
    budget.noteRequest();
    if (job.key !== undefined && (await this.join(job, res))) {
      return;
    }
    await this.run(job, res);
  }

  private async run(job: Job, res: http.ServerResponse): Promise<void> {
    for (;;) {
      const task = await this.dispatch.dispatch(job, res).catch((err: unknown) => {
        // That there is no engine left says of this try that it did not run; the ones before it did.
        throw job.ended > 0 ? createGone(err) : err;
      });
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
      requests.sendJson(res, 200, answer.create(end), { ...headers, ...outcome });
      return true;
    }
    // Nothing was delivered, so a new generation is no splice; but only when the former can't still run.
    const isOver = end.err?.kind === 'gone' || end.err?.isConnectionRefused() === true;
    job.ended += isOver ? 1 : 0;
    const mayRunAgain = job.isRepeatable && job.key === undefined && job.ended < MOST_ENDED;
    if (isOver && mayRunAgain && budget.take()) {
      job.excluded.push(task.upstream.upstreamId);
      return false;
    }
    throw createGone(end.err);
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
      throw dispatches.createRefusal('claimLost', 'unknown');
    }
    const isConnected = await this.takeOver(value);
    const body = await this.dispatch.findOut(upstream, value.call).catch((err: unknown) => {
      if (err instanceof requests.UpstreamError && err.kind === 'refused') {
        return undefined;
      }
      throw dispatches.createRefusal('claimLost', 'unknown', err);
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
}

function createGone(cause: unknown): schemas.Refusal {
  return new schemas.Refusal({
    id: 'generationGone',
    step: 'relay',
    status: 502,
    outcome: 'incomplete',
    args: [0],
    cause,
    retryAfterS: RETRY_AFTER_S,
  });
}
