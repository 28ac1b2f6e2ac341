import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import * as callSchedulingServices from './call-scheduling-service.js';
import type * as coreMeshes from './core-mesh.js';
import * as heldSlots from './held-slot.js';
import type * as slotMessages from './slot-messages.js';

/**
 * Time that the leader's answer may take beyond the time after which it answers that a call waits, in milliseconds; about
 * ten round trips.
 */
const ANSWER_MARGIN_MS = 60;

/** How long this host schedules alone after a request without an answer, in milliseconds. */
const ALONE_MS = 500;

/** Dependencies of the slot client. */
export interface SlotClientOptions {
  readonly hostId: string;
  /** Identifies this process; a restart of the host gives another one. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: coreMeshes.CorePeers;
  readonly findLeader: () => string | undefined;
  /** Schedules the calls of this host while no leader answers, for its share of the limits. */
  readonly local: callSchedulingServices.CallSchedulingService;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
}

/** A call that needs a slot. */
export interface SlotAsk {
  readonly requestId: string;
  readonly service: string;
  readonly team: string | undefined;
  readonly priority: number;
  /** Time until its answer is due, in milliseconds; negative if it is overdue. */
  readonly dueInMs: number;
  /** Time until its deadline, in milliseconds. */
  readonly leftMs: number;
  /** Upstreams that must not be used for it. */
  readonly excluded: readonly string[];
  /** Further upstreams that must not be used for it if this host schedules alone. */
  readonly excludedAlone: readonly string[];
}

/** A slot for a call, or why it gets none. */
export type SlotDecision =
  | {
      readonly slot: heldSlots.HeldSlot;
      readonly waitedMs: number;
      /** Time that the call is expected to take there, in milliseconds; `undefined` if it is not known. */
      readonly expectedMs?: number | undefined;
      /** Slowdown that the upstream stated; `undefined` if it states none now. */
      readonly slowdown?: number | undefined;
    }
  | {
      readonly slot: undefined;
      readonly waitedMs: number;
      readonly reason: scheduling.SlotRefusalReason;
      /** Time after which the caller may return, in milliseconds; undefined if no upstream is known. */
      readonly retryAfterMs: number | undefined;
    };

/** Provides slots for calls of plain services. */
export interface SlotSource {
  /** Waits for a slot; rejects with the signal's reason if the caller leaves meanwhile. */
  request(ask: SlotAsk, signal?: AbortSignal): Promise<SlotDecision>;
}

/** Requests slots from the leader, returns them, and schedules this host's calls alone while no leader answers. */
export class SlotClient implements SlotSource {
  private readonly held = new Map<string, heldSlots.HeldSlot>();
  private sequence = 0;
  private aloneUntil = -Infinity;
  private informedLeader: string | undefined;
  private isAlone = false;

  public constructor(private readonly options: SlotClientOptions) {}

  public async request(ask: SlotAsk, signal?: AbortSignal): Promise<SlotDecision> {
    const { clock, metrics } = this.options;
    const { service } = ask;
    const askedAt = clock.now();
    const decision = await this.decide(ask, signal);
    metrics.time('slotWaitMs', clock.now() - askedAt, { service });
    metrics.count('slots', { service, decision: getLabel(decision) });
    return decision;
  }

  private async decide(ask: SlotAsk, signal: AbortSignal | undefined): Promise<SlotDecision> {
    signal?.throwIfAborted();
    const req = this.createReq(ask);
    const leader = this.findAnsweringLeader();
    const res =
      leader === undefined ? undefined : await this.requestFromLeader(leader, req, signal);
    const isFromLeader = res !== undefined && res.isUnknown !== true;
    if (isFromLeader) {
      this.recordMode(false);
      return this.settle(req, res, leader, signal);
    }
    signal?.throwIfAborted();
    // The calls that this host sends alone are reported when the leader can decide again.
    this.informedLeader = undefined;
    this.recordMode(true);
    return this.requestAlone(req, ask, signal);
  }

  private async requestFromLeader(
    leader: string,
    req: slotMessages.SlotReq,
    signal: AbortSignal | undefined,
  ): Promise<slotMessages.SlotRes | undefined> {
    const { clock, findLeader, log } = this.options;
    this.reportSlots(leader);
    const withdraw = () => this.sendUnused(leader, req);
    signal?.addEventListener('abort', withdraw, { once: true });
    try {
      return await this.requestUntilDecided(leader, req, signal);
    } catch (err) {
      this.informedLeader = undefined;
      // A failed request to a former leader says nothing about the current one.
      if (findLeader() === leader) {
        this.aloneUntil = clock.now() + ALONE_MS;
      }
      log.warn({ event: 'slot-request-failed', peer: leader, err: schemas.toError(err).message });
      // The answer may have been lost after the leader took a slot.
      if (signal?.aborted !== true) {
        withdraw();
      }
      return undefined;
    } finally {
      signal?.removeEventListener('abort', withdraw);
    }
  }

  /** Repeats a request while the leader answers that the call waits; `undefined` if the caller leaves meanwhile. */
  private async requestUntilDecided(
    leader: string,
    req: slotMessages.SlotReq,
    signal: AbortSignal | undefined,
  ): Promise<slotMessages.SlotRes | undefined> {
    const { clock, mesh } = this.options;
    const context = { deadlineMs: callSchedulingServices.QUEUED_AFTER_MS + ANSWER_MARGIN_MS };
    const startedAt = clock.now();
    while (signal?.aborted !== true) {
      const elapsedMs = clock.now() - startedAt;
      const limits = { dueInMs: req.dueInMs - elapsedMs, leftMs: req.leftMs - elapsedMs };
      const res = await mesh.get(leader).requestSlot.mutate({ ...req, ...limits }, { context });
      if (res.isQueued !== true) {
        return res;
      }
    }
    return undefined;
  }

  private async requestAlone(
    req: slotMessages.SlotReq,
    { excludedAlone }: SlotAsk,
    signal: AbortSignal | undefined,
  ): Promise<SlotDecision> {
    const { local } = this.options;
    const { callId, service } = req;
    const withdraw = () => local.release({ service, callId, result: 'unused', tookMs: 0 });
    signal?.addEventListener('abort', withdraw, { once: true });
    try {
      const excluded = [...req.excluded, ...excludedAlone];
      const res = await local.request({ ...req, excluded });
      return this.settle(req, res, undefined, signal);
    } finally {
      signal?.removeEventListener('abort', withdraw);
    }
  }

  private settle(
    req: slotMessages.SlotReq,
    res: slotMessages.SlotRes,
    leader: string | undefined,
    signal: AbortSignal | undefined,
  ): SlotDecision {
    const { expectedMs, refused, slowdown, upstreamId, waitedMs } = res;
    if (signal?.aborted === true && leader !== undefined && upstreamId !== undefined) {
      // The withdrawal may have reached the leader before the request, which then took a slot.
      this.sendUnused(leader, req);
    }
    signal?.throwIfAborted();
    if (upstreamId === undefined) {
      const reason = refused?.reason ?? 'no-upstream';
      return { slot: undefined, waitedMs, reason, retryAfterMs: refused?.retryAfterMs };
    }
    const { clock, local } = this.options;
    const { callId, leftMs, service } = req;
    const expiresAt = clock.now() + leftMs - waitedMs;
    const slot = new heldSlots.HeldSlot(
      service,
      callId,
      upstreamId,
      expiresAt,
      leader === undefined,
      (returned, end) => this.returnSlot(returned, end),
    );
    slot.knownTo = leader;
    this.held.set(callId, slot);
    if (leader !== undefined) {
      // While this host schedules alone, its running calls count against its share.
      local.report(this.createReport([slot]));
    }
    return { slot, waitedMs, expectedMs, slowdown };
  }

  private returnSlot(slot: heldSlots.HeldSlot, end: heldSlots.SlotEnd): void {
    const { findLeader, local, mesh } = this.options;
    const { callId, service } = slot;
    const release = { service, callId, ...end };
    this.held.delete(callId);
    local.release(release);
    const leader = findLeader();
    if (leader !== undefined && slot.knownTo === leader) {
      this.send(mesh.get(leader).releaseSlot.mutate(release), 'release-slot');
    }
  }

  /** Reports the calls that hold slots to a leader that is new or did not answer for a while. */
  private reportSlots(leader: string): void {
    if (this.informedLeader === leader) {
      return;
    }
    this.informedLeader = leader;
    const slots = [...this.held.values()];
    if (slots.length === 0) {
      return;
    }
    slots.forEach((slot) => {
      slot.knownTo = leader;
    });
    const report = this.createReport(slots);
    this.send(this.options.mesh.get(leader).reportSlots.mutate(report), 'report-slots');
  }

  private createReport(slots: readonly heldSlots.HeldSlot[]): slotMessages.SlotReport {
    const { clock, hostId, incarnation } = this.options;
    const now = clock.now();
    const calls = slots.map(({ callId, expiresAt, service, upstreamId }) => ({
      service,
      callId,
      upstreamId,
      leftMs: expiresAt - now,
    }));
    return { hostId, incarnation, calls };
  }

  private createReq(ask: SlotAsk): slotMessages.SlotReq {
    const { availabilityZone, hostId, incarnation } = this.options;
    const { dueInMs, excluded, leftMs, priority, requestId, service, team } = ask;
    this.sequence += 1;
    // Callers may use one request id for several calls, and one call may be sent several times.
    const callId = `${requestId}~${hostId}.${this.sequence}`;
    const limits = { priority, dueInMs, leftMs, excluded };
    return { hostId, incarnation, service, callId, team, availabilityZone, ...limits };
  }

  private findAnsweringLeader(): string | undefined {
    const { clock, findLeader } = this.options;
    return clock.now() < this.aloneUntil ? undefined : findLeader();
  }

  private recordMode(isAlone: boolean): void {
    if (this.isAlone !== isAlone) {
      this.isAlone = isAlone;
      this.options.log.info({ event: isAlone ? 'scheduling-alone' : 'scheduling-with-leader' });
    }
  }

  private sendUnused(leader: string, { callId, service }: slotMessages.SlotReq): void {
    const release = { service, callId, result: 'unused' as const, tookMs: 0 };
    this.send(this.options.mesh.get(leader).releaseSlot.mutate(release), 'release-slot');
  }

  private send(pending: Promise<unknown>, step: string): void {
    pending.catch((err: unknown) => {
      // The leader frees slots at the calls' deadlines, so a lost message only occupies one for a while.
      this.options.log.debug({ step, err: schemas.toError(err).message });
    });
  }
}

/** Returns the label of a decision in metrics; without an upstream that is known, no time to return is stated. */
function getLabel(decision: SlotDecision): string {
  if (decision.slot !== undefined) {
    return decision.slot.isAlone ? 'alone' : 'granted';
  }
  return decision.retryAfterMs === undefined ? 'unknown' : 'refused';
}
