import type * as members from '@bramleyridge/members';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as peerMeshes from './peer-mesh.js';
import * as peerRouters from './peer-router.js';
import type * as poolManagers from './pool-manager.js';
import * as runRounds from './run-rounds.js';
import * as serviceLoads from './service-loads.js';

/** Interval between two full progress reports to owners, in milliseconds. */
const PROGRESS_INTERVAL_MS = 2_000;

/** Deadline of one capacity request, in milliseconds: the owner's longest wait and a margin. */
const GRANT_DEADLINE_MS = 2_000;

/** Number of failed requests to the owner after which this daemon chooses an upstream itself. */
const MAX_OWNER_FAILURES = 3;

/** Pause between two requests to the owner, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/**
 * Maximum number of this daemon's generations on one upstream that it chooses without the owner.
 */
const MAX_FALLBACK_GENERATIONS = 4;

/** Granted capacity on an upstream, to be returned with `release`. */
export interface CapacityGrant {
  readonly upstream: schemas.Upstream;
  readonly version: string;
  readonly reason: string;
  readonly queuedMs: number;
  readonly pressure: number;
}

interface ActiveGeneration {
  readonly model: string;
  readonly registration: routing.RunningGeneration;
  readonly endCall: (hasAnswered: boolean | undefined) => void;
  tokens: number;
  owner: string | undefined;
}

/** Dependencies of the client. */
export interface PoolClientOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly view: members.ZoneView;
  readonly store: members.ConfigurationStore;
  readonly mesh: peerMeshes.PeerMesh;
  readonly poolManager: poolManagers.PoolManager;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  /** The prefix of every call id of this process. */
  readonly callPrefix: string;
}

/**
 * Requests capacity from the owners of pools and reports this daemon's generations to them. Chooses
 * an upstream without the owner when no owner answers.
 */
export class PoolClient {
  private readonly active = new Map<string, ActiveGeneration>();
  private readonly finished = new Map<string, number[]>();
  private readonly leaving = new Map<string, Set<string>>();
  /** Upstreams at which generations got no answer, by model. */
  private readonly unanswered = new Map<string, string[]>();
  private readonly loads: serviceLoads.ServiceLoads;
  private readonly updates = new schemas.ChangeSignal();
  private isStopped = false;

  public constructor(private readonly options: PoolClientOptions) {
    this.loads = new serviceLoads.ServiceLoads(options.clock, options.random);
  }

  /** Reports ends at once, and the progress of all generations periodically, until stopped. */
  public async run(): Promise<void> {
    const { clock } = this.options;
    let nextFullReportAt = clock.now();
    await runRounds.runRounds({
      ...this.options,
      step: 'report-generations',
      isStopped: () => this.isStopped,
      failurePauseMs: RETRY_PAUSE_MS,
      round: async () => {
        await this.updates.wait(clock, Math.max(0, nextFullReportAt - clock.now()));
        const isWhole = clock.now() >= nextFullReportAt;
        nextFullReportAt = isWhole ? clock.now() + PROGRESS_INTERVAL_MS : nextFullReportAt;
        await this.flush(isWhole);
      },
    });
  }

  /** Stops the task. */
  public stop(): void {
    this.isStopped = true;
    this.updates.notify();
  }

  /**
   * Requests capacity until it is granted or refused, and follows the pool when its owner changes.
   */
  public async requestCapacity(
    model: string,
    req: routing.GrantRequest,
    isCallerGone: () => boolean,
  ): Promise<CapacityGrant> {
    const { clock, cfg } = this.options;
    const startedAt = clock.now();
    let failures = 0;
    while (!isCallerGone()) {
      const waitedMs = clock.now() - startedAt;
      const patienceMs = cfg.limits.queueMs - waitedMs;
      const result = await this.requestFromOwner(model, { ...req, waitedMs, patienceMs });
      if (result === undefined) {
        failures += 1;
        if (failures >= MAX_OWNER_FAILURES) {
          return this.chooseWithoutOwner(model, req);
        }
        await clock.sleep(RETRY_PAUSE_MS);
      } else if (!result.isPending && result.reason !== 'no-upstream') {
        return this.accept(model, req, result);
      } else if (patienceMs <= 0) {
        return this.accept(model, req, { ...result, reason: 'patience' });
      } else if (!result.isPending) {
        await clock.sleep(RETRY_PAUSE_MS);
      }
    }
    throw createNoCapacity(req.team, 1);
  }

  /** Records the number of tokens of a generation. */
  public recordProgress(generation: string, tokens: number): void {
    const active = this.active.get(generation);
    if (active !== undefined) {
      active.tokens = tokens;
    }
  }

  /**
   * Returns the capacity of a generation that ended; `hasAnswered` is `undefined` if its end shows nothing about the
   * upstream.
   */
  public release(generation: string, isNatural: boolean, hasAnswered?: boolean): void {
    const active = this.active.get(generation);
    if (active === undefined) {
      return;
    }
    active.endCall(active.tokens > 0 || isNatural || hasAnswered);
    if (hasAnswered === false) {
      const { upstreamId } = active.registration;
      const unanswered = this.unanswered.get(active.model) ?? [];
      this.unanswered.set(active.model, [...unanswered, upstreamId]);
    }
    this.active.delete(generation);
    const list = this.finished.get(active.model) ?? [];
    list.push(getCallNumber(generation), active.tokens, isNatural ? 1 : 0);
    this.finished.set(active.model, list);
    this.updates.notify();
  }

  /** Reports the first sign that an upstream is leaving or dead to the owner. */
  public reportLeaving(model: string, upstreamId: string): void {
    const set = this.leaving.get(model) ?? new Set<string>();
    this.leaving.set(model, set.add(upstreamId));
    this.updates.notify();
  }

  /** Returns the number of generations that this daemon relays. */
  public countActiveGenerations(): number {
    return this.active.size;
  }

  /** Returns the upstream of this zone with the given id. */
  public findUpstream(upstreamId: string): schemas.Upstream | undefined {
    const { upstreams } = this.options.view.getDirectory();
    return upstreams.find((item) => item.upstreamId === upstreamId);
  }

  private async requestFromOwner(
    model: string,
    req: routing.GrantRequest,
  ): Promise<peerRouters.GrantResult | undefined> {
    const { cfg, poolManager, log, mesh, view } = this.options;
    const owner = view.findOwner(model);
    if (owner === undefined) {
      return undefined;
    }
    try {
      if (owner.daemonId === cfg.daemonId) {
        return await poolManager.grant(model, req);
      }
      const answer = await mesh
        .getAt(owner.daemonId, owner)
        .grant.mutate({ model, req }, { context: { deadlineMs: GRANT_DEADLINE_MS } });
      return schemas.parse(peerRouters.grantResult, answer, 'read-grant');
    } catch (err) {
      const { message } = schemas.toError(err);
      log.warn({ step: 'ask-owner', peer: owner.daemonId, err: message });
      return undefined;
    }
  }

  private accept(
    model: string,
    req: routing.GrantRequest,
    result: peerRouters.GrantResult,
  ): CapacityGrant {
    if (result.upstreamId === undefined) {
      throw createRefusal(req, result);
    }
    const upstream = this.findUpstream(result.upstreamId);
    const owner = this.options.view.findOwner(model)?.daemonId;
    this.track(model, req, result.upstreamId, owner);
    if (upstream === undefined) {
      this.release(req.generation, false);
      throw createNoCapacity(req.team, 1);
    }
    const { reason, queuedMs, pressure } = result;
    return { upstream, version: result.version ?? '', reason, queuedMs, pressure };
  }

  /**
   * Chooses an upstream when no owner answers. The load from other daemons is unknown, so the
   * choice is conservative: the less loaded of two random upstreams, with a low maximum for each
   * upstream.
   */
  private chooseWithoutOwner(model: string, req: routing.GrantRequest): CapacityGrant {
    const { store, view, random } = this.options;
    const intent = store.get().declaration.intents.find((item) => item.name === req.intent);
    const candidates = view
      .getDirectory()
      .upstreams.filter((item) => item.kind === 'engine' && item.state === 'live')
      .filter((item) => !req.excluded.includes(item.upstreamId))
      .map((item) => ({
        upstreamId: item.upstreamId,
        outstanding: this.countActiveOn(item.upstreamId),
        estimatedShare: this.countActiveOn(item.upstreamId) / MAX_FALLBACK_GENERATIONS,
      }));
    const proven = candidates.filter(({ upstreamId }) => this.loads.mayReceive(upstreamId));
    const chosen = routing.chooseFallbackUpstream(proven.length > 0 ? proven : candidates, random);
    const upstream = chosen === undefined ? undefined : this.findUpstream(chosen.upstreamId);
    if (upstream === undefined) {
      throw createNoCapacity(req.team, 2);
    }
    this.track(model, req, upstream.upstreamId, undefined);
    return {
      upstream,
      version: intent?.version ?? '',
      reason: 'two-choices',
      queuedMs: 0,
      pressure: chosen?.estimatedShare ?? 0,
    };
  }

  private track(
    model: string,
    req: routing.GrantRequest,
    upstreamId: string,
    owner: string | undefined,
  ): void {
    const registration: routing.RunningGeneration = { ...req, upstreamId, tokens: 0 };
    const endCall = this.loads.track(upstreamId);
    this.active.set(req.generation, { model, registration, endCall, tokens: 0, owner });
  }

  private countActiveOn(upstreamId: string): number {
    return [...this.active.values()].filter((item) => item.registration.upstreamId === upstreamId)
      .length;
  }

  private async flush(isWhole: boolean): Promise<void> {
    const models = new Set([
      ...(isWhole ? [...this.active.values()].map((item) => item.model) : []),
      ...this.finished.keys(),
      ...this.leaving.keys(),
    ]);
    await Promise.all([...models].map((model) => this.flushModel(model, isWhole)));
  }

  private async flushModel(model: string, isWhole: boolean): Promise<void> {
    const { cfg, poolManager, log, mesh, view } = this.options;
    const owner = view.findOwner(model);
    if (owner === undefined) {
      return;
    }
    const own = [...this.active.values()].filter((item) => item.model === model);
    // The capacity ledger is lost when its owner fails. Every daemon registers the generations it
    // relays with the next owner, so the new ledger is complete after one report of each daemon and
    // no upstream is overcommitted.
    const unregistered = own.filter((item) => item.owner !== owner.daemonId);
    const finished = this.finished.get(model) ?? [];
    const leaving = [...(this.leaving.get(model) ?? [])];
    const unanswered = this.unanswered.get(model);
    this.finished.delete(model);
    this.leaving.delete(model);
    this.unanswered.delete(model);
    const report: peerRouters.PoolReport = {
      model,
      daemonId: cfg.daemonId,
      prefix: this.options.callPrefix,
      isWhole,
      tokens: isWhole
        ? own.flatMap((item) => [getCallNumber(item.registration.generation), item.tokens])
        : [],
      finished,
      registered: unregistered.map((item) => ({ ...item.registration, tokens: item.tokens })),
      leaving,
      unanswered,
    };
    try {
      if (owner.daemonId === cfg.daemonId) {
        poolManager.applyReport(report);
      } else {
        await mesh.getAt(owner.daemonId, owner).pool.mutate(report);
      }
      own.forEach((item) => {
        item.owner = owner.daemonId;
      });
    } catch (err) {
      this.finished.set(model, [...finished, ...(this.finished.get(model) ?? [])]);
      log.debug({ step: 'tell-owner', peer: owner.daemonId, err: schemas.toError(err).message });
    }
  }
}

function createRefusal(
  req: routing.GrantRequest,
  result: peerRouters.GrantResult,
): schemas.Refusal {
  const { retryAfterS } = result;
  const common = { step: 'grant', outcome: 'not-run' as const, retryAfterS };
  if (result.reason === 'queue-full') {
    return new schemas.Refusal({
      ...common,
      id: 'queueFull',
      status: 429,
      args: [req.team, 'many'],
    });
  }
  if (result.reason === 'too-many') {
    return new schemas.Refusal({ ...common, id: 'tooMany', status: 429, args: [req.team] });
  }
  return new schemas.Refusal({ ...common, id: 'noRoom', status: 503 });
}

function createNoCapacity(team: string, retryAfterS: number): schemas.Refusal {
  return new schemas.Refusal({
    id: 'noRoom',
    step: 'grant',
    status: 503,
    outcome: 'not-run',
    retryAfterS,
    args: [team],
  });
}

/** Returns the number of a call, the last part of its id. */
function getCallNumber(call: string): number {
  return Number.parseInt(call.slice(call.lastIndexOf('.') + 1), 36);
}
