import * as backupEngineSelectors from './backup-engine-selector.js';
import * as engineChoices from './engine-choice.js';
import * as enginePaces from './engine-pace.js';
import * as engineStates from './engine-state.js';
import * as eventGapModels from './event-gap-model.js';
import * as gapPenalties from './gap-penalties.js';
import * as memoryGrowth from './memory-growth.js';
import type * as placedRuns from './placed-run.js';
import * as placementLimits from './placement-limits.js';
import * as placementSpecs from './placement-spec.js';
import * as poolFactors from './pool-factors.js';
import * as prefillBacklogs from './prefill-backlog.js';
import * as runRegistries from './run-registry.js';

/** What the end of a generation shows about its engine. */
export interface RunEnd {
  /** The host that sent it. */
  readonly hostId: string;
  /** Whether an answer began; `undefined` if that shows nothing about the engine. */
  readonly hasAnswered: boolean | undefined;
}

/**
 * Tracks one pool of engines in one place: every generation with its size, and every backup. Hosts
 * that use fallback placement each see a seventh of the load and reports that are half a second
 * old; they overfill one engine while another has capacity, and keep backups where there is none.
 */
export class EngineLedger {
  private engines = new Map<string, engineStates.EngineState>();
  private hasOpenEngines = false;
  private readonly runs = new runRegistries.RunRegistry();
  private readonly rates: engineStates.PoolRates = {
    prefillRate: new prefillBacklogs.PrefillRate(),
    usualEventTime: new enginePaces.UsualEventTime(),
  };
  private readonly gaps = new eventGapModels.EventGapModel();
  private readonly factors = new poolFactors.PoolFactors(() => this.engines.values());
  private readonly createPenalties: gapPenalties.CreateGapPenalties = (spec, now) =>
    new gapPenalties.GapPenalties(spec, this.gaps, this.factors, now);
  private readonly choice = new engineChoices.EngineChoice(this.createPenalties, () =>
    this.engines.values(),
  );
  private readonly backupSelector = new backupEngineSelectors.BackupEngineSelector(
    this.runs,
    this.createPenalties,
    () => this.engines.values(),
  );

  /** Sets the engines that may be given work. The state of engines that stay is kept. */
  public setEngines(engines: readonly placementSpecs.LedgerEngine[]): void {
    const former = this.engines;
    engines
      .filter((engine) => isRestarted(former.get(engine.engineId)?.engine, engine))
      .forEach(({ engineId }) => this.runs.removeWorkAt(engineId));
    this.engines = new Map(
      engines.map((engine) => {
        const formerState = former.get(engine.engineId);
        const keptState = isRestarted(formerState?.engine, engine) ? undefined : formerState;
        const occupancy = this.runs.getOccupancy(engine.engineId);
        return [
          engine.engineId,
          new engineStates.EngineState(engine, occupancy, this.rates, keptState),
        ];
      }),
    );
    this.hasOpenEngines = engines.some(({ isClosed }) => isClosed !== true);
    this.runs.removeUnlisted((engineId) => this.isListed(engineId));
  }

  /**
   * Places a generation. Returns `undefined` while no engine has capacity for it. With `mayWait`
   * set, it is not placed behind the prefill backlog of an engine.
   */
  public place(
    spec: placementSpecs.PlacementSpec,
    now: number,
    mayWait = false,
  ): placementSpecs.Placement | undefined {
    this.runs.dropOverdue(now);
    const state =
      spec.fixedEngineId === undefined
        ? this.choice.choose(spec, now, mayWait)
        : this.engines.get(spec.fixedEngineId);
    const engineId = state?.engine.engineId ?? spec.fixedEngineId;
    if (engineId === undefined) {
      return undefined;
    }
    const paceStart = spec.fixedEngineId === undefined ? undefined : state?.getPaceStart(now);
    this.runs.set({
      spec,
      startedAt: now - spec.ranMs,
      expiresAt: now + spec.leftMs,
      engineId,
      backupEngineId: undefined,
      zone: state?.engine.availabilityZone,
      paceStart,
    });
    if (spec.isUnderWay !== true) {
      state?.recordSend(now, spec.callId);
    }
    if (state !== undefined && spec.fixedEngineId === undefined) {
      state.backlog.add(spec.callId, spec.promptTokens, now);
    }
    const backupEngineId = spec.wantsCopy ? this.chooseBackupEngine(spec.callId, now) : undefined;
    this.runs.setBackup(spec.callId, backupEngineId);
    return {
      engineId,
      copyAt: backupEngineId,
      share: state === undefined ? 0 : this.getShare(state, now),
    };
  }

  /** Records that the first event of a generation has arrived, so its prefill is complete. */
  public recordFirstEvent(callId: string, now: number): void {
    const run = this.runs.find(callId);
    const state = this.engines.get(run?.engineId ?? '');
    if (run !== undefined && state !== undefined) {
      state.recordFirstEvent(callId, now, this.gaps.isStating(now));
      run.paceStart = state.getPaceStart(now);
    }
  }

  /** Records the slowdown that an engine states with the answer to a probe. */
  public applySlowdown(engineId: string, slowdown: number | undefined, now: number): void {
    const state = this.engines.get(engineId);
    if (state !== undefined && slowdown !== undefined) {
      this.gaps.recordSlowdown(state.pace.applyStatement(slowdown, now), now);
    }
  }

  /** Records the pace of a stream that runs on an engine, as its host has measured it there. */
  public recordStream(
    callId: string,
    engineId: string,
    stream: engineStates.StreamPace,
    now: number,
  ): void {
    const run = this.runs.find(callId);
    const state = run?.engineId === engineId ? this.engines.get(engineId) : undefined;
    const start = run?.paceStart;
    const isShort = stream.events < enginePaces.MIN_PACE_EVENTS;
    if (state === undefined || start === undefined || isShort || !this.gaps.isStating(now)) {
      return;
    }
    state.recordStream(stream, start, now);
    const factor = state.pace.getFactor();
    if (factor !== undefined) {
      const slowdown = state.pace.getLargestSlowdown(start.at, now);
      this.gaps.recordGap(stream.longestGapMs, factor, slowdown);
    }
  }

  /**
   * Returns the time that engines of this pool take for the prefill of a prompt, in milliseconds.
   */
  public getPrefillMs(tokens: number): number {
    return this.rates.prefillRate.getMs(tokens);
  }

  /**
   * Returns the expected remaining time of a run, in milliseconds; `undefined` if the run is over.
   */
  public getRemainingMs(callId: string, now: number): number | undefined {
    const run = this.runs.find(callId);
    return run && memoryGrowth.getRemainingMs(run.spec, now - run.startedAt, this.getFactor(run));
  }

  /** Returns the memory that a run uses now, in tokens. */
  public getTokens(callId: string, now: number): number {
    const run = this.runs.find(callId);
    return run === undefined
      ? 0
      : memoryGrowth.forecastTokens(run.spec, now - run.startedAt, 0, this.getFactor(run));
  }

  /**
   * Selects the target engine for a generation whose engine is leaving, and records it as the engine
   * of the backup. Returns `undefined` if the generation no longer runs on that engine or no engine
   * has capacity. The limits for backups do not apply, since without a target engine the generation
   * is lost for certain. The placement limit does: beyond it, each long generation that was saved
   * caused the preemption of another one, 18 for 18 under heavy load. An engine that turns out to
   * have no capacity refuses and is then listed in `excluded`.
   */
  public reassignBackup(
    callId: string,
    engineId: string,
    excluded: readonly string[],
    now: number,
  ): string | undefined {
    const run = this.runs.find(callId);
    if (run === undefined || run.engineId !== engineId) {
      return undefined;
    }
    // The former backup was lost or refused by its engine, and no longer uses memory.
    this.runs.setBackup(callId, undefined);
    const backupEngineId = this.backupSelector.findTargetEngine(run, excluded, now);
    this.runs.setBackup(callId, backupEngineId);
    return backupEngineId;
  }

  /**
   * Returns the memory that a generation needs for its placement, in tokens. If there is no
   * capacity for it, there is none for a generation that needs more.
   */
  public getTokensNeeded(spec: placementSpecs.PlacementSpec): number {
    return memoryGrowth.forecastTokens(spec, 0, engineChoices.getHorizonMs(spec));
  }

  /** Whether generations run on an engine. */
  public hasRuns(engineId: string): boolean {
    return (this.engines.get(engineId)?.occupancy.running ?? 0) > 0;
  }

  /** Whether an engine is currently listed. */
  public isListed(engineId: string): boolean {
    return this.engines.has(engineId);
  }

  /** Whether any engine accepts new work. */
  public hasOpenEngine(): boolean {
    return this.hasOpenEngines;
  }

  /** Whether a listed engine that accepts new work keeps a backup of a run. */
  public hasBackup(callId: string): boolean {
    const backupEngineId = this.runs.find(callId)?.backupEngineId;
    const backupEngine =
      backupEngineId === undefined ? undefined : this.engines.get(backupEngineId);
    return backupEngine !== undefined && backupEngine.engine.isClosed !== true;
  }

  /** Sets which engine keeps the backup of a run; `undefined` if none does. */
  public setBackup(callId: string, backupEngineId: string | undefined): void {
    this.runs.setBackup(callId, backupEngineId);
  }

  /** Removes a generation. A failure counts against its engine for a while. */
  public release(callId: string, hasFailed: boolean, now: number, shown?: RunEnd): void {
    const run = this.runs.find(callId);
    const state = run && this.engines.get(run.engineId);
    this.runs.remove(callId);
    state?.backlog.remove(callId, now);
    state?.trials.recordEnd({ callId, hostId: shown?.hostId ?? '' }, shown?.hasAnswered, now);
    if (hasFailed) {
      state?.recordFailure(now);
    }
  }

  /**
   * Returns how full the pool is, as the forecast share of the memory of all open engines, and the
   * number of runs.
   */
  public getSummary(now: number): { running: number; share: number } {
    let total = 0;
    let forecastTokens = 0;
    for (const { engine, occupancy } of this.engines.values()) {
      if (engine.isClosed !== true) {
        total += engine.memoryTokens;
        forecastTokens += occupancy.getForecastTokens(now, placementLimits.HORIZON_MS);
      }
    }
    return { running: this.runs.size, share: total === 0 ? 1 : forecastTokens / total };
  }

  private getFactor({ engineId }: placedRuns.PlacedRun): number {
    return this.runs.getOccupancy(engineId).getFactor();
  }

  private chooseBackupEngine(callId: string, now: number): string | undefined {
    const run = this.runs.find(callId);
    if (run === undefined || placementSpecs.hasShortAnswer(run.spec)) {
      return undefined;
    }
    return this.backupSelector.findBackupEngine(run, this.getSummary(now).share, now);
  }

  private getShare({ engine, occupancy }: engineStates.EngineState, now: number): number {
    return occupancy.getForecastTokens(now, placementLimits.HORIZON_MS) / engine.memoryTokens;
  }
}

function isRestarted(
  former: placementSpecs.LedgerEngine | undefined,
  engine: placementSpecs.LedgerEngine,
): boolean {
  const { bornMs } = engine;
  return former?.bornMs !== undefined && bornMs !== undefined && bornMs > former.bornMs;
}
