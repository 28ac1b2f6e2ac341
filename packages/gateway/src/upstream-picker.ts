import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as procedures from './core-procedures.js';
import * as generationCalls from './generation-calls.js';
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

/** The upstream of one attempt. */
export interface PickedUpstream {
  readonly upstreamId: string;
  readonly known: upstreamDirectories.KnownUpstream;
  /** Its share of busy places or of memory when it was picked, for the log. */
  readonly share: number;
  /** Who keeps a copy while the generation runs. */
  readonly backupEngine: upstreamDirectories.KnownUpstream | undefined;
  /** How long it waited for room, in milliseconds. */
  readonly waitedMs: number;
  /** Whether this host chose by what it knows, without the account of all hosts. */
  readonly isFallback: boolean;
}

/** What the leader said of a run that can be handed over. */
export interface MigrationAnswer {
  /** Whether the leader answered, and with what this host knows. */
  readonly isAnswered: boolean;
  readonly target: upstreamDirectories.KnownUpstream | undefined;
}

/** How a generation waits for its place. */
export interface PlacementWait {
  /** How long it may wait for room, in milliseconds. */
  readonly patienceMs: number;
  /** In how many milliseconds its first event is due. */
  readonly dueInMs: number;
  /** Its rank; 0 goes first. */
  readonly rank: number;
}

/** The account of what runs on the engines, as this host asks and informs it. */
export interface GenerationPlacer {
  /** Where a generation goes; nothing when nobody answers and this host has to choose alone. */
  place(
    service: string,
    need: routing.PlacementSpec,
    wait: PlacementWait,
  ): Promise<procedures.PlaceRes | undefined>;
  /** Which engine takes a run over when that comes up meanwhile; nothing when nobody answers. */
  awaitMigration(
    service: string,
    run: procedures.MigrationOffer,
  ): Promise<procedures.MigrationRes | undefined>;
  /** Notes what became of a generation that runs here. */
  noteRun(callId: string, event: procedures.GenerationEvent['event']): void;
  /** Notes that a generation runs here, wherever that was decided. */
  registerRun(service: string, need: routing.PlacementSpec, engineId: string): void;
  /** Notes that it runs no longer. */
  unregisterRun(callId: string, hasFailed: boolean): void;
}

/** What the picker needs. */
export interface UpstreamPickerOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly placer: GenerationPlacer;
  readonly availabilityZone: string;
  readonly coldShare: routing.ColdSendQuota;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** Picks the upstream of each attempt: engines as the leader's account says, all else by what this host knows. */
export class UpstreamPicker {
  public constructor(private readonly options: UpstreamPickerOptions) {}

  /** Picks an upstream that was not tried yet, or refuses. */
  public async pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): Promise<PickedUpstream> {
    if (!generationCalls.isGeneration(call)) {
      return this.pickAlone(call, tried);
    }
    const now = this.options.clock.now();
    const patienceMs = Math.min(call.route.targetMs * PATIENCE_SHARE, call.endsAt - now);
    const dueInMs = call.arrivedAt + call.route.targetMs - now;
    const need = this.createNeed(call, [...tried, ...this.listBarred(call)]);
    const wait = { patienceMs, dueInMs, rank: generationCalls.getPriority(call) };
    const res = await this.options.placer.place(call.service.name, need, wait);
    if (res !== undefined && res.placed === undefined && res.isUnknown !== true) {
      const { full, waitedMs } = res;
      this.options.log.info({
        decision: 'no-room',
        request: call.facts.requestId,
        service: call.service.name,
        waitedMs,
        ...full,
      });
      throw this.refuse('noRoom', call.service.name, FULL_RETRY_S);
    }
    const picked = this.resolve(call, res);
    if (picked === undefined && res !== undefined) {
      // The leader has read of an engine that this host's list lacks, or has no list itself. The account is told where
      // it goes instead; otherwise it would miss it, or count it on an engine where it never ran.
      return this.pickAt(call, this.pickAlone(call, tried).known);
    }
    const chosen = picked ?? this.pickAlone(call, tried);
    this.options.placer.registerRun(call.service.name, need, chosen.upstreamId);
    return chosen;
  }

  /** Waits until a run is to be handed over, and gives the engine that takes it; nothing when that did not come up. */
  public async awaitMigrationTarget(
    call: callAdmissions.AdmittedCall,
    engineId: string,
    excluded: readonly string[],
  ): Promise<MigrationAnswer> {
    const callId = call.facts.requestId;
    const run = { callId, engineId, excluded: [...excluded, ...this.listBarred(call)] };
    const { log, placer: pools } = this.options;
    const res = await pools.awaitMigration(call.service.name, run);
    const taker = this.findHolder(call, res?.takerId);
    if (res?.takerId !== undefined && taker === undefined) {
      // The leader has read of an engine that this host's list lacks yet. Told nothing it would take the run for copied.
      log.info({ decision: 'taker-unknown', request: run.callId, upstream: res.takerId });
      pools.noteRun(run.callId, 'turn-over');
      return { isAnswered: false, target: taker };
    }
    return { isAnswered: res !== undefined, target: taker };
  }

  /** Notes what became of a generation. */
  public noteRun(
    call: callAdmissions.AdmittedCall,
    event: procedures.GenerationEvent['event'],
  ): void {
    if (generationCalls.isGeneration(call)) {
      this.options.placer.noteRun(call.facts.requestId, event);
    }
  }

  /** Enters a generation at a certain engine, such as that of its copy, and picks who keeps the next copy. */
  public async pickAt(
    call: callAdmissions.AdmittedCall,
    holder: upstreamDirectories.KnownUpstream,
  ): Promise<PickedUpstream> {
    if (!generationCalls.isGeneration(call)) {
      return this.createPicked(holder, undefined);
    }
    const need = {
      ...this.createNeed(call, []),
      fixedEngineId: holder.upstreamId,
      // A copy of all of its memory would go over the links that others need to be handed over.
      wantsCopy: false,
      ranMs: this.options.clock.now() - call.arrivedAt,
    };
    const wait = { patienceMs: 0, dueInMs: 0, rank: generationCalls.getPriority(call) };
    const res = await this.options.placer.place(call.service.name, need, wait);
    this.options.placer.registerRun(call.service.name, need, holder.upstreamId);
    const copyAt = this.findHolder(call, res?.placed?.copyAt);
    return this.createPicked(holder, copyAt);
  }

  private createPicked(
    known: upstreamDirectories.KnownUpstream,
    copyAt: upstreamDirectories.KnownUpstream | undefined,
  ): PickedUpstream {
    const { upstreamId } = known;
    return { upstreamId, known, share: 0, backupEngine: copyAt, waitedMs: 0, isFallback: false };
  }

  /** Notes that a call runs no longer. */
  public release(call: callAdmissions.AdmittedCall, hasFailed: boolean): void {
    if (generationCalls.isGeneration(call)) {
      this.options.placer.unregisterRun(call.facts.requestId, hasFailed);
    }
  }

  /** The engine that the leader chose; nothing when this host's list does not have it yet. */
  private resolve(
    call: callAdmissions.AdmittedCall,
    res: procedures.PlaceRes | undefined,
  ): PickedUpstream | undefined {
    const placed = res?.placed;
    const known = placed && this.findHolder(call, placed.engineId);
    return (
      known && {
        upstreamId: known.upstreamId,
        known,
        share: placed.share,
        backupEngine: this.findHolder(call, placed.copyAt),
        waitedMs: res.waitedMs,
        isFallback: false,
      }
    );
  }

  /** An upstream that the leader named; nothing when it is not listed here, or the call may not be sent there. */
  private findHolder(
    { regions }: callAdmissions.AdmittedCall,
    upstreamId: string | undefined,
  ): upstreamDirectories.KnownUpstream | undefined {
    const { directory } = this.options;
    const known = upstreamId === undefined ? undefined : directory.find(upstreamId);
    return known !== undefined && directory.isPlacementAllowed(known, regions) ? known : undefined;
  }

  private createNeed(call: callAdmissions.AdmittedCall, excluded: string[]) {
    return {
      callId: call.facts.requestId,
      availabilityZone: this.options.availabilityZone,
      promptTokens: call.facts.generation?.promptTokens ?? 0,
      answerTokens: generationCalls.getExpectedAnswerTokens(call),
      leftMs: call.endsAt - this.options.clock.now(),
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
    const now = this.options.clock.now();
    const untried = this.listCandidates(call, now).filter((item) => !tried.has(item.upstreamId));
    const candidates = untried.filter(({ known }) => this.bears(call.service, known, now));
    const isEngine = generationCalls.isGeneration(call);
    const choose = isEngine ? routing.chooseByMemory : routing.chooseByCalls;
    const chosen = choose(candidates, now, this.options.random);
    if (chosen === undefined) {
      this.noteNoUpstream(call, untried.length);
      throw this.refuse('noUpstream', call.service.name, RETRY_AFTER_S);
    }
    const { known, upstreamId } = chosen;
    if (call.service.coldCallsPerS !== undefined && isMaybeCold(known, now)) {
      this.options.coldShare.recordSend(upstreamId, now);
    }
    const share = isEngine
      ? routing.getMemoryShare(chosen, now)
      : known.load.getActiveCalls(now) / chosen.slots;
    return { upstreamId, known, share, backupEngine: undefined, waitedMs: 0, isFallback: true };
  }

  private listBarred({ regions, service }: callAdmissions.AdmittedCall): string[] {
    return regions === undefined
      ? []
      : this.options.directory.listDisallowed(service.name, regions);
  }

  /** Whether an upstream bears a call of this host now: a cold one crashes under what all hosts would send. */
  private bears(
    { coldCallsPerS }: schemas.RoutedService,
    known: upstreamDirectories.KnownUpstream,
    now: number,
  ): boolean {
    const { coldShare } = this.options;
    const { upstreamId } = known;
    return (
      coldCallsPerS === undefined ||
      !isMaybeCold(known, now) ||
      coldShare.canSend({ upstreamId, callsPerS: coldCallsPerS }, now)
    );
  }

  private noteNoUpstream({ facts, service }: callAdmissions.AdmittedCall, coldCount: number): void {
    const isEvacuated = this.options.directory.isServiceEvacuated(service.name);
    const reason = coldCount > 0 ? 'cold' : 'none-live';
    this.options.log.info({
      decision: 'no-upstream',
      request: facts.requestId,
      service: service.name,
      reason: isEvacuated ? 'evacuated' : reason,
    });
  }

  private listCandidates({ regions, service }: callAdmissions.AdmittedCall, now: number) {
    return this.options.directory
      .listLive(service.name, regions)
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
      isNear: known.listed.availabilityZone === this.options.availabilityZone,
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
      args: [service, this.options.availabilityZone],
      retryAfterS,
    });
  }
}

function isMaybeCold(
  { coldUntil, unlistedColdUntil: untoldColdUntil }: upstreamDirectories.KnownUpstream,
  now: number,
): boolean {
  return Math.max(coldUntil, untoldColdUntil) > now;
}
