import type * as members from '@bramleyridge/members';
import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as peerRouters from './peer-router.js';

/** Interval between two checks for timed-out requests and silent daemons, in milliseconds. */
const TICK_INTERVAL_MS = 100;

/** Time after which a queued request is answered with `isPending`, in milliseconds. */
const MAX_GRANT_WAIT_MS = 1_000;

/** Time without a repeated request after which a queued request is withdrawn, in milliseconds. */
const ABANDON_AFTER_MS = 4_000;

/** Number of load polls between two reads of upstreams that do not serve the pool's model. */
const DISCOVERY_INTERVAL_ROUNDS = 4;

/** Number of consecutive failed load reports after which an upstream gets no new work. */
const MAX_FAILED_REPORTS = 4;

/** Time for which an upstream that refused gets no new work, in milliseconds. */
const REFUSAL_BACKOFF_MS = 5_000;

interface PendingGrant {
  decision: routing.GrantDecision | undefined;
  lastRequestedAt: number;
  readonly changed: schemas.ChangeSignal;
}

interface Pool {
  readonly owner: routing.PoolOwner;
  readonly pendingGrants: Map<string, PendingGrant>;
  readonly servedVersions: Map<string, readonly string[]>;
  readonly failedReports: Map<string, number>;
  /** The sequence number of the next cache event, by upstream. */
  readonly nextCacheEvent: Map<string, number>;
  /** When an upstream last refused work or reported that it is leaving, by upstream. */
  readonly refusedAt: Map<string, number>;
  firstPoll: Promise<void>;
  polls: number;
  /** Whether the loads of all engines have been read once. */
  hasPolled: boolean;
}

/** Dependencies of the pool manager. */
export interface PoolManagerOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly view: members.ZoneView;
  readonly store: members.ConfigurationStore;
  readonly engines: requests.EngineClient;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Manages the pools that this daemon owns: their queues, capacity ledgers and load polling. */
export class PoolManager {
  private readonly pools = new Map<string, Pool>();
  private isStopped = false;

  public constructor(private readonly options: PoolManagerOptions) {}

  /** Runs until stopped. */
  public async run(): Promise<void> {
    const { cfg, clock } = this.options;
    const ticksPerReport = Math.max(1, Math.round(cfg.timings.reportMs / TICK_INTERVAL_MS));
    for (let i = 0; !this.isStopped; i += 1) {
      await clock.sleep(TICK_INTERVAL_MS);
      this.pools.forEach((pool, model) => {
        this.tick(model, pool);
        if (i % ticksPerReport === 0) {
          schemas.runInBackground(() => this.pollLoads(model, pool), {
            log: this.options.log,
            step: 'poll-loads',
          });
        }
      });
    }
  }

  /** Stops the tasks and closes the queues, so that waiting requests go to the next owner. */
  public stop(): void {
    this.isStopped = true;
    this.pools.forEach((pool) => pool.owner.close());
  }

  /**
   * Handles one capacity request; the same generation may repeat its request while it is queued.
   */
  public async grant(model: string, req: routing.GrantRequest): Promise<peerRouters.GrantResult> {
    const pool = this.getPool(model);
    await pool.firstPoll;
    const { clock } = this.options;
    const existing = pool.pendingGrants.get(req.generation);
    const pending = existing ?? {
      decision: undefined,
      lastRequestedAt: 0,
      changed: new schemas.ChangeSignal(),
    };
    pending.lastRequestedAt = clock.now();
    if (existing === undefined) {
      pool.pendingGrants.set(req.generation, pending);
      this.applyDirectory(model, pool);
      pool.owner.request(req, (decision) => {
        pending.decision = decision;
        pending.changed.notify();
      });
    }
    if (pending.decision === undefined) {
      await pending.changed.wait(clock, MAX_GRANT_WAIT_MS);
    }
    if (pending.decision !== undefined) {
      pool.pendingGrants.delete(req.generation);
    }
    return this.createResult(model, pool, pending.decision);
  }

  /** Applies a daemon's report on its generations. */
  public applyReport(report: peerRouters.PoolReport): void {
    const { daemonId, finished, model, prefix, tokens } = report;
    const { owner, refusedAt } = this.getPool(model);
    report.registered.forEach((item) => owner.register(item));
    report.leaving.forEach((id) => {
      refusedAt.set(id, this.options.clock.now());
      owner.markLeaving(id);
    });
    // Before the ends, which may have another one sent there.
    report.unanswered?.forEach((id) => owner.recordUnanswered(id, daemonId));
    for (const [number = 0, count = 0, isNatural = 0] of splitGroups(finished, 3)) {
      owner.finish(`${prefix}${number.toString(36)}`, count, isNatural === 1);
    }
    if (report.isWhole) {
      const progress = [...splitGroups(tokens, 2)].map(
        ([number = 0, count = 0]): [string, number] => [`${prefix}${number.toString(36)}`, count],
      );
      owner.applyProgress({ daemonId, tokens: progress });
    }
  }

  private getPool(model: string): Pool {
    const existing = this.pools.get(model);
    if (existing !== undefined) {
      return existing;
    }
    const pool: Pool = {
      owner: this.createOwner(model),
      pendingGrants: new Map(),
      servedVersions: new Map(),
      failedReports: new Map(),
      nextCacheEvent: new Map(),
      refusedAt: new Map(),
      firstPoll: Promise.resolve(),
      polls: 0,
      hasPolled: false,
    };
    this.pools.set(model, pool);
    pool.firstPoll = this.pollLoads(model, pool).catch((err: unknown) => {
      this.logFailure(model, 'first-poll', err);
    });
    return pool;
  }

  /** Checks one pool for timed-out requests and silent daemons; a failure concerns this pool only. */
  private tick(model: string, pool: Pool): void {
    try {
      this.withdrawAbandoned(pool);
      this.applyDirectory(model, pool);
      pool.owner.tick();
    } catch (err) {
      this.logFailure(model, 'tick', err);
    }
  }

  private logFailure(model: string, task: string, err: unknown): void {
    this.options.log.error({ event: 'task-failed', task, model, ...schemas.describeError(err) });
  }

  private createOwner(model: string): routing.PoolOwner {
    const { clock, store, view } = this.options;
    const intents = this.listIntents(model);
    const risks = intents.map((intent) => intent.overflowRisk);
    return new routing.PoolOwner({
      clock,
      overflowRisk: Math.min(...risks, 0.5),
      capacityTokens: intents.reduce((sum, intent) => sum + intent.room, 0) || Infinity,
      countDaemons: () =>
        view.getDirectory().members.filter(({ state }) => state === 'live').length,
      getShare: (name) => {
        const team = store.get().declaration.teams.find((item) => item.name === name);
        return team ?? { weight: 1, maxConcurrent: 1, maxQueued: 0 };
      },
    });
  }

  private listIntents(model: string): schemas.Intent[] {
    const { cfg, store } = this.options;
    return store
      .get()
      .declaration.intents.filter((intent) => intent.model === model)
      .filter((intent) => intent.availabilityZones.includes(cfg.availabilityZone));
  }

  /**
   * Reads the load of the pool's engines, and periodically that of engines not serving its model
   * yet.
   */
  private async pollLoads(model: string, pool: Pool): Promise<void> {
    pool.polls += 1;
    const isDiscovery = pool.polls % DISCOVERY_INTERVAL_ROUNDS === 1;
    const due = this.listEngines().filter(
      (item) => isDiscovery || (pool.servedVersions.get(item.upstreamId)?.length ?? 0) > 0,
    );
    await Promise.all(due.map((upstream) => this.readLoad(model, pool, upstream)));
    pool.hasPolled = true;
    this.applyDirectory(model, pool);
  }

  /**
   * Sets which engines serve the pool and which of them leave, as the directory states it now. A poll takes as long as the
   * slowest engine, and what was listed when it began may no longer hold.
   */
  private applyDirectory(model: string, pool: Pool): void {
    if (!pool.hasPolled) {
      return;
    }
    const versions = this.listIntents(model).map((intent) => intent.version);
    const usable = selectServingEngines(this.listEngines(), pool.servedVersions, versions);
    pool.owner.setUpstreams(
      usable.map(({ upstreamId, state }) => ({
        upstreamId,
        isLeaving: state === 'leaving' || this.isBackedOff(pool, upstreamId),
      })),
    );
  }

  private listEngines(): schemas.Upstream[] {
    return this.options.view.getDirectory().upstreams.filter((item) => item.kind === 'engine');
  }

  /**
   * A refusal may be the first sign that an upstream is leaving. Unless it refuses again, the
   * upstream gets work again after the backoff.
   */
  private isBackedOff(pool: Pool, upstreamId: string): boolean {
    const refusedAt = pool.refusedAt.get(upstreamId) ?? -Infinity;
    const isRefusing = this.options.clock.now() - refusedAt < REFUSAL_BACKOFF_MS;
    return isRefusing || (pool.failedReports.get(upstreamId) ?? 0) >= MAX_FAILED_REPORTS;
  }

  private async readLoad(model: string, pool: Pool, upstream: schemas.Upstream): Promise<void> {
    const { engines } = this.options;
    const { upstreamId } = upstream;
    try {
      const report = schemas.parse(
        schemas.loadReport,
        await engines.getJson(
          upstream,
          `/load?cacheSince=${pool.nextCacheEvent.get(upstreamId) ?? 0}`,
        ),
        'load-report',
      );
      const versions = report.models.filter((item) => item.model === model);
      pool.servedVersions.set(
        upstreamId,
        versions.map((item) => item.version),
      );
      pool.failedReports.delete(upstreamId);
      if (report.state === 'leaving') {
        pool.refusedAt.set(upstreamId, this.options.clock.now());
      }
      this.applyCacheEvents(pool, upstreamId, report.cache);
      pool.owner.applyReport(upstreamId, report);
    } catch (err) {
      pool.failedReports.set(upstreamId, (pool.failedReports.get(upstreamId) ?? 0) + 1);
      const { message } = schemas.toError(err);
      this.options.log.debug({ step: 'load-report', peer: upstreamId, err: message });
    }
  }

  private applyCacheEvents(
    pool: Pool,
    upstreamId: string,
    cache: schemas.LoadReport['cache'],
  ): void {
    if (cache === undefined) {
      return;
    }
    const { affinity } = pool.owner;
    // Events that were missed may include the removal of any prefix, so all entries of the upstream
    // are dropped.
    if (cache.first > (pool.nextCacheEvent.get(upstreamId) ?? 0)) {
      affinity.forget(upstreamId);
    }
    pool.nextCacheEvent.set(upstreamId, cache.first + cache.events.length);
    cache.events.forEach(({ isStored, prefix }) => {
      if (isStored) {
        affinity.add(prefix, upstreamId, this.options.clock.now());
      } else {
        affinity.remove(prefix, upstreamId);
      }
    });
  }

  private createResult(
    model: string,
    pool: Pool,
    decision: routing.GrantDecision | undefined,
  ): peerRouters.GrantResult {
    if (decision === undefined) {
      return { isPending: true, reason: 'queued', queuedMs: 0, pressure: 0, retryAfterS: 0 };
    }
    const versions = pool.servedVersions.get(decision.upstreamId ?? '') ?? [];
    const declared = this.listIntents(model).find((intent) => versions.includes(intent.version));
    return { isPending: false, ...decision, version: declared?.version ?? versions[0] };
  }

  private withdrawAbandoned(pool: Pool): void {
    const now = this.options.clock.now();
    pool.pendingGrants.forEach((pending, generation) => {
      if (now - pending.lastRequestedAt < ABANDON_AFTER_MS) {
        return;
      }
      pool.pendingGrants.delete(generation);
      pool.owner.withdraw(generation);
      if (pending.decision?.upstreamId !== undefined) {
        pool.owner.finish(generation, 0, false);
      }
    });
  }
}

/**
 * Selects the engines with a declared version. While none has one, selects the engines with any
 * version, so that the model stays available.
 */
function selectServingEngines(
  engines: readonly schemas.Upstream[],
  servedVersions: ReadonlyMap<string, readonly string[]>,
  versions: readonly string[],
): schemas.Upstream[] {
  const serving = engines.filter((item) => (servedVersions.get(item.upstreamId)?.length ?? 0) > 0);
  const declared = serving.filter((item) =>
    servedVersions.get(item.upstreamId)?.some((version) => versions.includes(version)),
  );
  return declared.length > 0 ? declared : serving;
}

function* splitGroups(flat: readonly number[], size: number): Generator<readonly number[]> {
  for (let at = 0; at < flat.length; at += size) {
    yield flat.slice(at, at + size);
  }
}
