import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as procedures from './core-procedures.js';
import type * as poolClients from './pool-client.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** What a caller is told to wait when no upstream of the service is known to live, in seconds. */
const RETRY_AFTER_S = 0.5;

/** What a caller is told to wait when all engines are full, in seconds; a draft ends every quarter of that. */
const FULL_RETRY_S = 2;

/**
 * How long a generation may wait for room, as a share of the time within which its first event is due. Reading its
 * prompt takes 0.4 to 0.6 s of 1.5 to 1.8 s, so one that waits longer is late anyway.
 */
const PATIENCE_SHARE = 0.4;

/** What a generation is taken to fill on average where nothing is known of it, in tokens. */
const MEAN_TOKENS = 3_000;

/** The share of the most tokens that an answer has on average, where the caller gives no estimate. */
const MEAN_SHARE_OF_MOST = 0.5;

/** The upstream of one attempt. */
export interface PickedUpstream {
  readonly upstreamId: string;
  readonly known: upstreamDirectories.KnownUpstream;
  /** Its share of busy places or of memory when it was picked, for the log. */
  readonly share: number;
  /** Who keeps a copy while the generation runs. */
  readonly copyAt: upstreamDirectories.KnownUpstream | undefined;
  /** How long it waited for room, in milliseconds. */
  readonly waitedMs: number;
}

/** Picks the upstream of each attempt: engines as the leader's account says, all else by what this host knows. */
export class UpstreamPicker {
  public constructor(
    private readonly directory: upstreamDirectories.UpstreamDirectory,
    private readonly pools: poolClients.PoolClient,
    private readonly availabilityZone: string,
    private readonly clock: schemas.Clock,
    private readonly random: () => number,
  ) {}

  /** Picks an upstream that was not tried yet, or refuses. */
  public async pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): Promise<PickedUpstream> {
    if (!isGeneration(call)) {
      return this.pickAlone(call, tried);
    }
    const patienceMs = Math.min(
      call.route.targetMs * PATIENCE_SHARE,
      call.endsAt - this.clock.now(),
    );
    const need = this.createNeed(call, [...tried]);
    const res = await this.pools.place(call.service.name, need, patienceMs);
    if (res === undefined) {
      return this.pickAlone(call, tried);
    }
    const picked = this.resolve(res);
    if (picked === undefined) {
      throw this.refuse('noRoom', call.service.name, FULL_RETRY_S);
    }
    this.pools.enter(call.service.name, need, picked.upstreamId);
    return picked;
  }

  /** Enters a generation that goes on at the engine of its copy, and picks who keeps the next copy. */
  public async pickResumed(
    call: callAdmissions.AdmittedCall,
    holder: upstreamDirectories.KnownUpstream,
  ): Promise<PickedUpstream> {
    const need = {
      ...this.createNeed(call, []),
      fixedEngineId: holder.upstreamId,
      ranMs: this.clock.now() - call.arrivedAt,
    };
    const res = await this.pools.place(call.service.name, need, 0);
    this.pools.enter(call.service.name, need, holder.upstreamId);
    const copyAt = this.findHolder(res?.placed?.copyAt);
    return { upstreamId: holder.upstreamId, known: holder, share: 0, copyAt, waitedMs: 0 };
  }

  /** Notes that a call runs no longer. */
  public release(call: callAdmissions.AdmittedCall, hasFailed: boolean): void {
    if (isGeneration(call)) {
      this.pools.leave(call.facts.requestId, hasFailed);
    }
  }

  private resolve({ placed, waitedMs }: procedures.PlaceRes): PickedUpstream | undefined {
    const known = placed && this.directory.find(placed.engineId);
    return (
      known && {
        upstreamId: known.upstreamId,
        known,
        share: placed.share,
        copyAt: this.findHolder(placed.copyAt),
        waitedMs,
      }
    );
  }

  private findHolder(
    upstreamId: string | undefined,
  ): upstreamDirectories.KnownUpstream | undefined {
    return upstreamId === undefined ? undefined : this.directory.find(upstreamId);
  }

  private createNeed(call: callAdmissions.AdmittedCall, excluded: string[]) {
    const promptTokens = call.facts.generation?.promptTokens ?? 0;
    return {
      callId: call.facts.requestId,
      promptTokens,
      answerTokens: getExpectedTokens(call) - promptTokens,
      leftMs: call.endsAt - this.clock.now(),
      excluded,
      wantsCopy: call.service.engine?.canBackUp === true,
      ranMs: 0,
    };
  }

  /**
   * Without a leader this host chooses by its own part of the load. It keeps no copies then: what others keep
   * where is not known, and a copy too many costs more than it saves.
   */
  private pickAlone(call: callAdmissions.AdmittedCall, tried: ReadonlySet<string>): PickedUpstream {
    const now = this.clock.now();
    const candidates = this.listCandidates(call.service, now).filter(
      (item) => !tried.has(item.upstreamId),
    );
    const isEngine = isGeneration(call);
    const choose = isEngine ? routing.chooseByMemory : routing.chooseByCalls;
    const chosen = choose(candidates, now, this.random);
    if (chosen === undefined) {
      throw this.refuse('noUpstream', call.service.name, RETRY_AFTER_S);
    }
    const { known, upstreamId } = chosen;
    const share = isEngine
      ? routing.getMemoryShare(chosen, now)
      : known.load.getBusy(now) / chosen.slots;
    return { upstreamId, known, share, copyAt: undefined, waitedMs: 0 };
  }

  private listCandidates(service: schemas.RoutedService, now: number) {
    return this.directory
      .listLive(service.name)
      .map((known) => this.createCandidate(known, service, now));
  }

  private createCandidate(
    known: upstreamDirectories.KnownUpstream,
    service: schemas.RoutedService,
    now: number,
  ) {
    return {
      upstreamId: known.upstreamId,
      known,
      isNear: known.listed.availabilityZone === this.availabilityZone,
      isCold: known.coldUntil > now,
      slots: known.listed.slots,
      load: known.load,
      memoryTokens: service.engine?.memoryTokens ?? Infinity,
      meanTokens: MEAN_TOKENS,
    };
  }

  private refuse(
    id: 'noUpstream' | 'noRoom',
    service: string,
    retryAfterS: number,
  ): schemas.Refusal {
    return new schemas.Refusal({
      id,
      step: 'pick',
      status: 503,
      outcome: 'not-run',
      args: [service, this.availabilityZone],
      retryAfterS,
    });
  }
}

/** Whether a copy of a call's generation is worth keeping while it runs. */
export function wantsCopy(call: callAdmissions.AdmittedCall): boolean {
  const answerTokens = getExpectedTokens(call) - (call.facts.generation?.promptTokens ?? 0);
  const { engine } = call.service;
  const canCopy = isGeneration(call) && engine?.canBackUp === true && engine.canMove;
  return canCopy && answerTokens > routing.SHORT_ANSWER_TOKENS;
}

function isGeneration({ facts, service }: callAdmissions.AdmittedCall): boolean {
  return facts.generation !== undefined && service.engine !== undefined;
}

/** The memory that a call is expected to fill on an engine, in tokens; 0 for calls that are no generations. */
export function getExpectedTokens({ facts }: callAdmissions.AdmittedCall): number {
  if (facts.generation === undefined) {
    return 0;
  }
  const { hintTokens, maxTokens, promptTokens } = facts.generation;
  return promptTokens + Math.min(hintTokens ?? maxTokens * MEAN_SHARE_OF_MOST, maxTokens);
}

/**
 * The rank of a generation at its engine: the team's or the route's, and short answers before long ones of the
 * same rank. A check of a few tokens that waits behind the reading of long prompts is late for its whole length,
 * while a draft of ten seconds loses a tenth of a second to it.
 */
export function getUrgency(call: callAdmissions.AdmittedCall): number | undefined {
  if (!isGeneration(call)) {
    return undefined;
  }
  const rank = call.team?.urgency ?? call.route.urgency;
  const answerTokens = getExpectedTokens(call) - (call.facts.generation?.promptTokens ?? 0);
  return rank * 2 + (answerTokens > routing.SHORT_ANSWER_TOKENS ? 1 : 0);
}
