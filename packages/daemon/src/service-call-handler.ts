import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as checks from './check-stays.js';
import type * as handlerContexts from './handler-context.js';
import * as recentFailures from './recent-failures.js';
import * as serviceLoads from './service-loads.js';
import * as teamPlaces from './team-place.js';

/** Methods that HTTP defines as idempotent. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

interface Job {
  readonly team: schemas.Team;
  readonly service: string;
  readonly call: requests.ServiceCall;
  /** Returns whether it may be repeated by a declaration of its service. */
  readonly isRepeatableBy: (service: schemas.Service) => boolean;
  readonly key: string | undefined;
  readonly requestHash: string;
  /** Identifies it among the calls that may make upstreams exit. */
  readonly subject: requests.RunSubject;
  readonly excluded: Set<string>;
  attempt: number;
}

/** Handles calls to services that are not engines. */
export class ServiceCallHandler {
  private callCounter = 0;
  private readonly loads: serviceLoads.ServiceLoads;
  private readonly failures: recentFailures.RecentFailures;

  public constructor(private readonly context: handlerContexts.HandlerContext) {
    const { cfg, clock, random } = context;
    this.loads = new serviceLoads.ServiceLoads(clock, random);
    this.failures = new recentFailures.RecentFailures(clock, cfg.limits.upstreamSilenceMs);
  }

  /** Handles one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    name: string,
    path: string,
  ): Promise<void> {
    const { access, budget, cfg, held } = this.context;
    const team = access.authenticate(req);
    access.checkZoneAllowed(team, `/services/${name}${path}`);
    const service = this.findService(name);
    const body = await requests.readHeldBody(req, res, cfg.limits, held);
    budget.recordRequest();
    const job = createJob(req, team, service, path, body);
    const answer = (await this.joinClaimedCall(job)) ?? (await this.run(job, res));
    res.writeHead(answer.status, {
      ...answer.headers,
      [schemas.OUTCOME_HEADER]: 'complete',
      'content-length': answer.body.length,
    });
    res.end(answer.body);
  }

  private async run(job: Job, res: http.ServerResponse): Promise<requests.StoredResponse> {
    const { budget } = this.context;
    const isRepeatable = () => this.isRepeatable(job);
    return requests.runAttempts(
      { isRepeatable, maxRuns: Infinity, budget },
      {
        choose: () => this.choosePermitted(job, res),
        attempt: (upstream) => this.attempt(job, upstream),
        isFailure: () => false,
        recordFailure: (upstream) => job.excluded.add(upstream.upstreamId),
      },
    );
  }

  /** Returns whether a call may be repeated, both by the declaration under which it began and by the one now. */
  private isRepeatable({ call, isRepeatableBy, service }: Job): boolean {
    const current = this.findDeclared(service);
    return call.isRepeatable && (current === undefined || isRepeatableBy(current));
  }

  /** Runs one attempt; resolves to undefined when another call holds the key but did not run. */
  private async attempt(
    job: Job,
    upstream: schemas.Upstream,
  ): Promise<requests.StoredResponse | undefined> {
    const { calls, clock, services, view } = this.context;
    const call = this.createCall();
    if (job.key !== undefined && !(await this.claim(job, call, upstream))) {
      return this.joinClaimedCall(job);
    }
    this.recordDecision(job, call, upstream, 'chosen');
    const release = this.loads.track(upstream.upstreamId);
    const sentAt = clock.now();
    try {
      checks.checkStays(view, upstream);
      const answer = await services.send(upstream, job.call);
      calls.set(call, { state: 'done', answer });
      release(true);
      this.context.guard.recordServed(job.subject);
      return answer;
    } catch (err) {
      const failure = this.settleFailure(job, call, upstream, { err, sentAt });
      release(failure.hasAnswer());
      throw failure;
    }
  }

  private async claim(job: Job, call: string, upstream: schemas.Upstream): Promise<boolean> {
    const { calls, claims } = this.context;
    calls.open(call, job.team.name);
    const key = claims.createKey(job.team.name, job.key ?? '', job.attempt);
    const value = await claims.claim(key, call, upstream.upstreamId, job.requestHash);
    if (value.call !== call) {
      calls.set(call, { state: 'not-run' });
    }
    return value.call === call;
  }

  private settleFailure(
    job: Job,
    call: string,
    upstream: schemas.Upstream,
    { err, sentAt }: { readonly err: unknown; readonly sentAt: number },
  ): requests.UpstreamError {
    const failure = requests.createUpstreamError(err, 'service', upstream.upstreamId);
    this.recordDecision(job, call, upstream, failure.kind);
    const didNotRun = failure.kind !== 'lost';
    if (didNotRun) {
      this.context.guard.recordNotRun(job.subject);
    } else {
      this.context.guard.recordLost(job.subject, upstream, { sentAt });
    }
    this.context.calls.set(call, { state: didNotRun ? 'not-run' : 'lost' });
    if (didNotRun) {
      this.failures.record(upstream.upstreamId, failure.kind);
    }
    job.attempt += didNotRun ? 1 : 0;
    return failure;
  }

  /**
   * Resolves to the answer of the call that holds the key of this request; undefined when the key
   * is free.
   */
  private async joinClaimedCall(job: Job): Promise<requests.StoredResponse | undefined> {
    const { claims } = this.context;
    while (job.key !== undefined) {
      const key = claims.createKey(job.team.name, job.key, job.attempt);
      const claimed = await claims.find(key, job.requestHash);
      if (claimed === undefined) {
        return undefined;
      }
      if (claimed.state.state === 'done') {
        return claimed.state.answer;
      }
      // The claiming daemon failed or lost the answer, so it cannot be determined whether the
      // service ran the call.
      if (claimed.state.state !== 'not-run') {
        throw createRefusal('claimLost', 'unknown');
      }
      job.attempt += 1;
    }
    return undefined;
  }

  private async choosePermitted(job: Job, res: http.ServerResponse): Promise<schemas.Upstream> {
    const upstream = this.choose(job);
    await this.context.guard.permit(job.subject, upstream.upstreamId);
    this.context.stop.send(res);
    return upstream;
  }

  private choose(job: Job): schemas.Upstream {
    const { cfg, gate, view } = this.context;
    const listed = view
      .getDirectory()
      .upstreams.filter((item) => item.service === job.service && item.state === 'live')
      .filter((item) => !gate.isLeaving(item));
    const candidates = this.failures.select(
      listed.filter((item) => !job.excluded.has(item.upstreamId) && gate.isOpen(item)),
    );
    if (listed.length > 0 && listed.every((item) => !gate.isOpen(item))) {
      const { reason, retryAfterS } = gate.describeWait(listed);
      throw new schemas.Refusal({
        id: reason === 'rest' ? 'resting' : 'rateLimited',
        step: 'choose',
        status: 503,
        outcome: 'not-run',
        args: [job.service],
        retryAfterS,
      });
    }
    const chosen = this.loads.choose(candidates);
    if (chosen === undefined) {
      throw new schemas.Refusal({
        id: 'noUpstream',
        step: 'choose',
        status: 503,
        outcome: 'not-run',
        args: [job.service, cfg.availabilityZone],
        retryAfterS: 1,
      });
    }
    return chosen;
  }

  private findDeclared(name: string): schemas.Service | undefined {
    const { cfg, store } = this.context;
    return store
      .get()
      .declaration.services.filter((item) => item.name === name)
      .find((item) => item.availabilityZones.includes(cfg.availabilityZone));
  }

  private findService(name: string): schemas.Service {
    const { cfg } = this.context;
    const service = this.findDeclared(name);
    if (service === undefined) {
      throw new schemas.Refusal({
        id: 'noService',
        step: 'find-service',
        status: 404,
        outcome: 'not-run',
        args: [name, cfg.availabilityZone],
      });
    }
    return service;
  }

  private recordDecision(job: Job, call: string, upstream: schemas.Upstream, reason: string): void {
    this.context.decisions.record({
      decision: 'service',
      request: call,
      team: job.team.name,
      availabilityZone: this.context.cfg.availabilityZone,
      upstream: upstream.upstreamId,
      reason,
      outstanding: this.loads.count(upstream.upstreamId),
      isRepeatable: job.call.isRepeatable,
    });
  }

  private createCall(): string {
    this.callCounter += 1;
    return `${this.context.callPrefix}s${this.callCounter.toString(36)}`;
  }
}

function createJob(
  req: http.IncomingMessage,
  team: schemas.Team,
  service: schemas.Service,
  path: string,
  body: Buffer,
): Job {
  const method = req.method ?? 'GET';
  const isRepeatableBy = (declared: schemas.Service) =>
    isCallRepeatable(req, declared, method, path);
  const isRepeatable = isRepeatableBy(service);
  const headers = Object.fromEntries(
    Object.entries(req.headers).map(([name, value]) => [name, String(value)]),
  );
  const requestHash = schemas
    .getSha256(`${method} ${path}\n${body.toString('base64')}`)
    .slice(0, 32);
  return {
    team,
    service: service.name,
    call: { method, path, headers, body, isRepeatable, place: teamPlaces.createTeamPlace(team) },
    isRepeatableBy,
    key: req.headers['idempotency-key']?.toString(),
    requestHash,
    subject: {
      requestId: requestHash,
      getDigest: () => schemas.getContentHash([service.name, team.name, requestHash]),
      listPartIds: () => [],
    },
    excluded: new Set(),
    attempt: 0,
  };
}

/**
 * Returns whether a call may be repeated. The caller's header takes precedence over the
 * declaration, and the declaration over the definition of the method.
 */
function isCallRepeatable(
  req: http.IncomingMessage,
  service: schemas.Service,
  method: string,
  path: string,
): boolean {
  const header = req.headers[schemas.REPEATABLE_HEADER];
  if (header !== undefined) {
    return header === 'yes';
  }
  const [pathname] = path.split('?');
  const isDeclared = service.notRepeatable.some(
    (rule) =>
      rule.method === method && (pathname === rule.path || pathname?.startsWith(`${rule.path}/`)),
  );
  return !isDeclared && IDEMPOTENT_METHODS.has(method);
}

function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause?: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? 1 : undefined;
  return new schemas.Refusal({ id, step: 'service', status, outcome, cause, retryAfterS });
}
