import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as procedures from './core-procedures.js';
import * as generationCalls from './generation-calls.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** The Retry-After value if the service has no available upstream, in seconds. */
const RETRY_AFTER_S = 0.5;

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

/** Assumed mean memory use of a generation without further information, in tokens. */
const ASSUMED_MEAN_TOKENS = 3_000;

/** The upstream picked for one attempt. */
export interface PickedUpstream {
  readonly upstreamId: string;
  readonly known: upstreamDirectories.KnownUpstream;
  /** Its share of busy slots or of used memory when it was picked, for the log. */
  readonly share: number;
  /** The engine that keeps a backup while the generation runs, if any. */
  readonly backupEngine: upstreamDirectories.KnownUpstream | undefined;
  /** How long the call waited for capacity, in milliseconds. */
  readonly waitedMs: number;
  /** Whether it was picked by fallback placement, without the leader's ledger of all hosts. */
  readonly isFallback: boolean;
}

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
  /** Unregisters a generation that has ended. */
  unregisterRun(callId: string, hasFailed: boolean): void;
}

/** Dependencies of the upstream picker. */
export interface UpstreamPickerOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly placer: GenerationPlacer;
  readonly gate: requests.UpstreamGate;
  readonly availabilityZone: string;
  readonly coldSendQuota: routing.ColdSendQuota;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** Picks the upstream of each attempt: engines by the leader's ledger, all others by the state on this host. */
export class UpstreamPicker {
  public constructor(private readonly options: UpstreamPickerOptions) {}

  /** Picks an upstream that has not been tried yet, or throws a refusal. */
  public async pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): Promise<PickedUpstream> {
    if (!generationCalls.isGeneration(call)) {
      return this.pickByFallback(call, tried);
    }
    const closed = this.listClosed(call);
    const live = closed.length === 0 ? [] : this.listLive(call);
    if (live.length > 0 && live.every((known) => closed.includes(known))) {
      throw this.refuseClosed(call, live);
    }
    const now = this.options.clock.now();
    const patienceMs = Math.min(call.route.targetMs * MAX_WAIT_SHARE, call.endsAt - now);
    const dueInMs = call.arrivedAt + call.route.targetMs - now;
    const excluded = [...tried, ...this.listDisallowed(call), ...closed.map(getUpstreamId)];
    const spec = this.createSpec(call, excluded);
    const wait = { patienceMs, dueInMs, rank: generationCalls.getPriority(call) };
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
      throw this.refuse('noRoom', call.service.name, FULL_RETRY_AFTER_S);
    }
    const picked = this.resolve(call, res);
    if (picked === undefined && res !== undefined) {
      // The leader chose an engine that this host's list lacks, or has no list itself. The upstream used instead is
      // reported to the leader's ledger, which would otherwise miss the run or count it on an engine where it never
      // ran.
      return this.pickAt(call, this.pickByFallback(call, tried).known);
    }
    const chosen = picked ?? this.pickByFallback(call, tried);
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
    const closed = this.listClosed(call).map(getUpstreamId);
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
  ): Promise<PickedUpstream> {
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
  ): PickedUpstream {
    const { upstreamId } = known;
    return { upstreamId, known, share: 0, backupEngine, waitedMs: 0, isFallback: false };
  }

  /** Records that a call has ended. */
  public release(call: callAdmissions.AdmittedCall, hasFailed: boolean): void {
    if (generationCalls.isGeneration(call)) {
      this.options.placer.unregisterRun(call.facts.requestId, hasFailed);
    }
  }

  /**
   * Returns the engine that the leader chose; undefined if this host's list lacks it or the call may not be sent there.
   */
  private resolve(
    call: callAdmissions.AdmittedCall,
    res: procedures.PlaceRes | undefined,
  ): PickedUpstream | undefined {
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

  /**
   * Picks an upstream without the leader, by this host's own part of the load. No backups are kept then: it is not
   * known which backups other hosts keep where, and one backup too many costs more than it saves.
   */
  private pickByFallback(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): PickedUpstream {
    const now = this.options.clock.now();
    const live = this.listCandidates(call, now);
    const untried = live.filter((item) => !tried.has(item.upstreamId));
    const open = untried.filter(({ known }) => this.options.gate.isOpen(known));
    if (live.length > 0 && live.every(({ known }) => !this.options.gate.isOpen(known))) {
      throw this.refuseClosed(
        call,
        live.map(({ known }) => known),
      );
    }
    const candidates = open.filter(({ known }) => this.mayReceiveCall(call.service, known, now));
    const isEngine = generationCalls.isGeneration(call);
    const choose = isEngine ? routing.chooseByMemory : routing.chooseByCalls;
    const chosen = choose(candidates, now, this.options.random);
    if (chosen === undefined) {
      this.logNoUpstream(call, this.getNoUpstreamReason(call, untried.length, open.length));
      throw this.refuse('noUpstream', call.service.name, RETRY_AFTER_S);
    }
    const { known, upstreamId } = chosen;
    if (call.service.coldCallsPerS !== undefined && isMaybeCold(known, now)) {
      this.options.coldSendQuota.recordSend(upstreamId, now);
    }
    const share = isEngine
      ? routing.getMemoryShare(chosen, now)
      : known.load.getActiveCalls(now) / chosen.slots;
    return { upstreamId, known, share, backupEngine: undefined, waitedMs: 0, isFallback: true };
  }

  private listDisallowed({ regions, service }: callAdmissions.AdmittedCall): string[] {
    return regions === undefined
      ? []
      : this.options.directory.listDisallowed(service.name, regions);
  }

  /**
   * Returns whether this host may send a call to an upstream now; a cold one would crash under the calls of all hosts.
   */
  private mayReceiveCall(
    { coldCallsPerS }: schemas.RoutedService,
    known: upstreamDirectories.KnownUpstream,
    now: number,
  ): boolean {
    const { coldSendQuota } = this.options;
    const { upstreamId } = known;
    return (
      coldCallsPerS === undefined ||
      !isMaybeCold(known, now) ||
      coldSendQuota.canSend({ upstreamId, callsPerS: coldCallsPerS }, now)
    );
  }

  private logNoUpstream({ facts, service }: callAdmissions.AdmittedCall, reason: string): void {
    this.options.log.info({
      decision: 'no-upstream',
      request: facts.requestId,
      service: service.name,
      reason,
    });
  }

  private getNoUpstreamReason(
    { service }: callAdmissions.AdmittedCall,
    untriedCount: number,
    openCount: number,
  ): string {
    if (this.options.directory.isServiceEvacuated(service.name)) {
      return 'evacuated';
    }
    const untried = openCount > 0 ? 'cold' : 'closed';
    return untriedCount > 0 ? untried : 'none-live';
  }

  private listLive({ regions, service }: callAdmissions.AdmittedCall) {
    return this.options.directory.listLive(service.name, regions);
  }

  /** Lists the upstreams that take no call now, by what they have stated themselves. */
  private listClosed({
    service,
  }: callAdmissions.AdmittedCall): upstreamDirectories.KnownUpstream[] {
    const { directory, gate } = this.options;
    return gate.areAllOpen()
      ? []
      : directory.listAll(service.name).filter((known) => !gate.isOpen(known));
  }

  private refuseClosed(
    call: callAdmissions.AdmittedCall,
    upstreams: readonly upstreamDirectories.KnownUpstream[],
  ): schemas.Refusal {
    const { reason, retryAfterS } = this.options.gate.describeWait(upstreams);
    this.logNoUpstream(call, reason);
    const id = reason === 'rest' ? 'resting' : 'rateLimited';
    return this.refuse(id, call.service.name, retryAfterS);
  }

  private listCandidates(call: callAdmissions.AdmittedCall, now: number) {
    return this.listLive(call).map((known) => this.createCandidate(known, call.service, now));
  }

  private createCandidate(
    known: upstreamDirectories.KnownUpstream,
    service: schemas.RoutedService,
    now: number,
  ) {
    return {
      upstreamId: known.upstreamId,
      known,
      isSameZone: known.listed.availabilityZone === this.options.availabilityZone,
      isCold: known.coldUntil > now,
      slots: known.listed.slots,
      load: known.load,
      memoryTokens: service.engine?.memoryTokens ?? Infinity,
      meanTokens: ASSUMED_MEAN_TOKENS,
    };
  }

  private refuse(
    id: 'noUpstream' | 'noRoom' | 'rateLimited' | 'resting',
    service: string,
    retryAfterS: number,
  ): schemas.Refusal {
    return new schemas.Refusal({
      id,
      step: 'pick',
      status: 503,
      outcome: 'not-run',
      args: [service, this.options.availabilityZone],
      retryAfterS,
    });
  }
}

function getUpstreamId({ upstreamId }: upstreamDirectories.KnownUpstream): string {
  return upstreamId;
}

function isMaybeCold(
  { coldUntil, unlistedColdUntil }: upstreamDirectories.KnownUpstream,
  now: number,
): boolean {
  return Math.max(coldUntil, unlistedColdUntil) > now;
}
