import type * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import type * as leaderlessRateShares from './leaderless-rate-share.js';
import * as rateLimitTables from './rate-limit-table.js';
import * as upstreamErrors from './upstream-error.js';
import type * as upstreamNotices from './upstream-notice.js';

/**
 * Bounds of the time for which an upstream without room is passed over, in milliseconds. Its limit may be raised or end
 * meanwhile.
 */
const MIN_CLOSED_MS = 50;
const MAX_CLOSED_MS = 1_000;

/** Bounds of the time after which a refused caller may return, in milliseconds. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/** Time for which a permit may be used, in milliseconds; a grant counts for the moment at which it is given. */
const PERMIT_TTL_MS = 250;

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

/** An upstream process to which calls are sent. */
export interface GatedUpstream {
  readonly upstreamId: string;
  /** Identifies the process; by default, its upstream id. */
  readonly processId?: string;
}

/** How a send to a limited upstream was decided: by a grant, by this host alone, or against it. */
export type SendDecision = 'granted' | 'alone' | 'withheld';

/** Dependencies of the gate. */
export interface UpstreamGateOptions {
  readonly grantor: RateGrantor;
  readonly share: leaderlessRateShares.LeaderlessRateShare;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  /** Counts a decision on a send to a limited upstream. */
  readonly count: (decision: SendDecision) => void;
}

/** Permission to send one call to an upstream process now. */
export class SendPermit {
  private isUsed = false;

  public constructor(
    public readonly processId: string,
    /** Whether it takes one of the sends that the limit of the upstream allows. */
    public readonly isLimited: boolean,
    private readonly expiresAt: number,
  ) {}

  /** Uses the permit; returns false if it was used before or has expired. */
  public use(now: number): boolean {
    const isValid = !this.isUsed && now <= this.expiresAt;
    this.isUsed = true;
    return isValid;
  }
}

/**
 * What upstreams state about themselves in their answers, and whether a call may be sent to them. Every send of a host
 * passes here, whatever chose the upstream: a choice may be older than the last answer.
 */
export class UpstreamGate {
  private readonly limits = new rateLimitTables.RateLimitTable();
  /** Times from which upstreams without room may be chosen again, by process. */
  private readonly closedUntil = new Map<string, number>();
  /** Times at which the limits of these upstreams have room again. */
  private readonly roomAt = new Map<string, number>();

  public constructor(private readonly options: UpstreamGateOptions) {}

  /** Records what an upstream states in an answer. */
  public recordAnswer(upstream: GatedUpstream, { limit }: upstreamNotices.UpstreamNotice): void {
    const { clock, grantor, log } = this.options;
    if (limit.kind === 'unreadable') {
      log.warn({ event: 'limit-unreadable', upstream: upstream.upstreamId, text: limit.text });
      return;
    }
    const processId = getProcessId(upstream);
    const now = clock.now();
    const callsPerS = limit.kind === 'named' ? limit.callsPerS : undefined;
    const change = this.limits.record(processId, callsPerS, now, now);
    const facts = this.limits.findFacts(processId, now);
    if (facts !== undefined && change !== 'none') {
      this.applyChange(facts, change, 'answer');
      grantor.reportLimit(facts);
    }
  }

  /** Applies what other hosts have reported about limits. */
  public mergeLimits(all: readonly rateLimitTables.RateLimitFacts[]): void {
    all.forEach((facts) => this.mergeLimit(facts));
  }

  /** Lists what this host knows about limits. */
  public listLimits(): rateLimitTables.RateLimitFacts[] {
    return this.limits.list(this.options.clock.now());
  }

  /** Counts the upstreams that limit their rate. */
  public countLimits(): number {
    return this.limits.count(this.options.clock.now());
  }

  /** Returns whether no upstream is passed over for lack of room. */
  public areAllOpen(): boolean {
    return this.closedUntil.size === 0;
  }

  /** Returns whether an upstream may have room for a call. */
  public isOpen(upstream: GatedUpstream): boolean {
    return (this.closedUntil.get(getProcessId(upstream)) ?? -Infinity) <= this.options.clock.now();
  }

  /** Returns the time after which a caller may return for whom none of these upstreams has room, in seconds. */
  public getRetryAfterS(upstreams: readonly GatedUpstream[]): number {
    const { clock, random } = this.options;
    const now = clock.now();
    const roomAt = upstreams.map((item) => this.roomAt.get(getProcessId(item)) ?? now);
    // Equal times would bring all refused callers back at once.
    const waitMs = Math.max(MIN_RETRY_MS, Math.min(...roomAt) - now) * (1 + random());
    return Math.min(MAX_RETRY_MS, waitMs) / 1_000;
  }

  /** Permits to send one call now; throws an error of the kind `withheld` if the upstream has no room. */
  public async admit(upstream: GatedUpstream): Promise<SendPermit> {
    const facts = this.findLimit(upstream);
    if (facts?.callsPerS === undefined) {
      return this.createPermit(upstream, false);
    }
    if (!this.isOpen(upstream)) {
      throw this.withhold(upstream);
    }
    const answer = await this.options.grantor.requestGrant(facts);
    if (answer?.limit !== undefined) {
      this.mergeLimit(answer.limit);
    }
    const callsPerS = this.findLimit(upstream)?.callsPerS;
    if (callsPerS === undefined) {
      return this.createPermit(upstream, false);
    }
    const { isGranted, waitMs } = answer ?? this.grantAlone(facts.processId, callsPerS);
    if (!isGranted) {
      this.close(facts.processId, waitMs);
      throw this.withhold(upstream);
    }
    this.options.count(answer === undefined ? 'alone' : 'granted');
    return this.createPermit(upstream, true);
  }

  /** Waits until a call may be sent, at most for the given time in milliseconds. */
  public async admitWithin(
    upstream: GatedUpstream,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<SendPermit> {
    const { clock } = this.options;
    const deadlineAt = clock.now() + patienceMs;
    for (;;) {
      try {
        return await this.admit(upstream);
      } catch (err) {
        const openAt = this.closedUntil.get(getProcessId(upstream)) ?? clock.now();
        if (openAt > deadlineAt) {
          throw err;
        }
        await clock.sleep(Math.max(1, openAt - clock.now()), signal);
      }
    }
  }

  /**
   * Uses a permit at the moment of the send; throws an error of the kind `withheld` if it no longer holds, such as one
   * that was given before an answer named a limit.
   */
  public use(permit: SendPermit, upstream: GatedUpstream): void {
    const isForProcess = permit.processId === getProcessId(upstream);
    const isCounted = permit.isLimited || this.findLimit(upstream)?.callsPerS === undefined;
    if (!permit.use(this.options.clock.now()) || !isForProcess || !isCounted) {
      throw this.withhold(upstream);
    }
  }

  private createPermit(upstream: GatedUpstream, isLimited: boolean): SendPermit {
    const expiresAt = this.options.clock.now() + PERMIT_TTL_MS;
    return new SendPermit(getProcessId(upstream), isLimited, expiresAt);
  }

  private grantAlone(processId: string, callsPerS: number): RateGrantAnswer {
    const { clock, share } = this.options;
    const isGranted = share.take(processId, callsPerS, clock.now());
    return { isGranted, waitMs: isGranted ? 0 : share.getMeanWaitMs(callsPerS) };
  }

  private mergeLimit(facts: rateLimitTables.RateLimitFacts): void {
    const change = this.limits.merge(facts, this.options.clock.now());
    if (change !== 'none') {
      this.applyChange(facts, change, 'hosts');
    }
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
    this.options.log.info({
      event: 'upstream-limit',
      upstream: processId,
      change,
      callsPerS,
      source,
    });
  }

  private findLimit(upstream: GatedUpstream): rateLimitTables.RateLimitFacts | undefined {
    return this.limits.findFacts(getProcessId(upstream), this.options.clock.now());
  }

  private close(processId: string, waitMs: number): void {
    const now = this.options.clock.now();
    const closedMs = Math.min(MAX_CLOSED_MS, Math.max(MIN_CLOSED_MS, waitMs));
    [this.closedUntil, this.roomAt].forEach((times) => dropPast(times, now));
    this.closedUntil.set(processId, now + closedMs);
    this.roomAt.set(processId, now + waitMs);
  }

  private withhold({ upstreamId }: GatedUpstream): upstreamErrors.UpstreamError {
    this.options.count('withheld');
    return new upstreamErrors.UpstreamError('withheld', 'admit-send', upstreamId);
  }
}

function getProcessId({ processId, upstreamId }: GatedUpstream): string {
  return processId ?? upstreamId;
}

/** Removes times that have passed; upstreams come and go for as long as the host runs. */
function dropPast(times: Map<string, number>, now: number): void {
  times.forEach((at, key) => {
    if (at <= now) {
      times.delete(key);
    }
  });
}
