import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** How often generations that wait are looked at again, in milliseconds. */
const RETRY_MS = 20;

/** Where the desk learns what it needs. */
export interface PoolDeskOptions {
  readonly clock: schemas.Clock;
  /** The services in force, with what is known of their engines. */
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  readonly listUpstreams: () => readonly schemas.ListedUpstream[];
  /** How many retries at one service may be lent. */
  readonly retryPot: requests.RetryPotBounds;
}

interface Pool {
  readonly ledger: routing.EngineLedger;
  listed: readonly schemas.ListedUpstream[] | undefined;
}

/** The leader's account of every pool of engines: where generations are placed, in one place for all hosts. */
export class PoolDesk {
  private readonly pools = new Map<string, Pool>();
  private readonly pots = new Map<string, requests.RetryPot>();

  public constructor(private readonly options: PoolDeskOptions) {}

  /** Places a generation; waits for room as long as its caller can, and says so when there is none. */
  public async place(req: procedures.PlaceReq): Promise<procedures.PlaceRes> {
    const { clock } = this.options;
    const askedAt = clock.now();
    const end = askedAt + req.patienceMs;
    for (;;) {
      const pool = this.findPool(req.service);
      const placed = pool?.ledger.place(req.need, clock.now());
      if (placed !== undefined || clock.now() >= end) {
        const waitedMs = Math.round(clock.now() - askedAt);
        const full = placed === undefined ? pool?.ledger.getSummary(clock.now()) : undefined;
        return { placed, waitedMs, full };
      }
      await clock.sleep(RETRY_MS);
    }
  }

  /** Picks who keeps the copy of a generation that runs already. */
  public renewCopy(req: procedures.RenewCopyReq): procedures.RenewCopyRes {
    const { callId, engineId, excluded, service } = req;
    const ledger = this.findPool(service)?.ledger;
    return { copyAt: ledger?.renewCopy(callId, engineId, excluded, this.options.clock.now()) };
  }

  /** Takes generations off the account. */
  public release(req: procedures.ReleaseReq): void {
    const pool = this.pools.get(req.service);
    pool?.ledger.release(req.callId, req.hasFailed, this.options.clock.now());
  }

  /** Lends a retry at a service. */
  public lendRetry(service: string, lender: requests.RetryLender): boolean {
    const pot = this.pots.get(service) ?? new requests.RetryPot(this.options.retryPot);
    this.pots.set(service, pot);
    return pot.lend(lender, this.options.clock.now());
  }

  /** Forgets everything, because another host leads. */
  public clear(): void {
    this.pools.clear();
  }

  private findPool(service: string): Pool | undefined {
    const engine = this.options.findService(service)?.engine;
    if (engine === undefined) {
      return undefined;
    }
    const pool = this.pools.get(service) ?? {
      ledger: new routing.EngineLedger(),
      listed: undefined,
    };
    this.pools.set(service, pool);
    const listed = this.options.listUpstreams();
    if (pool.listed !== listed) {
      pool.listed = listed;
      pool.ledger.setEngines(
        listed
          .filter((item) => item.service === service && !item.isLeaving && !item.saysLeaving)
          .map((item) => ({
            engineId: item.upstreamId,
            memoryTokens: engine.memoryTokens,
            slots: engine.slots,
            availabilityZone: item.availabilityZone,
          })),
      );
    }
    return pool;
  }
}
