import * as rateGrantLimiters from './rate-grant-limiter.js';
import * as rateLimitTables from './rate-limit-table.js';
import type * as limitedSends from './limited-sends.js';

/** Grants sends to upstreams that limit their rate, for all hosts, by the newest limits that these report. */
export class RateGrantService {
  private readonly table = new rateLimitTables.RateLimitTable();
  private readonly limiter = new rateGrantLimiters.RateGrantLimiter();

  /** Forgets all grants, at the start of a term; the buckets start empty, since another host may have granted sends. */
  public clearGrants(): void {
    this.limiter.clear();
  }

  /** Applies a host's report and returns what is known about that process. */
  public merge(
    facts: rateLimitTables.RateLimitFacts,
    now: number,
  ): rateLimitTables.RateLimitFacts | undefined {
    const { processId } = facts;
    this.table.merge(facts, now);
    if (this.table.find(processId, now) !== undefined) {
      this.limiter.start(processId, now);
    }
    return this.table.findFacts(processId, now);
  }

  /** Lists what is known about limits. */
  public list(now: number): rateLimitTables.RateLimitFacts[] {
    return this.table.list(now);
  }

  /** Grants one send or refuses it; an upstream whose limit has ended needs no grant. */
  public grant(processId: string, now: number): limitedSends.RateGrantAnswer {
    return this.decide(processId, now, (callsPerS) =>
      this.limiter.grant(processId, callsPerS, now),
    );
  }

  /** Grants or refuses one probe, which takes only what calls leave unused. */
  public grantProbe(processId: string, now: number): limitedSends.RateGrantAnswer {
    return this.decide(processId, now, (callsPerS) =>
      this.limiter.grantIdle(processId, callsPerS, now),
    );
  }

  private decide(
    processId: string,
    now: number,
    take: (callsPerS: number) => rateGrantLimiters.RateGrant,
  ): limitedSends.RateGrantAnswer {
    const limit = this.table.findFacts(processId, now);
    const grant =
      limit?.callsPerS === undefined ? { isGranted: true, waitMs: 0 } : take(limit.callsPerS);
    return { ...grant, limit };
  }
}
