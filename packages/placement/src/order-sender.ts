import * as schemas from '@bramleyridge/schemas';

import * as desiredStates from './desired-state.js';
import * as modelLoadLimiters from './model-load-limiter.js';

/** The time limit of an order as a fraction of the lease, so that a new lease outlasts the order. */
const ORDER_SHARE_OF_LEASE = 0.5;

/**
 * The shortest time between two sends of the same order, in milliseconds; an unanswered order may be resent earlier.
 */
const RESEND_INTERVAL_MS = 10_000;

/** The loads that may start per second, and in a burst; more would exceed the limit of the weight store. */
const LOADS_PER_SECOND = 4;
const LOAD_BURST = 8;

/** Returns the time limit of an order, in milliseconds. */
export function getOrderDeadlineMs(leaseMs: number): number {
  return leaseMs * ORDER_SHARE_OF_LEASE;
}

/** The leadership under which orders are sent. */
export interface OrderAuthority {
  /** Returns whether the lease is held for at least `ms` more milliseconds. */
  isLeaseHeld(ms: number): boolean;
  getFencing(): schemas.Fencing;
  /** The start of this leadership, on the sender's clock. */
  readonly startedAt: number;
}

/** The dependencies of an order sender. */
export interface OrderSenderOptions {
  readonly authority: OrderAuthority;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly leaseMs: number;
  readonly send: (
    upstream: schemas.Upstream,
    order: schemas.Order,
    deadlineMs: number,
  ) => Promise<number>;
}

/** Sends the orders of one leadership. */
export class OrderSender {
  private readonly loadLimiter: modelLoadLimiters.ModelLoadLimiter;
  private readonly sentAt = new Map<string, number>();
  private readonly deadlineMs: number;

  public constructor(private readonly options: OrderSenderOptions) {
    this.deadlineMs = getOrderDeadlineMs(options.leaseMs);
    this.loadLimiter = new modelLoadLimiters.ModelLoadLimiter(
      options.clock,
      LOADS_PER_SECOND,
      LOAD_BURST,
    );
  }

  /** Returns whether the previous leader's lease, and the longest order that it could still have sent, have ended. */
  public hasPreviousLeaderExpired(): boolean {
    const { authority, clock, leaseMs } = this.options;
    return clock.now() - authority.startedAt > leaseMs + this.deadlineMs;
  }

  /** Sends the orders that are due and returns the upstreams that accepted one. */
  public async run(
    steps: readonly desiredStates.ReconcileStep[],
    upstreams: ReadonlyMap<string, schemas.Upstream>,
  ): Promise<string[]> {
    const accepted: string[] = [];
    for (const step of steps) {
      const upstream = upstreams.get(step.slot.upstreamId);
      if (upstream !== undefined && (await this.sendOne(step, upstream))) {
        accepted.push(upstream.upstreamId);
      }
    }
    return accepted;
  }

  private async sendOne(
    step: desiredStates.ReconcileStep,
    upstream: schemas.Upstream,
  ): Promise<boolean> {
    const { authority, clock, log } = this.options;
    const key = `${step.action}/${desiredStates.getReplicaKey(step.slot)}`;
    const isRecent = clock.now() - (this.sentAt.get(key) ?? -Infinity) < RESEND_INTERVAL_MS;
    if (isRecent || !this.mayOrder(upstream)) {
      return false;
    }
    if (step.action === 'load' && !this.loadLimiter.take()) {
      return false;
    }
    const fencing = authority.getFencing();
    const { model, version } = step.slot;
    const orderId = `${fencing.term}-${fencing.index}-${key}`;
    const order: schemas.Order = { orderId, fencing, action: step.action, model, version };
    this.sentAt.set(key, clock.now());
    const fields = { decision: 'order', upstream: upstream.upstreamId, ...order };
    try {
      const status = await this.options.send(upstream, order, this.deadlineMs);
      log.info({ ...fields, reason: step.reason, status });
      return status === 200;
    } catch (err) {
      this.sentAt.delete(key);
      log.warn({ ...fields, reason: 'not answered', err: schemas.toError(err).message });
      return false;
    }
  }

  /**
   * An engine that checks fencing tokens rejects orders of an old leader. One that ignores them executes whichever
   * order arrives last, so an isolated leader could undo its successor's orders. Orders are therefore sent only while
   * the lease outlasts their time limit, and for such an engine a new leader waits until the previous lease and order
   * have ended.
   */
  private mayOrder(upstream: schemas.Upstream): boolean {
    const isLeased = this.options.authority.isLeaseHeld(this.deadlineMs);
    return isLeased && (upstream.checksFencing || this.hasPreviousLeaderExpired());
  }
}
