import type * as schemas from '@bramleyridge/schemas';
import * as statistics from 'simple-statistics';

import * as fairQueues from './fair-queue.js';
import type * as lengthModels from './length-model.js';
import * as accounts from './pool-ledger.js';
import * as affinities from './prefix-affinity.js';
import type * as types from './types.js';
import * as choices from './upstream-selector.js';
import type * as rooms from './upstream-ledger.js';

/** How many heads of lines are tried when the first does not fit. */
const MAX_TRIED = 16;

/** The share of an upstream's memory that interactive work may hold while drafts wait long. */
const INTERACTIVE_SHARE = 0.5;

/** How long interactive work waits for room before it goes to an engine that is full, in milliseconds. */
const URGENT_AFTER_MS = 200;

/** What a refused caller is told to wait, per request of its team ahead of it, in seconds. */
const RETRY_S_PER_WAITING = 0.05;

/** What a pool owner is made of. */
export interface PoolOwnerOptions {
  readonly clock: schemas.Clock;
  readonly overflowRisk: number;
  /** Tokens of an engine's memory that the pool's intents may fill. */
  readonly capacityTokens: number;
  readonly getShare: (team: string) => types.TeamShare;
  /** Where lengths are learned; an oracle may stand in. */
  readonly lengths?: lengthModels.LengthSource;
  readonly createSelector?: (
    quantile: number,
    affinity: affinities.PrefixAffinity,
  ) => choices.UpstreamSelector;
}

interface Ticket extends fairQueues.QueuedRequest {
  readonly decide: (decision: types.GrantDecision) => void;
}

/** The queue and the account of room of one pool: the engines of one model in one availability zone. */
export class PoolOwner {
  public readonly affinity = new affinities.PrefixAffinity();
  private readonly account: accounts.PoolLedger;
  private readonly queue: fairQueues.FairQueue;
  private readonly choice: choices.UpstreamSelector;
  private readonly tickets = new Map<string, Ticket>();
  private isBatchAged = false;

  public constructor(private readonly options: PoolOwnerOptions) {
    const quantile = statistics.probit(1 - options.overflowRisk);
    this.queue = new fairQueues.FairQueue((team) => options.getShare(team).weight);
    this.account = new accounts.PoolLedger({
      ...options,
      charge: (team, cost) => this.queue.charge(team, cost),
    });
    this.choice =
      options.createSelector?.(quantile, this.affinity) ??
      new choices.OverflowAwareSelector(quantile, this.affinity);
  }

  /** Sets which upstreams the pool has; those that left get nothing more. */
  public setUpstreams(upstreams: readonly { upstreamId: string; isLeaving: boolean }[]): void {
    const gone = this.account.setUpstreams(upstreams);
    gone.forEach((id) => this.affinity.forget(id));
    this.pump();
  }

  /** Notes the first sign that an upstream is leaving, whoever saw it. */
  public markLeaving(upstreamId: string): void {
    this.account.markLeaving(upstreamId);
  }

  /** Takes an upstream's load report. */
  public applyReport(upstreamId: string, report: schemas.LoadReport): void {
    this.account.applyReport(upstreamId, report);
    this.pump();
  }

  /** Asks for room; `decide` is called once, now or later. */
  public request(req: types.GrantRequest, decide: (decision: types.GrantDecision) => void): void {
    const share = this.options.getShare(req.team);
    const waiting = this.queue.countWaiting(req.team);
    const running = this.account.countRunning(req.team);
    if (running + waiting >= share.maxConcurrent + share.maxQueued) {
      decide(this.refuse('too-many', req, 0));
      return;
    }
    if (waiting >= share.maxQueued && waiting > 0) {
      decide(this.refuse('queue-full', req, 0));
      return;
    }
    // Every upstream has refused it already: waiting would only put the final answer off.
    const all = this.account.listUpstreams();
    if (all.length > 0 && all.every((room) => req.excluded.includes(room.upstreamId))) {
      decide(this.refuse('excluded', req, 0));
      return;
    }
    const cost = this.account.getCost(req);
    const ticket: Ticket = { req, enqueuedAt: this.options.clock.now(), cost, decide };
    this.tickets.set(req.generation, ticket);
    this.queue.push(ticket);
    this.pump();
  }

  /** Takes a request back, because its caller is gone. */
  public withdraw(generation: string): void {
    const ticket = this.tickets.get(generation);
    if (ticket !== undefined) {
      this.tickets.delete(generation);
      this.queue.remove(ticket);
    }
  }

  /** Learns a generation that a former owner granted, or a daemon alone. */
  public register(facts: types.RunningGeneration): void {
    this.account.register(facts);
  }

  /** Takes the tokens so far of all generations of a daemon. */
  public applyProgress(batch: types.ProgressBatch): void {
    this.account.applyProgress(batch);
    this.pump();
  }

  /** Takes a generation off the account. */
  public finish(generation: string, tokens: number, isNatural: boolean): void {
    if (this.account.finish(generation, tokens, isNatural)) {
      this.pump();
    }
  }

  /** Drops what belongs to daemons that are gone, refuses whoever waited too long, grants what fits. */
  public tick(): void {
    const now = this.options.clock.now();
    this.refresh();
    this.isBatchAged = this.queue.hasAgedBatch(now);
    (this.queue.listTimedOut(now) as Ticket[]).forEach((ticket) => {
      this.settle(ticket, this.refuse('patience', ticket.req, now - ticket.enqueuedAt));
    });
    this.pump();
  }

  /** Brings the forecasts up to date with the time that has passed. */
  public refresh(): void {
    this.account.refresh();
  }

  /** Gives everything that waits back to its askers, who go to the next owner. */
  public close(): void {
    this.tickets.forEach((ticket) =>
      this.settle(ticket, this.refuse('no-upstream', ticket.req, 0)),
    );
  }

  /** How the pool stands, for operators and measurements. */
  public getSummary(): { waiting: number; running: number; pressure: Record<string, number> } {
    const all = this.account.listUpstreams();
    return {
      waiting: this.tickets.size,
      running: all.reduce((sum, room) => sum + room.generations.size, 0),
      pressure: Object.fromEntries(all.map((room) => [room.upstreamId, room.getPressure(0)])),
    };
  }

  private pump(): void {
    for (let hasGranted = true; hasGranted;) {
      hasGranted = this.grantOne();
    }
  }

  private grantOne(): boolean {
    const now = this.options.clock.now();
    let tried = 0;
    for (const waiting of this.queue.iterateHeads(now)) {
      const ticket = waiting as Ticket;
      tried += 1;
      if (this.tryGrant(ticket, now)) {
        return true;
      }
      // An aged request that does not fit holds back what comes behind it: small ones would take every
      // bit of room as it comes free, and a large draft would never start.
      if (tried >= MAX_TRIED || this.queue.isBlocking(waiting, now)) {
        return false;
      }
    }
    return false;
  }

  private tryGrant(ticket: Ticket, now: number): boolean {
    const { req } = ticket;
    const share = this.options.getShare(req.team);
    if (this.account.countRunning(req.team) >= share.maxConcurrent) {
      return false;
    }
    const candidates = this.listCandidates(req);
    const joining = this.account.createGeneration({ ...req, upstreamId: '', tokens: 0 });
    const choice =
      this.choice.select(candidates, joining, req.prefix, now) ??
      this.chooseUrgent(ticket, candidates, now);
    if (choice === undefined) {
      return false;
    }
    const { upstreamId } = choice.room;
    this.account.admit(choice.room, { ...req, upstreamId, tokens: 0 }, ticket.cost);
    this.affinity.add(req.prefix, upstreamId, now);
    this.settle(ticket, {
      upstreamId,
      reason: choice.reason,
      queuedMs: now - ticket.enqueuedAt,
      pressure: choice.pressure,
      retryAfterS: 0,
    });
    return true;
  }

  /**
   * A short check that found no room for a while goes to the emptiest engine all the same: the engine puts
   * it first as soon as memory comes free, long before the owner would hear of it.
   */
  private chooseUrgent(
    ticket: Ticket,
    candidates: readonly rooms.UpstreamLedger[],
    now: number,
  ): choices.UpstreamSelection | undefined {
    const isUrgent =
      ticket.req.workClass === 'interactive' && now - ticket.enqueuedAt >= URGENT_AFTER_MS;
    if (!isUrgent) {
      return undefined;
    }
    const [best] = candidates
      .map((room) => ({ room, pressure: room.getPressure(0) }))
      .sort((a, b) => a.pressure - b.pressure);
    return best === undefined ? undefined : { ...best, reason: 'urgent' };
  }

  private listCandidates(req: types.GrantRequest): rooms.UpstreamLedger[] {
    const usable = this.account
      .listUpstreams()
      .filter((room) => !room.isLeaving && !req.excluded.includes(room.upstreamId));
    // Interactive work passes drafts, but a flood of it must leave them room, or they would never start.
    const isBounded = req.workClass === 'interactive' && this.isBatchAged;
    return isBounded
      ? usable.filter((room) => room.getInteractiveShare() < INTERACTIVE_SHARE)
      : usable;
  }

  private settle(ticket: Ticket, decision: types.GrantDecision): void {
    this.tickets.delete(ticket.req.generation);
    this.queue.remove(ticket);
    ticket.decide(decision);
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
