import * as engineStates from './engine-state.js';
import * as holderChoices from './backup-engine-selector.js';
import * as memoryGrowth from './memory-growth.js';
import * as placeLimits from './placement-limits.js';
import * as placeNeeds from './placement-spec.js';
import * as promptBacklogs from './prefill-backlog.js';
import * as runAccounts from './run-registry.js';
import * as zoneWeights from './cross-zone-penalty.js';

/**
 * How far ahead memory is forecast for a short answer, in milliseconds. It is over by then, so the growth that drafts
 * have still to come is no reason to send it to the one engine that is empty, where every prompt queues already.
 */
const SHORT_HORIZON_MS = 1_000;

/**
 * How long prompts may queue at an engine that is given another one, in milliseconds. A prompt that waits at the
 * leader can still go wherever room comes up first; in an engine's queue it is bound. What is left is enough that an
 * engine never idles between two placements.
 */
const BACKLOG_LIMIT_MS = 300;

/** How many milliseconds of prompts that wait to be read weigh as much as all of an engine's memory. */
const BACKLOG_SCALE_MS = 1_500;

/**
 * How much each generation that runs on an engine weighs, as a share of memory. By memory alone a run and a copy weigh
 * the same, and of two engines one ran eight drafts while the other kept their copies. A step takes 7 ms and 0.12 ms
 * more for each run, so eight runs on one of two engines are 6% slower than four on each.
 */
const RUN_WEIGHT = 0.01;

/**
 * The account of one pool of engines: every generation with its size and every copy, in one place. Hosts that
 * choose alone see a seventh of the load each and reports that are half a second old; they overfill one engine
 * while another has room, and keep copies where there is none.
 */
export class EngineLedger {
  private engines = new Map<string, engineStates.EngineState>();
  private hasOpen = false;
  private readonly runs = new runAccounts.RunRegistry();
  private readonly speed = new promptBacklogs.PrefillRate();
  private readonly holders = new holderChoices.BackupEngineSelector(this.runs, () =>
    this.engines.values(),
  );

  /** Sets which engines may be given work; what is known of those that stay is kept. */
  public setEngines(engines: readonly placeNeeds.LedgerEngine[]): void {
    const former = this.engines;
    engines
      .filter((engine) => isReborn(former.get(engine.engineId)?.engine, engine))
      .forEach(({ engineId }) => this.runs.removeWorkAt(engineId));
    this.engines = new Map(
      engines.map((engine) => {
        const known = former.get(engine.engineId);
        const kept = isReborn(known?.engine, engine) ? undefined : known;
        const holdings = this.runs.getOccupancy(engine.engineId);
        return [engine.engineId, new engineStates.EngineState(engine, holdings, this.speed, kept)];
      }),
    );
    this.hasOpen = engines.some(({ isClosed }) => isClosed !== true);
    this.runs.removeUnlisted((engineId) => this.isListed(engineId));
  }

  /**
   * Places a generation, or gives nothing while no engine has room for it. One that may still wait is not put behind
   * the prompts that queue at an engine.
   */
  public place(
    need: placeNeeds.PlacementSpec,
    now: number,
    mayWait = false,
  ): placeNeeds.Placement | undefined {
    this.runs.dropOverdue(now);
    const state = this.choose(need, now, mayWait);
    const engineId = state?.engine.engineId ?? need.fixedEngineId;
    if (engineId === undefined) {
      return undefined;
    }
    this.runs.set({
      spec: need,
      startedAt: now - need.ranMs,
      expiresAt: now + need.leftMs,
      engineId,
      backupEngineId: undefined,
      zone: state?.engine.availabilityZone,
    });
    if (need.isUnderWay !== true) {
      state?.recordSend(now);
    }
    if (state !== undefined && need.fixedEngineId === undefined) {
      state.backlog.add(need.callId, need.promptTokens, now);
    }
    const copyAt = need.wantsCopy ? this.chooseCopy(need.callId, now) : undefined;
    this.runs.setBackup(need.callId, copyAt);
    return { engineId, copyAt, share: state === undefined ? 0 : this.getShare(state, now) };
  }

  /** Notes that the first event of a generation was seen, so that its prompt has been read. */
  public recordFirstEvent(callId: string, now: number): void {
    const run = this.runs.find(callId);
    this.engines.get(run?.engineId ?? '')?.backlog.recordFirstEvent(callId, now);
  }

  /** How long engines of this pool take to read so many prompt tokens, in milliseconds. */
  public getPrefillMs(tokens: number): number {
    return this.speed.getMs(tokens);
  }

  /** How long a run is expected to go on, in milliseconds; nothing for one that is over. */
  public getRemainingMs(callId: string, now: number): number | undefined {
    const run = this.runs.find(callId);
    return run && memoryGrowth.getRemainingMs(run.spec, now - run.startedAt);
  }

  /** How much memory a run fills now, in tokens. */
  public getTokens(callId: string, now: number): number {
    const run = this.runs.find(callId);
    return run === undefined ? 0 : memoryGrowth.forecastTokens(run.spec, now - run.startedAt, 0);
  }

  /**
   * Picks who takes over a generation whose engine leaves; nothing when it no longer runs there. The limits on copies
   * do not hold here, since without a taker the generation is lost for certain. The limit for placing does: beyond it
   * each draft that was saved had another one preempted, 18 for 18 on a heavy day. An engine that has no room all the
   * same says so, and is then among those excluded.
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
    // The copy that was lost, or that a holder refused, takes no room any more.
    this.runs.setBackup(callId, undefined);
    const copyAt = this.holders.findTargetEngine(run, excluded, now);
    this.runs.setBackup(callId, copyAt);
    return copyAt;
  }

  /** The memory that a generation needs when it is placed, in tokens; where it finds no room, who needs more finds none. */
  public getTokensNeeded(need: placeNeeds.PlacementSpec): number {
    return memoryGrowth.forecastTokens(need, 0, getHorizonMs(need));
  }

  /** Whether generations run on an engine. */
  public hasRuns(engineId: string): boolean {
    return (this.engines.get(engineId)?.occupancy.running ?? 0) > 0;
  }

  /** Whether an engine may be given work. */
  public isListed(engineId: string): boolean {
    return this.engines.has(engineId);
  }

  /** Whether there is an engine at all that takes new work. */
  public hasOpenEngine(): boolean {
    return this.hasOpen;
  }

  /** Whether an engine that stays and takes new work keeps a copy of a run. */
  public hasBackup(callId: string): boolean {
    const copyAt = this.runs.find(callId)?.backupEngineId;
    const holder = copyAt === undefined ? undefined : this.engines.get(copyAt);
    return holder !== undefined && holder.engine.isClosed !== true;
  }

  /** Notes which engine has a copy of a run, or that none has. */
  public setBackup(callId: string, copyAt: string | undefined): void {
    this.runs.setBackup(callId, copyAt);
  }

  /** Takes a generation off; a failure counts against its engine for a while. */
  public release(callId: string, hasFailed: boolean, now: number): void {
    const run = this.runs.find(callId);
    const state = run && this.engines.get(run.engineId);
    this.runs.remove(callId);
    state?.backlog.remove(callId, now);
    if (hasFailed) {
      state?.recordFailure(now);
    }
  }

  /** How full the pool is, as the forecast share of all its memory, and how much runs. */
  public getSummary(now: number): { running: number; share: number } {
    let total = 0;
    let held = 0;
    for (const { engine, occupancy: holdings } of this.engines.values()) {
      if (engine.isClosed !== true) {
        total += engine.memoryTokens;
        held += holdings.getForecastTokens(now, placeLimits.HORIZON_MS);
      }
    }
    return { running: this.runs.size, share: total === 0 ? 1 : held / total };
  }

  private choose(
    need: placeNeeds.PlacementSpec,
    now: number,
    mayWait: boolean,
  ): engineStates.EngineState | undefined {
    if (need.fixedEngineId !== undefined) {
      return this.engines.get(need.fixedEngineId);
    }
    const horizonMs = getHorizonMs(need);
    const size = memoryGrowth.forecastTokens(need, 0, horizonMs);
    let best: engineStates.EngineState | undefined;
    let bestScore = Infinity;
    for (const state of this.engines.values()) {
      const { engineId, isClosed, memoryTokens, slots } = state.engine;
      const share = (state.occupancy.getForecastTokens(now, horizonMs) + size) / memoryTokens;
      const { running } = state.occupancy;
      const backlogMs = state.backlog.getMs(now);
      const isOpen =
        isClosed !== true && !need.excluded.includes(engineId) && state.canAcceptSend(now);
      const hasRoom = isOpen && share <= placeLimits.PLACEMENT_LIMIT && running < slots;
      const isInTime = !mayWait || backlogMs <= BACKLOG_LIMIT_MS;
      const penalty =
        state.getFailurePenalty(now) + zoneWeights.getCrossZonePenalty(state.engine, need);
      const score = share + penalty + running * RUN_WEIGHT + backlogMs / BACKLOG_SCALE_MS;
      if (hasRoom && isInTime && score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best;
  }

  private chooseCopy(callId: string, now: number): string | undefined {
    const run = this.runs.find(callId);
    if (run === undefined || placeNeeds.hasShortAnswer(run.spec)) {
      return undefined;
    }
    return this.holders.findBackupEngine(run, this.getSummary(now).share, now);
  }

  private getShare({ engine, occupancy: holdings }: engineStates.EngineState, now: number): number {
    return holdings.getForecastTokens(now, placeLimits.HORIZON_MS) / engine.memoryTokens;
  }
}

function getHorizonMs(need: placeNeeds.PlacementSpec): number {
  return placeNeeds.hasShortAnswer(need) ? SHORT_HORIZON_MS : placeLimits.HORIZON_MS;
}

function isReborn(
  former: placeNeeds.LedgerEngine | undefined,
  engine: placeNeeds.LedgerEngine,
): boolean {
  const { bornMs } = engine;
  return former?.bornMs !== undefined && bornMs !== undefined && bornMs > former.bornMs;
}
