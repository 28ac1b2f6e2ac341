import type * as requests from '@bramleyridge/requests';
import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as procedures from './core-procedures.js';
import * as fallbackPickers from './fallback-picker.js';
import * as generationCalls from './generation-calls.js';
import type * as heldSlots from './held-slot.js';
import type * as pickedUpstreams from './picked-upstream.js';
import * as slotPickers from './slot-picker.js';
import type * as slotClients from './slot-client.js';
import type * as upstreamDirectories from './upstream-directory.js';

/**
 * The Retry-After value if all engines are full, in seconds. A long generation ends, and frees capacity, about every
 * 0.5 s.
 */
const FULL_RETRY_AFTER_S = 2;

/**
 * How long a generation may wait for capacity, as a share of the time within which its first event is due. The prefill
 * takes 0.4 to 0.6 s of 1.5 to 1.8 s, so a generation that waits longer is late anyway.
 */
const MAX_WAIT_SHARE = 0.4;

/** The leader's answer about a run that can be migrated. */
export interface MigrationAnswer {
  /** Whether the leader answered with an engine that this host can use, or with none. */
  readonly isAnswered: boolean;
  readonly target: upstreamDirectories.KnownUpstream | undefined;
}

/** Time limits and priority of a generation that waits for placement. */
export interface PlacementWait {
  /** How long it may wait for capacity, in milliseconds. */
  readonly patienceMs: number;
  /** Time until its first event is due, in milliseconds; negative if it is overdue. */
  readonly dueInMs: number;
  /** Its priority; 0 is the highest. */
  readonly rank: number;
  /** The team of its caller; `undefined` for calls without a team. */
  readonly team?: string | undefined;
}

/** This host's access to the leader's ledger of the generations on the engines. */
export interface GenerationPlacer {
  /** Requests a placement; undefined if there is no answer and this host has to use fallback placement. */
  place(
    service: string,
    spec: routing.PlacementSpec,
    wait: PlacementWait,
  ): Promise<procedures.PlaceRes | undefined>;
  /** Waits until a run is to be migrated and returns the target engine, if any; undefined if there is no answer. */
  awaitMigration(
    service: string,
    run: procedures.MigrationOffer,
  ): Promise<procedures.MigrationRes | undefined>;
  /** Reports an event of a generation that runs here. */
  reportEvent(callId: string, event: procedures.GenerationEvent['event']): void;
  /** Reports the pace of a stream on its engine. */
  reportPace(callId: string, engineId: string, pace: routing.StreamPace): void;
  /** Registers a generation that runs here, whether the leader or this host placed it. */
  registerRun(service: string, spec: routing.PlacementSpec, engineId: string): void;
  /** Unregisters a generation that has ended; `hasAnswered` is `undefined` if its end shows nothing about its engine. */
  unregisterRun(callId: string, hasFailed: boolean, hasAnswered?: boolean): void;
}

/** Dependencies of the upstream picker. */
export interface UpstreamPickerOptions {
  /** Provides slots for calls that are no generations; undefined while capacity is not shared among teams. */
  readonly findSlots?: (service: string) => slotClients.SlotSource | undefined;
  /** Returns how many slots this host has at the upstreams of a brittle service without a leader. */
  readonly findOwnedSlots?: (service: string) => ReadonlyMap<string, number> | undefined;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly placer: GenerationPlacer;
  readonly gate: requests.UpstreamGate;
  readonly availabilityZone: string;
  readonly coldSendQuota: routing.ColdSendQuota;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** How an attempt of a call ended. */
export interface AttemptEnd extends heldSlots.SlotEnd {
  /** Whether its generation has failed. */
  readonly hasFailed: boolean;
}

/** The end of an attempt for which nothing was sent. */
export const UNSENT: AttemptEnd = { hasFailed: false, result: 'unused', tookMs: 0 };

/**
 * Picks the upstream of each attempt: engines by the leader's ledger, all others by the slot that the call gets, or by the
 * state on this host where capacity is not shared among teams.
 */
export class UpstreamPicker {
  private readonly fallback: fallbackPickers.FallbackPicker;

  public constructor(private readonly options: UpstreamPickerOptions) {
    this.fallback = new fallbackPickers.FallbackPicker(options);
  }

  /**
   * Picks an upstream that has not been tried yet, or throws a refusal. Rejects with the signal's reason if the caller
   * leaves while the call waits for a slot.
   */
  public async pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
    signal?: AbortSignal,
  ): Promise<pickedUpstreams.PickedUpstream> {
    if (!generationCalls.isGeneration(call)) {
      const slots = this.options.findSlots?.(call.service.name);
      return slots === undefined
        ? this.fallback.pick(call, tried)
        : this.pickBySlot(slots, call, tried, signal);
    }
    const closed = this.fallback.listClosed(call);
    const live = closed.length === 0 ? [] : this.fallback.listLive(call);
    if (live.length > 0 && live.every((known) => closed.includes(known))) {
      throw this.fallback.refuseClosed(call, live);
    }
    const now = this.options.clock.now();
    const patienceMs = Math.min(call.route.targetMs * MAX_WAIT_SHARE, call.endsAt - now);
    const dueInMs = call.arrivedAt + call.route.targetMs - now;
    const passedOver = [...tried, ...this.listDisallowed(call), ...closed.map(getUpstreamId)];
    const excluded = [...passedOver, ...this.fallback.listUnanswering(call, passedOver)];
    const spec = this.createSpec(call, excluded);
    const rank = generationCalls.getPriority(call);
    const wait = { patienceMs, dueInMs, rank, team: call.team?.name };
    const res = await this.options.placer.place(call.service.name, spec, wait);
    if (res !== undefined && res.placed === undefined && res.isUnknown !== true) {
      const { full, waitedMs } = res;
      this.options.log.info({
        decision: 'no-room',
        request: call.facts.requestId,
        service: call.service.name,
        waitedMs,
        ...full,
      });
      const retryAfterMs = full?.retryAfterMs ?? FULL_RETRY_AFTER_S * 1_000;
      throw this.fallback.refuse('noRoom', call.service.name, retryAfterMs / 1_000);
    }
    const picked = this.resolve(call, res);
    if (picked === undefined && res !== undefined) {
      // The leader chose an engine that this host's list lacks, or has no list itself. The upstream used instead is
      // reported to the leader's ledger, which would otherwise miss the run or count it on an engine where it never
      // ran.
      return this.pickAt(call, this.fallback.pick(call, tried).known);
    }
    const chosen = picked ?? this.fallback.pick(call, tried);
    this.options.placer.registerRun(call.service.name, spec, chosen.upstreamId);
    return chosen;
  }

  /** Waits until a run is to be migrated and returns the target engine; no target if the wait ends first. */
  public async awaitMigrationTarget(
    call: callAdmissions.AdmittedCall,
    engineId: string,
    excluded: readonly string[],
  ): Promise<MigrationAnswer> {
    const callId = call.facts.requestId;
    const closed = this.fallback.listClosed(call).map(getUpstreamId);
    const run = {
      callId,
      engineId,
      excluded: [...excluded, ...this.listDisallowed(call), ...closed],
    };
    const { log, placer } = this.options;
    const res = await placer.awaitMigration(call.service.name, run);
    const target = this.findAllowed(call, res?.takerId);
    if (res?.takerId !== undefined && target === undefined) {
      // This host's list lacks the target engine. Without a notification the leader would count the run as backed up.
      log.info({ decision: 'taker-unknown', request: run.callId, upstream: res.takerId });
      placer.reportEvent(run.callId, 'turn-over');
      return { isAnswered: false, target };
    }
    return { isAnswered: res !== undefined, target };
  }

  /** Reports an event of a generation. */
  public reportEvent(
    call: callAdmissions.AdmittedCall,
    event: procedures.GenerationEvent['event'],
  ): void {
    if (generationCalls.isGeneration(call)) {
      this.options.placer.reportEvent(call.facts.requestId, event);
    }
  }

  /** Reports the pace of a generation's stream on its engine. */
  public reportPace(
    { facts }: callAdmissions.AdmittedCall,
    engineId: string,
    pace: routing.StreamPace,
  ): void {
    this.options.placer.reportPace(facts.requestId, engineId, pace);
  }

  /**
   * Registers a generation on a given engine, such as that of its backup, and returns it with the engine of the next
   * backup, if any.
   */
  public async pickAt(
    call: callAdmissions.AdmittedCall,
    engine: upstreamDirectories.KnownUpstream,
  ): Promise<pickedUpstreams.PickedUpstream> {
    if (!generationCalls.isGeneration(call)) {
      return this.createPicked(engine, undefined);
    }
    const spec = {
      ...this.createSpec(call, []),
      fixedEngineId: engine.upstreamId,
      // A backup of its whole KV cache would use the links that migrations of other runs need.
      wantsCopy: false,
      ranMs: this.options.clock.now() - call.arrivedAt,
    };
    const wait = { patienceMs: 0, dueInMs: 0, rank: generationCalls.getPriority(call) };
    const res = await this.options.placer.place(call.service.name, spec, wait);
    this.options.placer.registerRun(call.service.name, spec, engine.upstreamId);
    const backupEngine = this.findAllowed(call, res?.placed?.copyAt);
    return this.createPicked(engine, backupEngine);
  }

  private createPicked(
    known: upstreamDirectories.KnownUpstream,
    backupEngine: upstreamDirectories.KnownUpstream | undefined,
  ): pickedUpstreams.PickedUpstream {
    const { upstreamId } = known;
    return { upstreamId, known, share: 0, backupEngine, waitedMs: 0, isFallback: false };
  }

  /** Records that an attempt of a call has ended, and returns its slot. */
  public release(
    call: callAdmissions.AdmittedCall,
    { slot }: pickedUpstreams.PickedUpstream,
    { hasFailed, ...end }: AttemptEnd,
  ): void {
    slot?.release(end);
    if (generationCalls.isGeneration(call)) {
      this.options.placer.unregisterRun(call.facts.requestId, hasFailed, end.hasAnswered);
    }
  }

  private pickBySlot(
    slots: slotClients.SlotSource,
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
    signal: AbortSignal | undefined,
  ): Promise<pickedUpstreams.PickedUpstream> {
    const { fallback, options } = this;
    return new slotPickers.SlotPicker({ ...options, fallback, slots }).pick(call, tried, signal);
  }

  /**
   * Returns the engine that the leader chose; undefined if this host's list lacks it or the call may not be sent there.
   */
  private resolve(
    call: callAdmissions.AdmittedCall,
    res: procedures.PlaceRes | undefined,
  ): pickedUpstreams.PickedUpstream | undefined {
    const placed = res?.placed;
    const known = placed && this.findAllowed(call, placed.engineId);
    return (
      known && {
        upstreamId: known.upstreamId,
        known,
        share: placed.share,
        backupEngine: this.findAllowed(call, placed.copyAt),
        waitedMs: res.waitedMs,
        isFallback: false,
      }
    );
  }

  /**
   * Returns an upstream that the leader named; undefined if it is not listed here or the call may not be sent there.
   */
  private findAllowed(
    { regions }: callAdmissions.AdmittedCall,
    upstreamId: string | undefined,
  ): upstreamDirectories.KnownUpstream | undefined {
    const { directory } = this.options;
    const known = upstreamId === undefined ? undefined : directory.find(upstreamId);
    return known !== undefined && directory.isPlacementAllowed(known, regions) ? known : undefined;
  }

  private createSpec(call: callAdmissions.AdmittedCall, excluded: string[]) {
    return {
      callId: call.facts.requestId,
      availabilityZone: this.options.availabilityZone,
      promptTokens: call.facts.generation?.promptTokens ?? 0,
      answerTokens: generationCalls.getExpectedAnswerTokens(call),
      leftMs: call.endsAt - this.options.clock.now(),
      excluded,
      gapTargetMs: call.route.gapTargetMs,
      wantsCopy: call.service.engine?.canBackUp === true,
      ranMs: 0,
    };
  }

  private listDisallowed({ regions, service }: callAdmissions.AdmittedCall): string[] {
    return regions === undefined
      ? []
      : this.options.directory.listDisallowed(service.name, regions);
  }
}

function getUpstreamId({ upstreamId }: upstreamDirectories.KnownUpstream): string {
  return upstreamId;
}
