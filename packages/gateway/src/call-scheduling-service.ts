import * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';

import type * as slotMessages from './slot-messages.js';
import type * as slotObservers from './slot-observer.js';

/**
 * Interval at which waiting calls are looked at again without a release, in milliseconds: deadlines pass, and the list
 * of upstreams changes. A call of 50 ms ends in the meantime at one slot in three.
 */
const RETRY_INTERVAL_MS = 20;

/**
 * Time after which a host is told that its call still waits, in milliseconds. Without this, a leader that has lost power
 * looks like one with a queue for as long as calls may wait, half a second.
 */
export const QUEUED_AFTER_MS = 40;

/** Time for which a decision is kept for a host that has not repeated its request, in milliseconds. */
const UNCLAIMED_TTL_MS = 1_000;

/** Dependencies of the call scheduling service. */
export interface CallSchedulingServiceOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Returns the upstreams of a plain service that take calls; undefined if the service or its list is not known. */
  readonly findUpstreams: (
    service: string,
  ) => readonly scheduling.SchedulableUpstream[] | undefined;
  readonly getWeight: (team: string) => number;
  readonly random: () => number;
  /** Share of the limits that may be used here; undefined on the leader, which schedules for all hosts. */
  readonly getLimitShare?: () => number;
  /** Counts and logs the requests and their decisions; by default, nothing does. */
  readonly observer?: slotObservers.SlotObserver;
}

interface Pool {
  readonly service: string;
  readonly scheduler: scheduling.CallScheduler;
  /** When refused callers may return. */
  readonly returnTimes: scheduling.CallReturnTimes;
  /** Settles the requests that wait, by call. */
  readonly settle: Map<string, (res: slotMessages.SlotRes) => void>;
  upstreams: readonly scheduling.SchedulableUpstream[] | undefined;
  isRetrying: boolean;
}

/** Schedules the calls of all plain services, for all hosts on the leader and for its own calls on a host without one. */
export class CallSchedulingService {
  private readonly pools = new Map<string, Pool>();
  private readonly incarnations = new Map<string, string>();
  /** Requests of other hosts that have not been answered with a decision, by call. */
  private readonly pending = new Map<string, Promise<slotMessages.SlotRes>>();
  private term: number | undefined;

  public constructor(private readonly options: CallSchedulingServiceOptions) {}

  /** Waits for a slot for a call; the answer is a refusal if it can't be served in time. */
  public async request(req: slotMessages.SlotReq): Promise<slotMessages.SlotRes> {
    const now = this.options.clock.now();
    const pool = this.findPool(req.service);
    if (pool?.upstreams === undefined) {
      return { waitedMs: 0, isUnknown: true };
    }
    this.noteIncarnation(req);
    return new Promise((resolve) => {
      pool.settle.set(req.callId, resolve);
      const spec = createSpec(req, now);
      this.options.observer?.recordAsked(req.service, spec);
      this.settleAll(pool, pool.scheduler.submit(spec, now));
      const task = { log: this.options.log, step: 'retry-waiting' };
      schemas.runInBackground(() => this.retryWaiting(pool, req.service), task);
    });
  }

  /** Answers a request of another host with the decision, or after a short time that the call still waits. */
  public async requestOrQueue(req: slotMessages.SlotReq): Promise<slotMessages.SlotRes> {
    const decision = this.pending.get(req.callId) ?? this.requestPending(req);
    const timer = new AbortController();
    const queued = this.options.clock
      .sleep(QUEUED_AFTER_MS, timer.signal)
      .then(() => ({ waitedMs: QUEUED_AFTER_MS, isQueued: true }));
    queued.catch(() => {});
    const res = await Promise.race([decision, queued]);
    timer.abort();
    if (!('isQueued' in res) || res.isQueued !== true) {
      this.pending.delete(req.callId);
    }
    return res;
  }

  /** Frees the slot of a call, or withdraws its request. */
  public release({ callId, service, ...end }: slotMessages.SlotRelease): void {
    const pool = this.pools.get(service);
    if (pool === undefined) {
      return;
    }
    const now = this.options.clock.now();
    const settled = pool.scheduler.complete(callId, end, now);
    // A call that still waited is settled itself; its host has withdrawn it.
    const withdrawn = settled.filter(({ spec }) => spec.callId === callId);
    this.answer(pool, withdrawn);
    this.settleAll(
      pool,
      settled.filter((item) => !withdrawn.includes(item)),
    );
  }

  /** Registers the calls of a host that hold slots already. */
  public report({ calls, hostId, incarnation }: slotMessages.SlotReport): void {
    this.noteIncarnation({ hostId, incarnation });
    const now = this.options.clock.now();
    calls.forEach(({ callId, leftMs, service, upstreamId }) => {
      const expiresAt = now + leftMs;
      const spec = {
        callId,
        hostId,
        incarnation,
        team: '',
        priority: 0,
        availabilityZone: '',
        dueAt: expiresAt,
        expiresAt,
        excluded: [],
      };
      const pool = this.findPool(service) ?? this.getPool(service);
      pool.scheduler.registerRunning(spec, upstreamId, expiresAt, now);
    });
  }

  /** Returns the state of each service, for operators. */
  public listSummaries(): { service: string; summary: scheduling.ServiceSummary }[] {
    const now = this.options.clock.now();
    return [...this.pools].map(([service, { scheduler }]) => ({
      service,
      summary: scheduler.getSummary(now),
    }));
  }

  /** Starts a term as the leader, with no slots taken; hosts report the calls that hold some. */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.clear();
    }
  }

  /** Drops all state, because another host leads; requests that wait are answered as unknown. */
  public clear(): void {
    this.pools.forEach(({ settle }) =>
      settle.forEach((resolve) => resolve({ waitedMs: 0, isUnknown: true })),
    );
    this.pools.clear();
    this.pending.clear();
    this.incarnations.clear();
  }

  private requestPending(req: slotMessages.SlotReq): Promise<slotMessages.SlotRes> {
    const { clock } = this.options;
    const decision = this.request(req);
    this.pending.set(req.callId, decision);
    const forget = async () => {
      await decision;
      await clock.sleep(UNCLAIMED_TTL_MS);
      this.pending.delete(req.callId);
    };
    schemas.runInBackground(forget, { log: this.options.log, step: 'forget-decision' });
    return decision;
  }

  /** Frees the slots of the earlier process of a host that has restarted. */
  private noteIncarnation({
    hostId,
    incarnation,
  }: Pick<slotMessages.SlotReq, 'hostId' | 'incarnation'>): void {
    const known = this.incarnations.get(hostId);
    this.incarnations.set(hostId, incarnation);
    if (known === undefined || known === incarnation) {
      return;
    }
    const now = this.options.clock.now();
    this.pools.forEach((pool) =>
      this.answer(pool, pool.scheduler.dropHost(hostId, incarnation, now)),
    );
  }

  /** Looks at the waiting calls of a service at intervals while there are any. */
  private async retryWaiting(pool: Pool, service: string): Promise<void> {
    if (pool.isRetrying) {
      return;
    }
    pool.isRetrying = true;
    const { clock, log } = this.options;
    try {
      while (pool.settle.size > 0 && this.pools.get(service) === pool) {
        await clock.sleep(RETRY_INTERVAL_MS);
        if (this.pools.get(service) === pool) {
          const retry = () => this.retry(pool, service);
          await schemas.runRound(retry, { log, step: 'retry-waiting' });
        }
      }
    } finally {
      pool.isRetrying = false;
    }
  }

  private retry(pool: Pool, service: string): void {
    this.findPool(service);
    if (pool.upstreams === undefined) {
      // The list of a host that no longer leads is not kept, so nothing would end the wait.
      pool.settle.forEach((resolve) => resolve({ waitedMs: 0, isUnknown: true }));
      this.pools.delete(service);
      return;
    }
    this.settleAll(pool, pool.scheduler.dispatch(this.options.clock.now()));
  }

  private settleAll(pool: Pool, settled: readonly scheduling.SettledCall[]): void {
    settled.forEach((item) => {
      if (item.kind === 'granted') {
        pool.returnTimes.recordGranted(this.options.clock.now());
      }
      this.options.observer?.recordSettled(pool.service, item, () => this.getLoad(pool, item));
    });
    this.answer(pool, settled);
  }

  /** Answers the requests of calls that were granted, refused or withdrawn. */
  private answer(pool: Pool, settled: readonly scheduling.SettledCall[]): void {
    settled.forEach((item) => {
      const { callId } = item.spec;
      pool.settle.get(callId)?.(createRes(item, () => this.getLoad(pool, item)));
      pool.settle.delete(callId);
    });
  }

  private getLoad({ scheduler }: Pool, settled: scheduling.SettledCall): scheduling.ServiceLoad {
    const upstreamId = settled.kind === 'granted' ? settled.upstreamId : undefined;
    return scheduler.getLoad(upstreamId, this.options.clock.now());
  }

  private findPool(service: string): Pool | undefined {
    const upstreams = this.options.findUpstreams(service);
    if (upstreams === undefined && !this.pools.has(service)) {
      return undefined;
    }
    const pool = this.getPool(service);
    if (pool.upstreams !== upstreams) {
      pool.upstreams = upstreams;
      pool.scheduler.setUpstreams(upstreams ?? []);
    }
    return pool;
  }

  private getPool(service: string): Pool {
    const known = this.pools.get(service);
    if (known !== undefined) {
      return known;
    }
    const { getLimitShare, getWeight, random } = this.options;
    const returnTimes = new scheduling.CallReturnTimes(random);
    const options = { getLimitShare, getWeight, random, retryTimes: returnTimes };
    const pool = {
      service,
      scheduler: new scheduling.CallScheduler(options),
      returnTimes,
      settle: new Map<string, (res: slotMessages.SlotRes) => void>(),
      upstreams: undefined,
      isRetrying: false,
    };
    this.pools.set(service, pool);
    return pool;
  }
}

function createSpec(req: slotMessages.SlotReq, now: number): scheduling.CallSpec {
  const { availabilityZone, callId, dueInMs, excluded, hostId, incarnation, leftMs } = req;
  return {
    callId,
    hostId,
    incarnation,
    team: req.team ?? '',
    priority: req.priority,
    availabilityZone,
    dueAt: now + dueInMs,
    expiresAt: now + leftMs,
    excluded,
  };
}

function createRes(
  settled: scheduling.SettledCall,
  getLoad: () => scheduling.ServiceLoad,
): slotMessages.SlotRes {
  const waitedMs = Math.round(settled.waitedMs);
  if (settled.kind === 'granted') {
    const { expectedMs, slowdown } = getLoad();
    return { upstreamId: settled.upstreamId, waitedMs, expectedMs, slowdown };
  }
  const { reason } = settled;
  return { waitedMs, refused: { reason, retryAfterMs: Math.round(settled.retryAfterMs) } };
}
