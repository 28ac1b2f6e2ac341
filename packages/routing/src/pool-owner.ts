import type * as schemas from '@bramleyridge/schemas';
import * as statistics from 'simple-statistics';

import * as fairQueues from './fair-queue.js';
import * as lengthModels from './length-model.js';
import * as liveGenerations from './live-generation.js';
import * as affinities from './prefix-affinity.js';
import type * as types from './types.js';
import * as choices from './upstream-choice.js';
import * as rooms from './upstream-room.js';

/** How many heads of lines are tried when the first does not fit. */
const MAX_TRIED = 16;

/** How long progress of a daemon may be missing before its generations leave the account. */
const SILENT_MS = 10_000;

/** How long after its grant a generation that its daemon does not name is still expected, in milliseconds. */
const FORGOTTEN_MS = 5_000;

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
  readonly roomTokens: number;
  readonly getShare: (team: string) => types.TeamShare;
  /** Where lengths are learned; an oracle may stand in. */
  readonly lengths?: lengthModels.LengthSource;
  readonly createChoice?: (
    quantile: number,
    affinity: affinities.PrefixAffinity,
  ) => choices.UpstreamChoice;
}

interface Ticket extends fairQueues.Waiting {
  readonly decide: (decision: types.GrantDecision) => void;
}

/** The queue and the account of room of one pool: the engines of one model in one availability zone. */
export class PoolOwner {
  public readonly affinity = new affinities.PrefixAffinity();
  private readonly rooms = new Map<string, rooms.UpstreamRoom>();
  private readonly queue: fairQueues.FairQueue;
  private readonly lengths: lengthModels.LengthSource;
  private readonly choice: choices.UpstreamChoice;
  private readonly running = new Map<string, number>();
  private readonly heardAt = new Map<string, number>();
  private readonly tickets = new Map<string, Ticket>();
  private readonly costs = new Map<string, number>();
  private isBatchAged = false;

  public constructor(private readonly options: PoolOwnerOptions) {
    const quantile = statistics.probit(1 - options.overflowRisk);
    this.lengths = options.lengths ?? new lengthModels.LengthModel();
    this.queue = new fairQueues.FairQueue((team) => options.getShare(team).weight);
    this.choice =
      options.createChoice?.(quantile, this.affinity) ??
      new choices.OverflowAwareChoice(quantile, this.affinity);
  }

  /** Sets which upstreams the pool has; those that left get nothing more. */
  public setUpstreams(upstreams: readonly { upstreamId: string; isLeaving: boolean }[]): void {
    const ids = new Set(upstreams.map((item) => item.upstreamId));
    [...this.rooms.keys()].filter((id) => !ids.has(id)).forEach((id) => this.dropUpstream(id));
    upstreams.forEach(({ upstreamId, isLeaving }) => {
      const known = this.rooms.get(upstreamId);
      const room = known ?? new rooms.UpstreamRoom(upstreamId, this.options.roomTokens);
      room.isLeaving = isLeaving;
      this.rooms.set(upstreamId, room);
    });
    this.pump();
  }

  /** Notes the first sign that an upstream is leaving, whoever saw it. */
  public markLeaving(upstreamId: string): void {
    const room = this.rooms.get(upstreamId);
    if (room !== undefined) {
      room.isLeaving = true;
    }
  }

  /** Takes an upstream out at once: it died. */
  public dropUpstream(upstreamId: string): void {
    const room = this.rooms.get(upstreamId);
    room?.generations.forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    this.rooms.delete(upstreamId);
    this.affinity.forget(upstreamId);
  }

  /** Takes an upstream's load report. */
  public takeReport(upstreamId: string, report: schemas.LoadReport): void {
    this.rooms.get(upstreamId)?.takeReport(report, this.options.clock.now());
    this.pump();
  }

  /** Asks for room; `decide` is called once, now or later. */
  public request(req: types.GrantRequest, decide: (decision: types.GrantDecision) => void): void {
    const share = this.options.getShare(req.team);
    const waiting = this.queue.countOf(req.team);
    const running = this.running.get(req.team) ?? 0;
    if (running + waiting >= share.maxConcurrent + share.maxQueued) {
      decide(this.refuse('too-many', req, 0));
      return;
    }
    if (waiting >= share.maxQueued && waiting > 0) {
      decide(this.refuse('queue-full', req, 0));
      return;
    }
    // Every upstream has refused it already: waiting would only put the final answer off.
    if (this.rooms.size > 0 && [...this.rooms.keys()].every((id) => req.excluded.includes(id))) {
      decide(this.refuse('excluded', req, 0));
      return;
    }
    const distribution = this.lengths.get(req.team, req.workClass);
    const cost = req.promptTokens + distribution.getMeanRest(0, req.maxTokens);
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
    const room = this.rooms.get(facts.upstreamId);
    if (room === undefined || room.generations.has(facts.generation)) {
      return;
    }
    this.heardAt.set(facts.daemonId, this.options.clock.now());
    this.admit(room, facts, facts.promptTokens);
  }

  /** Takes the tokens so far of all generations of a daemon. */
  public progress(batch: types.ProgressBatch): void {
    const now = this.options.clock.now();
    const sinceMs = now - (this.heardAt.get(batch.daemonId) ?? now);
    this.heardAt.set(batch.daemonId, now);
    const tokens = new Map(batch.tokens);
    this.rooms.forEach((room) => {
      const moved = [...room.generations.values()].filter((item) =>
        tokens.has(item.facts.generation),
      );
      let gained = 0;
      moved.forEach((item) => {
        const before = item.tokens;
        item.advance(tokens.get(item.facts.generation) ?? 0, now);
        gained += item.tokens - before;
      });
      if (moved.length > 0 && sinceMs > 0) {
        room.noteSpeed((gained * 1_000) / (sinceMs * moved.length));
      }
    });
    this.dropForgotten(batch.daemonId, tokens, now);
  }

  /** Takes a generation off the account. */
  public finish(generation: string, tokens: number, isNatural: boolean): void {
    const room = [...this.rooms.values()].find((item) => item.generations.has(generation));
    const now = this.options.clock.now();
    const live = room?.remove(generation, now);
    if (live === undefined) {
      return;
    }
    live.end(tokens, isNatural, now);
    const { team, promptTokens } = live.facts;
    this.running.set(team, (this.running.get(team) ?? 1) - 1);
    this.queue.charge(team, promptTokens + tokens - (this.costs.get(generation) ?? 0));
    this.costs.delete(generation);
    this.pump();
  }

  /** Drops what belongs to daemons that are gone, refuses whoever waited too long, grants what fits. */
  public tick(): void {
    this.dropSilentDaemons();
    const now = this.options.clock.now();
    this.rooms.forEach((room) => {
      room.rebuild(now);
      room.remember(now);
    });
    this.isBatchAged = this.queue.hasAgedBatch(now);
    (this.queue.listOverdue(now) as Ticket[]).forEach((ticket) => {
      this.settle(ticket, this.refuse('patience', ticket.req, now - ticket.enqueuedAt));
    });
    this.pump();
  }

  /** Gives everything that waits back to its askers, who go to the next owner. */
  public close(): void {
    this.tickets.forEach((ticket) =>
      this.settle(ticket, this.refuse('no-upstream', ticket.req, 0)),
    );
  }

  /** How the pool stands, for operators and measurements. */
  public getSummary(): { waiting: number; running: number; pressure: Record<string, number> } {
    const all = [...this.rooms.values()];
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
    for (const waiting of this.queue.inOrder(now)) {
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
    if ((this.running.get(req.team) ?? 0) >= share.maxConcurrent) {
      return false;
    }
    const candidates = this.listCandidates(req);
    const joining = this.createLive({ ...req, upstreamId: '', tokens: 0 }, now);
    const choice =
      this.choice.choose(candidates, joining, req.prefix, now) ??
      this.chooseUrgent(ticket, candidates, now);
    if (choice === undefined) {
      return false;
    }
    this.admit(choice.room, { ...req, upstreamId: choice.room.upstreamId, tokens: 0 }, ticket.cost);
    this.affinity.note(req.prefix, choice.room.upstreamId, now);
    this.heardAt.set(req.daemonId, this.heardAt.get(req.daemonId) ?? now);
    this.settle(ticket, {
      upstreamId: choice.room.upstreamId,
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
    candidates: readonly rooms.UpstreamRoom[],
    now: number,
  ): choices.Choice | undefined {
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

  private listCandidates(req: types.GrantRequest): rooms.UpstreamRoom[] {
    const usable = [...this.rooms.values()].filter(
      (room) => !room.isLeaving && !req.excluded.includes(room.upstreamId),
    );
    // Interactive work passes drafts, but a flood of it must leave them room, or they would never start.
    const isBounded = req.workClass === 'interactive' && this.isBatchAged;
    return isBounded
      ? usable.filter((room) => room.getInteractiveShare() < INTERACTIVE_SHARE)
      : usable;
  }

  private admit(room: rooms.UpstreamRoom, facts: types.RunningGeneration, cost: number): void {
    room.add(this.createLive(facts, this.options.clock.now()));
    this.running.set(facts.team, (this.running.get(facts.team) ?? 0) + 1);
    this.costs.set(facts.generation, cost);
    this.queue.charge(facts.team, cost);
  }

  private createLive(facts: types.RunningGeneration, now: number): liveGenerations.LiveGeneration {
    const distribution = this.lengths.get(facts.team, facts.workClass);
    return new liveGenerations.LiveGeneration(facts, distribution, now);
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
    const waiting = this.queue.countOf(req.team);
    const retryAfterS = Math.max(1, Math.ceil(waiting * RETRY_S_PER_WAITING));
    return { upstreamId: undefined, reason, queuedMs, pressure: 0, retryAfterS };
  }

  /** A message that told of an end may be lost; the generation would hold room for ever. */
  private dropForgotten(daemonId: string, told: ReadonlyMap<string, number>, now: number): void {
    this.rooms.forEach((room) => {
      [...room.generations.values()]
        .filter((item) => item.facts.daemonId === daemonId && !told.has(item.facts.generation))
        .filter((item) => now - item.grantedAt > FORGOTTEN_MS)
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }

  private dropSilentDaemons(): void {
    const now = this.options.clock.now();
    const silent = new Set(
      [...this.heardAt].filter(([, at]) => now - at > SILENT_MS).map(([daemonId]) => daemonId),
    );
    if (silent.size === 0) {
      return;
    }
    silent.forEach((daemonId) => this.heardAt.delete(daemonId));
    this.rooms.forEach((room) => {
      [...room.generations.values()]
        .filter((item) => silent.has(item.facts.daemonId))
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }
}
