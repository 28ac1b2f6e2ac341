import type * as schemas from '@bramleyridge/schemas';
import * as statistics from 'simple-statistics';

import * as fairQueues from './fair-queue.js';
import type * as lengthModels from './length-model.js';
import * as poolLedgers from './pool-ledger.js';
import * as affinities from './prefix-affinity.js';
import type * as types from './types.js';
import type * as upstreamLedgers from './upstream-ledger.js';
import * as upstreamSelectors from './upstream-selector.js';

/** Maximum number of queue heads tried when the first does not fit. */
const MAX_HEADS_TRIED = 16;

/** Share of an upstream's memory that interactive work may hold while aged batch work waits. */
const INTERACTIVE_SHARE = 0.5;

/**
 * Time that interactive work waits for capacity before it is sent to a full engine, in
 * milliseconds.
 */
const URGENT_AFTER_MS = 200;

/** Retry delay reported with a refusal, in seconds per waiting request of the same team. */
const RETRY_S_PER_WAITING = 0.05;

/** Options of a pool owner. */
export interface PoolOwnerOptions {
  readonly clock: schemas.Clock;
  readonly overflowRisk: number;
  /** Memory per engine that the pool's intents may fill, in tokens. */
  readonly capacityTokens: number;
  readonly getShare: (team: string) => types.TeamShare;
  /** Returns the number of daemons that use the pool; by default, several do. */
  readonly countDaemons?: () => number;
  /** Source of the length distributions; an oracle may replace the learned ones. */
  readonly lengths?: lengthModels.LengthSource;
  readonly createSelector?: (
    quantile: number,
    affinity: affinities.PrefixAffinity,
  ) => upstreamSelectors.UpstreamSelector;
}

interface PendingRequest extends fairQueues.QueuedRequest {
  readonly decide: (decision: types.GrantDecision) => void;
}

/** Owns the queue and the ledger of one pool: the engines of one model in one availability zone. */
export class PoolOwner {
  public readonly affinity = new affinities.PrefixAffinity();
  private readonly ledger: poolLedgers.PoolLedger;
  private readonly queue: fairQueues.FairQueue;
  private readonly selector: upstreamSelectors.UpstreamSelector;
  private readonly pending = new Map<string, PendingRequest>();
  private isBatchAged = false;

  public constructor(private readonly options: PoolOwnerOptions) {
    const quantile = statistics.probit(1 - options.overflowRisk);
    this.queue = new fairQueues.FairQueue((team) => options.getShare(team).weight);
    this.ledger = new poolLedgers.PoolLedger({
      ...options,
      charge: (team, cost) => this.queue.charge(team, cost),
    });
    this.selector =
      options.createSelector?.(quantile, this.affinity) ??
      new upstreamSelectors.OverflowAwareSelector(quantile, this.affinity);
  }

  /** Sets the upstreams of the pool; removed ones are given nothing more. */
  public setUpstreams(upstreams: readonly { upstreamId: string; isLeaving: boolean }[]): void {
    const removedIds = this.ledger.setUpstreams(upstreams);
    removedIds.forEach((id) => this.affinity.forget(id));
    this.grantAll();
  }

  /** Marks an upstream as leaving, at the first sign from any source. */
  public markLeaving(upstreamId: string): void {
    this.ledger.markLeaving(upstreamId);
  }

  /** Records that a generation of a daemon got no answer at an upstream. */
  public recordUnanswered(upstreamId: string, daemonId: string): void {
    this.ledger.recordUnanswered(upstreamId, daemonId);
  }

  /** Applies a load report of an upstream. */
  public applyReport(upstreamId: string, report: schemas.LoadReport): void {
    this.ledger.applyReport(upstreamId, report);
    this.grantAll();
  }

  /** Requests capacity. Calls `decide` once, now or later, unless the request is withdrawn. */
  public request(req: types.GrantRequest, decide: (decision: types.GrantDecision) => void): void {
    const share = this.options.getShare(req.team);
    const waiting = this.queue.countWaiting(req.team);
    const running = this.ledger.countRunning(req.team);
    if (running + waiting >= share.maxConcurrent + share.maxQueued) {
      decide(this.refuse('too-many', req, 0));
      return;
    }
    if (waiting >= share.maxQueued && waiting > 0) {
      decide(this.refuse('queue-full', req, 0));
      return;
    }
    // Every upstream has already refused it; waiting would only delay the final answer.
    const all = this.ledger.listUpstreams();
    if (all.length > 0 && all.every((upstream) => req.excluded.includes(upstream.upstreamId))) {
      decide(this.refuse('excluded', req, 0));
      return;
    }
    const cost = this.ledger.getCost(req);
    const pending: PendingRequest = { req, enqueuedAt: this.options.clock.now(), cost, decide };
    this.pending.set(req.generation, pending);
    this.queue.push(pending);
    this.grantAll();
  }

  /** Removes a request whose caller has disconnected. */
  public withdraw(generation: string): void {
    const pending = this.pending.get(generation);
    if (pending !== undefined) {
      this.pending.delete(generation);
      this.queue.remove(pending);
    }
  }

  /** Adds a generation that was granted by a former owner, or by a daemon without one. */
  public register(facts: types.RunningGeneration): void {
    this.ledger.register(facts);
  }

  /** Applies the token counts that a daemon reports for all its generations. */
  public applyProgress(batch: types.ProgressBatch): void {
    this.ledger.applyProgress(batch);
    this.grantAll();
  }

  /** Removes a generation. */
  public finish(generation: string, tokens: number, isNatural: boolean): void {
    if (this.ledger.finish(generation, tokens, isNatural)) {
      this.grantAll();
    }
  }

  /**
   * Removes the generations of daemons that no longer report, refuses requests whose waiting time
   * is over, and grants what fits.
   */
  public tick(): void {
    const now = this.options.clock.now();
    this.refresh();
    this.isBatchAged = this.queue.hasAgedBatch(now);
    (this.queue.listTimedOut(now) as PendingRequest[]).forEach((pending) => {
      this.settle(pending, this.refuse('patience', pending.req, now - pending.enqueuedAt));
    });
    this.grantAll();
  }

  /** Updates the forecasts to the current time. */
  public refresh(): void {
    this.ledger.refresh();
  }

  /** Refuses all waiting requests, so that their daemons ask the next owner. */
  public close(): void {
    this.pending.forEach((pending) =>
      this.settle(pending, this.refuse('no-upstream', pending.req, 0)),
    );
  }

  /** Returns the state of the pool, for operators and measurements. */
  public getSummary(): { waiting: number; running: number; pressure: Record<string, number> } {
    const all = this.ledger.listUpstreams();
    return {
      waiting: this.pending.size,
      running: all.reduce((sum, upstream) => sum + upstream.generations.size, 0),
      pressure: Object.fromEntries(
        all.map((upstream) => [upstream.upstreamId, upstream.getPressure(0)]),
      ),
    };
  }

  private grantAll(): void {
    for (let hasGranted = true; hasGranted;) {
      hasGranted = this.grantOne();
    }
  }

  private grantOne(): boolean {
    const now = this.options.clock.now();
    let tried = 0;
    for (const waiting of this.queue.iterateHeads(now)) {
      const pending = waiting as PendingRequest;
      tried += 1;
      if (this.tryGrant(pending, now)) {
        return true;
      }
      // An aged request that does not fit blocks those behind it: otherwise small requests would
      // take all capacity as it becomes free, and a long generation would never start.
      if (tried >= MAX_HEADS_TRIED || this.queue.isBlocking(waiting, now)) {
        return false;
      }
    }
    return false;
  }

  private tryGrant(pending: PendingRequest, now: number): boolean {
    const { req } = pending;
    const share = this.options.getShare(req.team);
    if (this.ledger.countRunning(req.team) >= share.maxConcurrent) {
      return false;
    }
    const candidates = this.listCandidates(req);
    const joining = this.ledger.createGeneration({ ...req, upstreamId: '', tokens: 0 });
    const selection =
      this.selector.select(candidates, joining, req.prefix, now) ??
      this.selectUrgent(pending, candidates, now);
    if (selection === undefined) {
      return false;
    }
    const { upstreamId } = selection.upstream;
    this.ledger.admit(selection.upstream, { ...req, upstreamId, tokens: 0 }, pending.cost);
    this.affinity.add(req.prefix, upstreamId, now);
    this.settle(pending, {
      upstreamId,
      reason: selection.reason,
      queuedMs: now - pending.enqueuedAt,
      pressure: selection.pressure,
      retryAfterS: 0,
    });
    return true;
  }

  /**
   * Sends interactive work that found no capacity for a while to the emptiest engine regardless:
   * the engine runs it first as soon as memory becomes free, long before the owner would be
   * notified.
   */
  private selectUrgent(
    pending: PendingRequest,
    candidates: readonly upstreamLedgers.UpstreamLedger[],
    now: number,
  ): upstreamSelectors.UpstreamSelection | undefined {
    const isUrgent =
      pending.req.workClass === 'interactive' && now - pending.enqueuedAt >= URGENT_AFTER_MS;
    if (!isUrgent) {
      return undefined;
    }
    const [best] = candidates
      .map((upstream) => ({ upstream, pressure: upstream.getPressure(0) }))
      .sort((a, b) => a.pressure - b.pressure);
    return best === undefined ? undefined : { ...best, reason: 'urgent' };
  }

  private listCandidates(req: types.GrantRequest): upstreamLedgers.UpstreamLedger[] {
    const now = this.options.clock.now();
    const usable = this.ledger
      .listUpstreams()
      .filter((upstream) => !upstream.isLeaving && !req.excluded.includes(upstream.upstreamId))
      .filter(({ trials }) => trials.mayReceive(req.daemonId, now));
    // Interactive work precedes batch work, but a flood of it must leave capacity for batch work,
    // which would otherwise never start.
    const isBounded = req.workClass === 'interactive' && this.isBatchAged;
    return isBounded
      ? usable.filter((upstream) => upstream.getInteractiveShare() < INTERACTIVE_SHARE)
      : usable;
  }

  private settle(pending: PendingRequest, decision: types.GrantDecision): void {
    this.pending.delete(pending.req.generation);
    this.queue.remove(pending);
    pending.decide(decision);
  }

  private refuse(
    reason: types.GrantReason,
    req: types.GrantRequest,
    queuedMs: number,
  ): types.GrantDecision {
    const waiting = this.queue.countWaiting(req.team);
    const retryAfterS = Math.max(1, Math.ceil(waiting * RETRY_S_PER_WAITING));
    return { upstreamId: undefined, reason, queuedMs, pressure: 0, retryAfterS };
  }
}
