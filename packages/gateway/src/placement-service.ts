import * as requests from '@bramleyridge/requests';
import type * as routing from '@bramleyridge/routing';
import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';
import * as placementPools from './placement-pool.js';
import type * as teamCallCounters from './team-call-counter.js';

/**
 * Interval at which placement of waiting generations is retried, in milliseconds; an engine prefills 70 tokens
 * meanwhile.
 */
const RETRY_INTERVAL_MS = 20;

/** The leader's share of the calls per second that a cold engine tolerates; the rest is for fallback placement. */
const LEADER_COLD_SHARE = 0.6;

/** Dependencies of the placement service. */
export interface PlacementServiceOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Returns a service of the configuration in force with the properties of its engines. */
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  /** Returns the list of upstreams; undefined until this leader has read one. */
  readonly findUpstreams: () => readonly schemas.ListedUpstream[] | undefined;
  /** Returns whether an availability zone must get no new work; the revision changes with every such change. */
  readonly isEvacuated: (availabilityZone: string) => boolean;
  readonly getEvacuationRevision: () => number;
  /** Multiple of its declared rate that a cold upstream tolerates, and additional calls per second. */
  readonly coldBounds: { readonly coldOverage: number; readonly coldSlack: number };
  /** Weights of teams in shares of scarce capacity. */
  readonly teamWeights: placementPools.ShareWeights;
  /** Limits of the retries that may be granted for one service. */
  readonly retryGrantLimits: requests.RetryGrantLimits;
  /** Returns whether refusals state when the caller may return; by default, they do not. */
  readonly statesReturnTimes?: () => boolean;
  /** Counts the calls of each team while capacity is shared among teams; by default, they are not counted. */
  readonly teamCalls?: teamCallCounters.TeamCallCounter;
  /** Random numbers for these times. */
  readonly random?: () => number;
}

/** Places generations on the leader for all hosts, with one ledger for the pool of engines of each service. */
export class PlacementService {
  private readonly pools = new Map<string, placementPools.PlacementPool>();
  private readonly retryLimiters = new Map<string, requests.RetryGrantLimiter>();
  private term: number | undefined;

  public constructor(private readonly options: PlacementServiceOptions) {}

  /** Places a generation; waits for capacity up to the request's time limit, then reports how full the pool is. */
  public async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    const requestedAt = this.options.clock.now();
    const pool = this.findPool(req.service);
    // A run with a fixed engine is only registered; it needs neither a list nor capacity.
    const needsEngine = req.need.fixedEngineId === undefined;
    // Without a list every pool would look full.
    if (pool === undefined || (needsEngine && !pool.hasList)) {
      return { placed: undefined, waitedMs: 0, isUnknown: true };
    }
    if (!needsEngine) {
      return this.settle(pool, req, requestedAt);
    }
    this.countCall(req, 'asked');
    const res = await this.settle(pool, req, requestedAt);
    this.countCall(req, res.placed === undefined ? 'refused' : 'granted');
    return res;
  }

  private async settle(
    pool: placementPools.PlacementPool,
    req: procedures.PlaceReq,
    requestedAt: number,
  ): Promise<procedures.PlaceRes> {
    const { clock } = this.options;
    const needsEngine = req.need.fixedEngineId === undefined;
    pool.migrations.endMigration(req.need.callId);
    if (needsEngine && !pool.ledger.hasOpenEngine()) {
      return { placed: undefined, waitedMs: 0, full: this.describeFull(pool, req, requestedAt) };
    }
    const placed = await new Promise<routing.Placement | undefined>((resolve) => {
      // A backup of a whole prompt would use the links that migrations need.
      const wantsCopy = req.need.wantsCopy && !pool.migrations.isMigrating();
      const spec = { ...req.need, wantsCopy };
      pool.returnTimes.addWaiting(spec);
      pool.add({
        spec,
        dueAt: requestedAt + req.dueInMs,
        priority: req.rank,
        team: req.team,
        expiresAt: requestedAt + req.patienceMs,
        settle: (settled) => {
          pool.returnTimes.removeWaiting(spec);
          resolve(settled);
        },
      });
      pool.dispatch(this.options.clock.now());
      this.startRetrying(pool, req.service);
    });
    const now = clock.now();
    const full = placed === undefined ? this.describeFull(pool, req, requestedAt) : undefined;
    return { placed, waitedMs: Math.round(now - requestedAt), full };
  }

  /** Waits until a generation is to be migrated and returns the target engine; undefined if the wait ends first. */
  public async awaitMigration(req: procedures.MigrationReq): Promise<procedures.MigrationRes> {
    const { callId, engineId, excluded, patienceMs, service } = req;
    const pool = this.findPool(service);
    if (pool === undefined) {
      return { takerId: undefined };
    }
    const expiresAt = this.options.clock.now() + patienceMs;
    const targetEngineId = await new Promise<string | undefined>((resolve) => {
      pool.migrations.offer({ callId, engineId, excluded, expiresAt, settle: resolve });
      this.startRetrying(pool, service);
    });
    return { takerId: targetEngineId };
  }

  /** Records that a generation has sent its first event, or that it gives up its turn to migrate. */
  public recordEvent({ callId, event, service }: procedures.GenerationEvent): void {
    const pool = this.pools.get(service);
    if (pool === undefined) {
      return;
    }
    if (event === 'begun') {
      pool.ledger.recordFirstEvent(callId, this.options.clock.now());
    } else {
      pool.migrations.endMigration(callId);
      pool.ledger.setBackup(callId, undefined);
    }
    pool.dispatch(this.options.clock.now());
  }

  /** Records the load that an engine states with its answer to a probe. */
  public recordLoad(service: string, engineId: string, load: scheduling.StatedLoad): void {
    const now = this.options.clock.now();
    this.pools.get(service)?.ledger.applySlowdown(engineId, load.slowdown, now);
  }

  /** Records the pace of a stream on its engine. */
  public recordPace({ callId, engineId, service, ...stream }: procedures.PaceReport): void {
    const now = this.options.clock.now();
    this.pools.get(service)?.ledger.recordStream(callId, engineId, stream, now);
  }

  private countCall(
    { rank, service, team }: procedures.PlaceReq,
    result: teamCallCounters.TeamCallResult,
  ): void {
    const { teamCalls, teamWeights } = this.options;
    if (teamWeights.isSharing()) {
      teamCalls?.count({ service, team, priority: rank }, result);
    }
  }

  /** Describes a pool that has no capacity for a generation. */
  private describeFull(
    pool: placementPools.PlacementPool,
    { need, rank }: procedures.PlaceReq,
    requestedAt: number,
  ): procedures.PlaceRes['full'] {
    const now = this.options.clock.now();
    const summary = pool.ledger.getSummary(now);
    if (this.options.statesReturnTimes?.() !== true) {
      return summary;
    }
    const leftMs = need.leftMs - (now - requestedAt);
    const retryAfterMs = pool.returnTimes.reserve({ spec: need, priority: rank, leftMs }, now);
    return { ...summary, retryAfterMs: Math.round(retryAfterMs) };
  }

  private startRetrying(pool: placementPools.PlacementPool, service: string): void {
    const task = { log: this.options.log, step: 'retry-waiting' };
    schemas.runInBackground(() => this.retryWaiting(pool, service), task);
  }

  /** Retries waiting placements and migrations while there are any. */
  private async retryWaiting(pool: placementPools.PlacementPool, service: string): Promise<void> {
    if (pool.isRetrying) {
      return;
    }
    pool.isRetrying = true;
    const { clock, log } = this.options;
    const retry = () => {
      this.findPool(service);
      pool.dispatch(clock.now());
    };
    while (pool.waitingCount > 0 || pool.migrations.size > 0) {
      await clock.sleep(RETRY_INTERVAL_MS);
      await schemas.runRound(retry, { log, step: 'retry-waiting' });
    }
    pool.isRetrying = false;
  }

  /** Removes a generation from the ledger. */
  public release(req: procedures.ReleaseReq): void {
    const pool = this.pools.get(req.service);
    if (pool !== undefined) {
      const now = this.options.clock.now();
      pool.returnTimes.recordFreed(pool.ledger.getTokens(req.callId, now), now);
      const { callId, hasAnswered, hasFailed, hostId = '' } = req;
      pool.ledger.release(callId, hasFailed, now, { hostId, hasAnswered });
      pool.migrations.withdraw(req.callId)?.settle(undefined);
      pool.dispatch(this.options.clock.now());
    }
  }

  /** Returns whether the ledger has generations on an engine. */
  public hasRuns(service: string, engineId: string): boolean {
    return this.pools.get(service)?.ledger.hasRuns(engineId) ?? false;
  }

  /** Grants a retry for a service if the limits allow it. */
  public grantRetry(service: string, grantor: requests.RetryGrantor): boolean {
    const limiter =
      this.retryLimiters.get(service) ??
      new requests.RetryGrantLimiter(this.options.retryGrantLimits);
    this.retryLimiters.set(service, limiter);
    return limiter.grant(grantor, this.options.clock.now());
  }

  /**
   * Starts a term as the leader with empty ledgers; runs of a former leadership have ended or are reported again by
   * their hosts.
   */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.clear();
    }
  }

  /** Clears all ledgers, because another host leads. */
  public clear(): void {
    this.pools.clear();
  }

  /** Returns how many generations per second this leader may place on an engine; the rest is for fallback placement. */
  private getSendLimits(callsPerS: number): routing.LedgerEngine['sendsPerS'] {
    const { coldOverage, coldSlack } = this.options.coldBounds;
    const cold = Math.max(1, Math.floor(callsPerS * LEADER_COLD_SHARE));
    const tolerated = callsPerS * coldOverage + coldSlack;
    return { cold, most: Math.max(cold, Math.floor(tolerated * LEADER_COLD_SHARE)) };
  }

  private findPool(service: string): placementPools.PlacementPool | undefined {
    const { coldCallsPerS, engine } = this.options.findService(service) ?? {};
    if (engine === undefined) {
      return undefined;
    }
    const pool =
      this.pools.get(service) ??
      new placementPools.PlacementPool(
        this.options.teamWeights,
        this.options.random ?? Math.random,
      );
    this.pools.set(service, pool);
    pool.memoryTokens = engine.memoryTokens;
    const listed = this.options.findUpstreams();
    pool.hasList = listed !== undefined;
    const evacuationRevision = this.options.getEvacuationRevision();
    const isSame = pool.listed === listed && pool.evacuationRevision === evacuationRevision;
    if (listed !== undefined && !isSame) {
      pool.listed = listed;
      pool.evacuationRevision = evacuationRevision;
      const now = this.options.clock.now();
      const sendsPerS = coldCallsPerS === undefined ? undefined : this.getSendLimits(coldCallsPerS);
      pool.ledger.setEngines(
        listed
          .filter((item) => item.service === service && !item.isLeaving && !item.saysLeaving)
          .map((item) => ({
            engineId: item.upstreamId,
            bornMs: item.bornMs,
            memoryTokens: engine.memoryTokens,
            slots: engine.slots,
            availabilityZone: item.availabilityZone,
            sendsPerS,
            coldUntil: now + item.coldMs,
            isClosed: this.options.isEvacuated(item.availabilityZone),
          })),
      );
    }
    return pool;
  }
}
