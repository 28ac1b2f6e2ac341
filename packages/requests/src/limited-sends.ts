import type * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import type * as leaderlessRateShares from './leaderless-rate-share.js';
import * as rateLimitTables from './rate-limit-table.js';
import type * as upstreamNotices from './upstream-notice.js';

/**
 * Bounds of the time for which an upstream without room is passed over, in milliseconds. Its limit may be raised or end
 * meanwhile.
 */
const MIN_CLOSED_MS = 50;
const MAX_CLOSED_MS = 1_000;

/** Answer of whoever grants sends for all hosts, with what it knows about the limit. */
export const rateGrantAnswer = z.object({
  isGranted: z.boolean(),
  /** Time until the limit has room again, in milliseconds. */
  waitMs: z.number(),
  limit: rateLimitTables.rateLimitFacts.optional(),
});

/** Answer of whoever grants sends for all hosts. */
export type RateGrantAnswer = z.infer<typeof rateGrantAnswer>;

/** Whoever grants sends to limited upstreams for all hosts, as seen by one of them. */
export interface RateGrantor {
  /** Requests a grant to send one call now; `undefined` if there is no answer. */
  requestGrant(limit: rateLimitTables.RateLimitFacts): Promise<RateGrantAnswer | undefined>;
  /** Reports a limit that an answer has named first, changed or ended. */
  reportLimit(limit: rateLimitTables.RateLimitFacts): void;
}

/** How a send to a limited upstream was decided: by a grant, by this host alone, or against it. */
export type SendDecision = 'granted' | 'alone' | 'withheld';

/** Dependencies of `LimitedSends`. */
export interface LimitedSendsOptions {
  readonly grantor: RateGrantor;
  readonly share: leaderlessRateShares.LeaderlessRateShare;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Counts a decision on a send to a limited upstream. */
  readonly count: (decision: SendDecision) => void;
}

/** This host's sends to upstream processes that limit their rate. */
export class LimitedSends {
  private readonly limits = new rateLimitTables.RateLimitTable();
  /** Times from which processes without room may be chosen again. */
  private readonly closedUntil = new Map<string, number>();
  /** Times at which the limits of these processes have room again. */
  private readonly roomAt = new Map<string, number>();

  public constructor(private readonly options: LimitedSendsOptions) {}

  /** Records the limit that an answer names, or that it names none. */
  public recordAnswer(processId: string, limit: upstreamNotices.NamedLimit): void {
    const { clock, grantor, log } = this.options;
    if (limit.kind === 'unreadable') {
      log.warn({ event: 'limit-unreadable', upstream: processId, text: limit.text });
      return;
    }
    const now = clock.now();
    const callsPerS = limit.kind === 'named' ? limit.callsPerS : undefined;
    const change = this.limits.record(processId, callsPerS, now, now);
    const facts = this.limits.findFacts(processId, now);
    if (facts !== undefined && change !== 'none') {
      this.applyChange(facts, change, 'answer');
      grantor.reportLimit(facts);
    }
  }

  /** Applies what other hosts have reported about a limit. */
  public merge(facts: rateLimitTables.RateLimitFacts): void {
    const change = this.limits.merge(facts, this.options.clock.now());
    if (change !== 'none') {
      this.applyChange(facts, change, 'hosts');
    }
  }

  /** Lists what this host knows about limits. */
  public list(): rateLimitTables.RateLimitFacts[] {
    return this.limits.list(this.options.clock.now());
  }

  /** Counts the processes that limit their rate. */
  public count(): number {
    return this.limits.count(this.options.clock.now());
  }

  /** Returns whether a process limits its rate. */
  public isLimited(processId: string): boolean {
    return this.limits.find(processId, this.options.clock.now()) !== undefined;
  }

  /** Returns whether no process is passed over for lack of room. */
  public areAllOpen(): boolean {
    return this.closedUntil.size === 0;
  }

  /** Returns the time from which a process may be chosen again. */
  public getClosedUntil(processId: string): number {
    return this.closedUntil.get(processId) ?? -Infinity;
  }

  /** Returns the time at which the limit of a process has room again. */
  public getRoomAt(processId: string): number {
    return this.roomAt.get(processId) ?? -Infinity;
  }

  /** Takes a grant to send one call to a process now; returns whether it may be sent. */
  public async take(processId: string): Promise<boolean> {
    const facts = this.limits.findFacts(processId, this.options.clock.now());
    if (facts?.callsPerS === undefined) {
      return true;
    }
    const answer = await this.options.grantor.requestGrant(facts);
    if (answer?.limit !== undefined) {
      this.merge(answer.limit);
    }
    const callsPerS = this.limits.find(processId, this.options.clock.now());
    if (callsPerS === undefined) {
      return true;
    }
    const { isGranted, waitMs } = answer ?? this.takeAlone(processId, callsPerS);
    if (!isGranted) {
      this.close(processId, waitMs);
      return false;
    }
    this.options.count(answer === undefined ? 'alone' : 'granted');
    return true;
  }

  private takeAlone(processId: string, callsPerS: number): RateGrantAnswer {
    const { clock, share } = this.options;
    const isGranted = share.take(processId, callsPerS, clock.now());
    return { isGranted, waitMs: isGranted ? 0 : share.getMeanWaitMs(callsPerS) };
  }

  private applyChange(
    { callsPerS, processId }: rateLimitTables.RateLimitFacts,
    change: rateLimitTables.LimitChange,
    source: 'answer' | 'hosts',
  ): void {
    if (change === 'ended') {
      this.closedUntil.delete(processId);
      this.roomAt.delete(processId);
    }
    const { log } = this.options;
    log.info({ event: 'upstream-limit', upstream: processId, change, callsPerS, source });
  }

  private close(processId: string, waitMs: number): void {
    const now = this.options.clock.now();
    const closedMs = Math.min(MAX_CLOSED_MS, Math.max(MIN_CLOSED_MS, waitMs));
    [this.closedUntil, this.roomAt].forEach((times) => dropPast(times, now));
    this.closedUntil.set(processId, now + closedMs);
    this.roomAt.set(processId, now + waitMs);
  }
}

/** Removes times that have passed; processes come and go for as long as the host runs. */
function dropPast(times: Map<string, number>, now: number): void {
  times.forEach((at, key) => {
    if (at <= now) {
      times.delete(key);
    }
  });
}
