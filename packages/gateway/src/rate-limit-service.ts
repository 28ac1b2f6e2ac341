import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/**
 * Factor by which a limit must rise or fall before it is sent to all hosts. The leader grants sends by the newest
 * value; hosts need it only for when they reach no leader, and a limit may change with each answer.
 */
const MIN_TOLD_CHANGE = 1.25;

/** Interval at which a known limit is sent to the hosts again, in milliseconds; below the maximum age of a limit. */
const RETELL_MS = 20_000;

/** Maximum number of processes of which it is kept what hosts were told; the oldest is dropped first. */
const MAX_TOLD = 1_000;

interface ToldLimit {
  readonly callsPerS: number | undefined;
  readonly at: number;
}

/** Dependencies of the rate limit service. */
export interface RateLimitServiceOptions {
  /** The gate of this host's own sends. */
  readonly gate: Pick<requests.UpstreamGate, 'mergeLimits'>;
  readonly coreId: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * A core host's part in keeping the rate limits of upstreams. Each core host tells the entry hosts that poll it of the
 * limits that others have reported: the newest statement holds, so this needs no leader. The leader also grants sends.
 */
export class RateLimitService {
  /** Notifies when there are updates for the hosts. */
  public readonly changed = new schemas.ChangeSignal();
  private readonly service = new requests.RateGrantService();
  /** The limits as hosts were last told, by process. */
  private readonly told = new Map<string, ToldLimit>();
  private term = -1;
  private revision = 0;

  public constructor(private readonly options: RateLimitServiceOptions) {}

  /** Starts a term as the leader, without grants; no effect if the term has already started. */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.service.clearGrants();
    }
  }

  /** Records limits that a host reports. */
  public report({ hostId, limits }: procedures.RateLimitReport): void {
    limits.forEach((facts) => this.merge(facts, hostId));
  }

  /** Grants or refuses one send of a host. */
  public grant({ hostId, limit }: procedures.RateGrantReq): requests.RateGrantAnswer {
    this.merge(limit, hostId);
    return this.service.grant(limit.processId, this.options.clock.now());
  }

  /** Grants or refuses one probe of this host, which takes only what calls leave unused. */
  public grantProbe({ processId }: requests.RateLimitFacts): requests.RateGrantAnswer {
    return this.service.grantProbe(processId, this.options.clock.now());
  }

  /** Returns the limits if a host lacks some of them. */
  public findUpdates(cursor: procedures.RateLimitCursor): procedures.RateLimitUpdates | undefined {
    const { clock, coreId } = this.options;
    const { revision } = this;
    if (cursor.source === coreId && cursor.revision === revision) {
      return undefined;
    }
    return { source: coreId, revision, limits: this.service.list(clock.now()) };
  }

  private merge(facts: requests.RateLimitFacts, hostId: string): void {
    const { clock, gate, log } = this.options;
    const now = clock.now();
    const known = this.service.merge(facts, now);
    gate.mergeLimits([facts]);
    if (known === undefined || !this.isWorthTelling(known, now)) {
      return;
    }
    const { callsPerS, processId } = known;
    this.told.delete(processId);
    this.told.set(processId, { callsPerS, at: now });
    if (this.told.size > MAX_TOLD) {
      const [oldest] = this.told.keys();
      this.told.delete(oldest!);
    }
    this.revision += 1;
    log.info({ decision: 'limit-told', upstream: processId, callsPerS, peer: hostId });
    this.changed.notify();
  }

  private isWorthTelling({ callsPerS, processId }: requests.RateLimitFacts, now: number): boolean {
    const told = this.told.get(processId);
    if (told?.callsPerS === undefined || callsPerS === undefined) {
      return told?.callsPerS !== callsPerS;
    }
    const isChanged =
      callsPerS > told.callsPerS * MIN_TOLD_CHANGE || callsPerS < told.callsPerS / MIN_TOLD_CHANGE;
    return isChanged || now - told.at > RETELL_MS;
  }
}
