import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** How often generations that wait are looked at again, in milliseconds; an engine reads 70 tokens meanwhile. */
const RETRY_MS = 20;

/** The part of what an engine bears while it is cold that the leader gives out. */
const COLD_PART = 0.6;

/** Where the desk learns what it needs. */
export interface PlacementServiceOptions {
  readonly clock: schemas.Clock;
  /** The services in force, with what is known of their engines. */
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  /** The list of upstreams; nothing while this leader has not read one. */
  readonly findUpstreams: () => readonly schemas.ListedUpstream[] | undefined;
  /** Whether an availability zone is to get no new work; the revision changes with every zone that does. */
  readonly isEvacuated: (availabilityZone: string) => boolean;
  readonly getEvacuationRevision: () => number;
  /** How many times its declared rate a cold upstream bears, and how many calls in a second beyond that. */
  readonly coldBounds: { readonly coldOverage: number; readonly coldSlack: number };
  /** How many retries at one service may be lent. */
  readonly retryLimiter: requests.RetryGrantLimits;
}

interface WaitingPlace extends routing.QueuedPlacement {
  readonly settle: (placed: routing.Placement | undefined) => void;
}

interface WaitingRun extends routing.MigrationCandidate {
  readonly settle: (takerId: string | undefined) => void;
}

interface Pool {
  readonly ledger: routing.EngineLedger;
  readonly queue: routing.PlacementQueue<WaitingPlace>;
  readonly plan: routing.MigrationScheduler<WaitingRun>;
  isServing: boolean;
  listed: readonly schemas.ListedUpstream[] | undefined;
  /** Whether this leader has read a list; what was listed in a former leadership is kept until then. */
  hasList: boolean;
  evacuationRevision: number;
}

/** The leader's account of every pool of engines: where generations are placed, in one place for all hosts. */
export class PlacementService {
  private readonly pools = new Map<string, Pool>();
  private readonly pots = new Map<string, requests.RetryGrantLimiter>();
  private term: number | undefined;

  public constructor(private readonly options: PlacementServiceOptions) {}

  /** Places a generation; waits for room as long as its caller can, and says so when there is none. */
  public async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    const { clock } = this.options;
    const askedAt = clock.now();
    const pool = this.findPool(req.service);
    // A run whose engine is given is only entered; it needs neither list nor room.
    const isChoice = req.need.fixedEngineId === undefined;
    // Without a list every pool looks full.
    if (pool === undefined || (isChoice && !pool.hasList)) {
      return { placed: undefined, waitedMs: 0, isUnknown: true };
    }
    pool.plan.endMigration(req.need.callId);
    if (isChoice && !pool.ledger.hasOpenEngine()) {
      return { placed: undefined, waitedMs: 0, full: pool.ledger.getSummary(askedAt) };
    }
    const placed = await new Promise<routing.Placement | undefined>((resolve) => {
      // A copy of a whole prompt would go over the links that runs need to be handed over.
      const wantsCopy = req.need.wantsCopy && !pool.plan.isMigrating();
      pool.queue.add({
        spec: { ...req.need, wantsCopy },
        dueAt: askedAt + req.dueInMs,
        priority: req.rank,
        expiresAt: askedAt + req.patienceMs,
        settle: resolve,
      });
      this.serve(pool);
      void this.serveWaiting(pool, req.service);
    });
    const now = clock.now();
    const full = placed === undefined ? pool.ledger.getSummary(now) : undefined;
    return { placed, waitedMs: Math.round(now - askedAt), full };
  }

  /** Says when a generation is to be handed over, and where to; nothing when that does not come up meanwhile. */
  public async awaitMigration(req: procedures.MigrationReq): Promise<procedures.MigrationRes> {
    const { callId, engineId, excluded, patienceMs, service } = req;
    const pool = this.findPool(service);
    if (pool === undefined) {
      return { takerId: undefined };
    }
    const endsAt = this.options.clock.now() + patienceMs;
    const takerId = await new Promise<string | undefined>((resolve) => {
      pool.plan.offer({ callId, engineId, excluded, expiresAt: endsAt, settle: resolve });
      void this.serveWaiting(pool, service);
    });
    return { takerId };
  }

  /** Notes what became of a generation. */
  public noteRun({ callId, event, service }: procedures.GenerationEvent): void {
    const pool = this.pools.get(service);
    if (pool === undefined) {
      return;
    }
    if (event === 'begun') {
      pool.ledger.recordFirstEvent(callId, this.options.clock.now());
    } else {
      pool.plan.endMigration(callId);
      pool.ledger.setBackup(callId, undefined);
    }
    this.serve(pool);
  }

  private serve(pool: Pool): void {
    const now = this.options.clock.now();
    pool.queue.dispatch(now).forEach(({ placed, queued }) => queued.settle(placed));
    pool.plan.dispatch(now).forEach(({ run, targetEngineId: takerId }) => run.settle(takerId));
  }

  /** Looks at those that wait again and again while there are any. */
  private async serveWaiting(pool: Pool, service: string): Promise<void> {
    if (pool.isServing) {
      return;
    }
    pool.isServing = true;
    while (pool.queue.size > 0 || pool.plan.size > 0) {
      await this.options.clock.sleep(RETRY_MS);
      this.findPool(service);
      this.serve(pool);
    }
    pool.isServing = false;
  }

  /** Takes generations off the account. */
  public release(req: procedures.ReleaseReq): void {
    const pool = this.pools.get(req.service);
    if (pool !== undefined) {
      pool.ledger.release(req.callId, req.hasFailed, this.options.clock.now());
      pool.plan.withdraw(req.callId)?.settle(undefined);
      this.serve(pool);
    }
  }

  /** Whether generations run on an engine, as far as the account has them. */
  public hasRuns(service: string, engineId: string): boolean {
    return this.pools.get(service)?.ledger.hasRuns(engineId) ?? false;
  }

  /** Lends a retry at a service. */
  public grantRetry(service: string, lender: requests.RetryGrantor): boolean {
    const pot = this.pots.get(service) ?? new requests.RetryGrantLimiter(this.options.retryLimiter);
    this.pots.set(service, pot);
    return pot.grant(lender, this.options.clock.now());
  }

  /** Begins to lead; what ran in a former leadership has ended or is told anew by the hosts. */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.clear();
    }
  }

  /** Forgets everything, because another host leads. */
  public clear(): void {
    this.pools.clear();
  }

  /** What this leader gives out; hosts that choose alone have the rest. */
  private getSendLimits(callsPerS: number): routing.LedgerEngine['sendsPerS'] {
    const { coldOverage, coldSlack } = this.options.coldBounds;
    const cold = Math.max(1, Math.floor(callsPerS * COLD_PART));
    const bearable = callsPerS * coldOverage + coldSlack;
    return { cold, most: Math.max(cold, Math.floor(bearable * COLD_PART)) };
  }

  private findPool(service: string): Pool | undefined {
    const { coldCallsPerS, engine } = this.options.findService(service) ?? {};
    if (engine === undefined) {
      return undefined;
    }
    const pool = this.pools.get(service) ?? createPool();
    this.pools.set(service, pool);
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

function createPool(): Pool {
  const ledger = new routing.EngineLedger();
  const queue = new routing.PlacementQueue<WaitingPlace>(ledger);
  const plan = new routing.MigrationScheduler<WaitingRun>(ledger);
  return {
    ledger,
    queue,
    plan,
    isServing: false,
    listed: undefined,
    hasList: false,
    evacuationRevision: 0,
  };
}
