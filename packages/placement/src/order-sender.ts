import * as schemas from '@bramleyridge/schemas';

import * as desiredStates from './desired-state.js';
import * as weightBudgets from './model-load-limiter.js';

/** The longest that an order may be under way, as a share of the lease, so that a fresh lease outlasts it. */
const ORDER_SHARE_OF_LEASE = 0.5;

/** How long an order that was taken is not sent again, in milliseconds. */
const REPEAT_MS = 10_000;

/** How many loads may begin per second, and at once. */
const LOADS_PER_SECOND = 4;
const LOADS_AT_ONCE = 8;

/** The longest that an order may be under way, in milliseconds. */
export function getOrderDeadlineMs(leaseMs: number): number {
  return leaseMs * ORDER_SHARE_OF_LEASE;
}

/** The leader as the sender of orders sees it. */
export interface OrderAuthority {
  /** Whether the lease holds for at least so long. */
  isLeaseHeld(ms: number): boolean;
  getFencing(): schemas.Fencing;
  /** When this leadership began, on the clock that is passed in. */
  readonly startedAt: number;
}

/** What the sender needs. */
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
  private readonly budget: weightBudgets.ModelLoadLimiter;
  private readonly sentAt = new Map<string, number>();
  private readonly deadlineMs: number;

  public constructor(private readonly options: OrderSenderOptions) {
    this.deadlineMs = getOrderDeadlineMs(options.leaseMs);
    this.budget = new weightBudgets.ModelLoadLimiter(
      options.clock,
      LOADS_PER_SECOND,
      LOADS_AT_ONCE,
    );
  }

  /** Whether the former leader's lease and its longest order are over. */
  public hasPreviousLeaderExpired(): boolean {
    const { authority, clock, leaseMs } = this.options;
    return clock.now() - authority.startedAt > leaseMs + this.deadlineMs;
  }

  /** Sends what is due; gives back the upstreams that took an order. */
  public async run(
    steps: readonly desiredStates.ReconcileStep[],
    upstreams: ReadonlyMap<string, schemas.Upstream>,
  ): Promise<string[]> {
    const taken: string[] = [];
    for (const step of steps) {
      const upstream = upstreams.get(step.slot.upstreamId);
      if (upstream !== undefined && (await this.sendOne(step, upstream))) {
        taken.push(upstream.upstreamId);
      }
    }
    return taken;
  }

  private async sendOne(
    step: desiredStates.ReconcileStep,
    upstream: schemas.Upstream,
  ): Promise<boolean> {
    const { authority, clock, log } = this.options;
    const key = `${step.action}/${desiredStates.getReplicaKey(step.slot)}`;
    const isRecent = clock.now() - (this.sentAt.get(key) ?? -Infinity) < REPEAT_MS;
    if (isRecent || !this.mayOrder(upstream)) {
      return false;
    }
    if (step.action === 'load' && !this.budget.take()) {
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
   * An engine that checks fencing refuses an old leader by itself. One that ignores it obeys whoever comes
   * last, so an isolated leader could undo what its successor ordered. It gets orders only while the lease
   * outlasts the order's deadline, and a successor waits until that lease and that order are over.
   */
  private mayOrder(upstream: schemas.Upstream): boolean {
    const isLeased = this.options.authority.isLeaseHeld(this.deadlineMs);
    return isLeased && (upstream.checksFencing || this.hasPreviousLeaderExpired());
  }
}
