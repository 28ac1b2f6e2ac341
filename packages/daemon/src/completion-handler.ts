import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import * as completionCollectors from './completion-collector.js';
import * as completionDispatchers from './completion-dispatcher.js';
import * as completionJobs from './completion-job.js';
import type * as generationRelays from './generation-relay.js';
import type * as handlerContexts from './handler-context.js';
import * as teamPlaces from './team-place.js';

/** Retry-After of a response whose generation was lost, in seconds. */
const RETRY_AFTER_S = 2;

type Job = completionJobs.CompletionJob;

/**
 * Handles completion requests: authentication, zone check, join of an earlier call with the same
 * key, dispatch, relay.
 */
export class CompletionHandler {
  private readonly dispatcher: completionDispatchers.CompletionDispatcher;

  public constructor(
    private readonly context: handlerContexts.HandlerContext,
    private readonly relay: generationRelays.GenerationRelay,
  ) {
    this.dispatcher = new completionDispatchers.CompletionDispatcher(context);
  }

  /** Handles one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    path: string,
  ): Promise<void> {
    const { access, budget, cfg, held } = this.context;
    const team = access.authenticate(req);
    access.checkZoneAllowed(team, path);
    const raw = await requests.readHeldBody(req, res, cfg.limits, held);
    const body = requests.parseJson(completionBodies.completionBody, raw);
    const job = completionJobs.createJob(this.context, req, team, body, raw, path);
    budget.recordRequest();
    await this.context.guard.admit(job.subject);
    if (job.key !== undefined && (await this.joinClaimedCall(job, res))) {
      return;
    }
    await this.run(job, res);
  }

  private async run(job: Job, res: http.ServerResponse): Promise<void> {
    for (;;) {
      const task = await this.dispatcher.dispatch(job, res).catch((err: unknown) => {
        // The error only proves that this attempt did not run; earlier attempts of the request did
        // run.
        throw job.endedEngines > 0 ? createGenerationGone(err) : err;
      });
      if (task === undefined) {
        if (await this.joinClaimedCall(job, res)) {
          return;
        }
        continue;
      }
      if (job.body.stream) {
        await this.relay.stream(task, res);
        return;
      }
      if (await this.respondWhole(job, task, res)) {
        return;
      }
    }
  }

  /**
   * Sends the response in one piece; resolves to false when the generation is gone and may be
   * retried.
   */
  private async respondWhole(
    job: Job,
    task: generationRelays.RelayTask,
    res: http.ServerResponse,
  ): Promise<boolean> {
    const { budget } = this.context;
    const { generation } = task;
    const collector = new completionCollectors.CompletionCollector(
      generation,
      job.isChat,
      job.estimate.promptTokens,
    );
    const end = await this.relay.collect(task, res, (bytes) => collector.add(bytes));
    if (res.destroyed) {
      return true;
    }
    const headers = { [schemas.GENERATION_HEADER]: generation };
    if (end.outcome === 'complete') {
      const outcome = { [schemas.OUTCOME_HEADER]: 'complete' };
      requests.sendJson(res, 200, collector.createResponse(end), { ...headers, ...outcome });
      return true;
    }
    // No output was delivered, so a retry cannot mix the text of two generations. It is only
    // allowed when the lost generation can no longer be running.
    const isGone = end.err?.kind === 'gone' || end.err?.isConnectionRefused() === true;
    job.endedEngines += isGone ? 1 : 0;
    if (isGone && completionJobs.mayRepeat(job) && budget.take()) {
      job.excluded.push(task.upstream.upstreamId);
      return false;
    }
    throw createGenerationGone(end.err);
  }

  /**
   * Joins the call that holds the key of this request; resolves to false when the key is free at
   * `job.attempt`.
   */
  private async joinClaimedCall(job: Job, res: http.ServerResponse): Promise<boolean> {
    const { claims } = this.context;
    for (;;) {
      const key = claims.createKey(job.team.name, job.key ?? '', job.attempt);
      const existing = await claims.find(key, job.requestHash);
      if (existing === undefined) {
        return false;
      }
      if (existing.state.state !== 'not-run' && (await this.joinCall(job, existing.value, res))) {
        return true;
      }
      // The claimed attempt certainly did not run, so the key of the next attempt may be claimed.
      job.attempt += 1;
    }
  }

  private async joinCall(
    job: Job,
    value: requests.ClaimValue,
    res: http.ServerResponse,
  ): Promise<boolean> {
    const { cfg, decisions, poolClient } = this.context;
    const upstream = poolClient.findUpstream(value.upstreamId);
    const { team } = job;
    decisions.record({
      decision: 'join',
      request: value.call,
      team: team.name,
      availabilityZone: cfg.availabilityZone,
      upstream: value.upstreamId,
      reason: 'same idempotency key',
    });
    if (upstream === undefined) {
      throw completionDispatchers.createRefusal('claimLost', 'unknown');
    }
    const isConnected = await this.adopt(value);
    const place = teamPlaces.createTeamPlace(team);
    // Which process the call was sent to is not known here, and it may have sent events.
    const body = await this.dispatcher
      .resolveLostStart(upstream, value.call, place, undefined)
      .catch((err: unknown) => {
        throw completionDispatchers.createRefusal('claimLost', 'unknown', err);
      });
    const task: generationRelays.RelayTask = {
      call: value.call,
      generation: value.call,
      team: team.name,
      model: job.body.model,
      place,
      upstream,
      from: 0,
      body,
      mayCancel: !isConnected,
    };
    if (job.body.stream) {
      await this.relay.stream(task, res);
      return true;
    }
    return this.respondWhole({ ...job, isRepeatable: false }, task, res);
  }

  /**
   * Notifies the daemon that started a call that another caller receives it too; resolves to
   * whether the first caller is still connected.
   */
  private async adopt(value: requests.ClaimValue): Promise<boolean> {
    const { adoptions, cfg, mesh } = this.context;
    if (value.daemonId === cfg.daemonId) {
      return adoptions.adopt(value.call).isConnected;
    }
    const peer = mesh.getAt(value.daemonId, value);
    const answer = await peer.adopt.mutate({ generation: value.call }).catch(() => undefined);
    return answer?.isConnected ?? false;
  }
}

function createGenerationGone(cause: unknown): schemas.Refusal {
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
