import * as engineStates from './engine-state.js';
import * as memoryGrowth from './memory-growth.js';
import * as placeNeeds from './place-need.js';
import * as promptBacklogs from './prompt-backlog.js';
import * as runAccounts from './run-account.js';

/**
 * How far ahead memory is forecast, in milliseconds. What is placed now grows for some ten seconds while others
 * end; further ahead the ends outweigh the growth.
 */
const HORIZON_MS = 3_000;

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

/** The forecast share of memory up to which generations are placed; the rest is for answers longer than told. */
const PLACE_LIMIT = 0.92;

/**
 * The forecast share of memory up to which copies are kept. A copy that fills the last of it would have running
 * work preempted, whose prompts are then read again, 3,000 tokens each.
 */
const COPY_LIMIT = 0.76;

/**
 * The forecast share of all engines' memory up to which copies are kept. Beyond it the day is heavy, and what the
 * next seconds bring needs the room: copies that took it kept eight drafts at once waiting too long.
 */
const POOL_COPY_LIMIT = 0.62;

/** How many milliseconds of prompts that wait to be read weigh as much as all of an engine's memory. */
const BACKLOG_SCALE_MS = 1_500;

/**
 * How much an engine or a copy in another availability zone than the caller's entry host weighs, as a share of
 * memory. A zone that is cut off takes with it every stream that crosses its border: 13 of 36 drafts under way, when
 * they were placed by load alone over three zones. Engines of one zone are left for others when they are this
 * much fuller, so a zone whose engines are few does not starve its callers.
 */
const FAR_WEIGHT = 0.5;

/**
 * How much each generation that runs on an engine weighs, as a share of memory. By memory alone a run and a copy weigh
 * the same, and of two engines one ran eight drafts while the other kept their copies. A step takes 7 ms and 0.12 ms
 * more for each run, so eight runs on one of two engines are 6% slower than four on each.
 */
const RUN_WEIGHT = 0.01;

/** How much each run that an engine takes over from the same leaving engine weighs, as a share of memory. */
const TAKER_WEIGHT = 0.1;

/**
 * How much a taker in another availability zone than the leaving engine weighs, as a share of memory. Memory takes twice
 * as long between zones, 0.4 s a run, and the notice of 1.5 to 2 s is over after four runs instead of seven.
 */
const FAR_LINK_WEIGHT = 0.2;

/** An engine that could take or keep the memory of a run. */
interface Holder {
  readonly id: string;
  readonly zone: string;
  readonly share: number;
  readonly score: number;
}

/**
 * The account of one pool of engines: every generation with its size and every copy, in one place. Hosts that
 * choose alone see a seventh of the load each and reports that are half a second old; they overfill one engine
 * while another has room, and keep copies where there is none.
 */
export class EngineLedger {
  private engines = new Map<string, engineStates.EngineState>();
  private readonly runs = new runAccounts.RunAccount();
  private readonly speed = new promptBacklogs.ReadingSpeed();

  /** Sets which engines may be given work; what is known of those that stay is kept. */
  public setEngines(engines: readonly placeNeeds.LedgerEngine[]): void {
    const former = this.engines;
    engines
      .filter((engine) => isReborn(former.get(engine.engineId)?.engine, engine))
      .forEach(({ engineId }) => this.runs.forgetWorkAt(engineId));
    this.engines = new Map(
      engines.map((engine) => {
        const known = former.get(engine.engineId);
        const kept = isReborn(known?.engine, engine) ? undefined : known;
        return [engine.engineId, new engineStates.EngineState(engine, this.speed, kept)];
      }),
    );
  }

  /**
   * Places a generation, or gives nothing while no engine has room for it. One that may still wait is not put behind
   * the prompts that queue at an engine.
   */
  public place(
    need: placeNeeds.PlaceNeed,
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
      need,
      startedAt: now - need.ranMs,
      endsAt: now + need.leftMs,
      engineId,
      copyAt: undefined,
      zone: state?.engine.availabilityZone,
    });
    if (state !== undefined && need.fixedEngineId === undefined) {
      state.backlog.add(need.callId, need.promptTokens, now);
    }
    const copyAt = need.wantsCopy ? this.chooseCopy(need.callId, now) : undefined;
    this.runs.setCopy(need.callId, copyAt);
    return { engineId, copyAt, share: state === undefined ? 0 : this.getShare(state, now) };
  }

  /** Notes that the first event of a generation was seen, so that its prompt has been read. */
  public noteBegun(callId: string, now: number): void {
    const run = this.runs.find(callId);
    this.engines.get(run?.engineId ?? '')?.backlog.noteBegun(callId, now);
  }

  /** How long engines of this pool take to read so many prompt tokens, in milliseconds. */
  public getReadingMs(tokens: number): number {
    return this.speed.getMs(tokens);
  }

  /** How long a run is expected to go on, in milliseconds; nothing for one that is over. */
  public getRemainingMs(callId: string, now: number): number | undefined {
    const run = this.runs.find(callId);
    return run && memoryGrowth.getRemainingMs(run.need, now - run.startedAt);
  }

  /** How much memory a run fills now, in tokens. */
  public getTokens(callId: string, now: number): number {
    const run = this.runs.find(callId);
    return run === undefined ? 0 : memoryGrowth.getSizeAhead(run.need, now - run.startedAt, 0);
  }

  /**
   * Picks who takes over a generation whose engine leaves; nothing when it no longer runs there. The limits on copies
   * do not hold here, since without a taker the generation is lost for certain. The limit for placing does: beyond it
   * each draft that was saved had another one preempted, 18 for 18 on a heavy day. An engine that has no room all the
   * same says so, and is then among those excluded.
   */
  public renewCopy(
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
    this.runs.setCopy(callId, undefined);
    const barred = new Set([...excluded, engineId]);
    // Runs of one engine come to their new ones at the same moment, so they are spread.
    const takers = this.runs
      .list()
      .filter((other) => other.engineId === engineId && other.need.callId !== callId)
      .map((other) => other.copyAt);
    const copyAt = this.rankHolders(run, barred, now)
      .filter(({ share }) => share <= PLACE_LIMIT)
      .map(({ id, score, zone }) => {
        const taken = takers.filter((taker) => taker === id).length;
        const farWeight = zone === run.zone ? 0 : FAR_LINK_WEIGHT;
        return { id, score: score + taken * TAKER_WEIGHT + farWeight };
      })
      .sort((a, b) => a.score - b.score)[0]?.id;
    this.runs.setCopy(callId, copyAt);
    return copyAt;
  }

  /** Whether an engine may be given work. */
  public isListed(engineId: string): boolean {
    return this.engines.has(engineId);
  }

  /** Whether an engine that stays keeps a copy of a run. */
  public hasCopy(callId: string): boolean {
    const copyAt = this.runs.find(callId)?.copyAt;
    return copyAt !== undefined && this.isListed(copyAt);
  }

  /** Notes which engine has a copy of a run, or that none has. */
  public setCopy(callId: string, copyAt: string | undefined): void {
    this.runs.setCopy(callId, copyAt);
  }

  /** Takes a generation off; a failure counts against its engine for a while. */
  public release(callId: string, hasFailed: boolean, now: number): void {
    const run = this.runs.find(callId);
    const state = run && this.engines.get(run.engineId);
    this.runs.remove(callId);
    state?.backlog.remove(callId, now);
    if (hasFailed) {
      state?.noteFailure(now);
    }
  }

  /** How full the pool is, as the forecast share of all its memory, and how much runs. */
  public getSummary(now: number): { running: number; share: number } {
    const states = [...this.engines.values()];
    const total = states.reduce((sum, { engine }) => sum + engine.memoryTokens, 0);
    const held = states.reduce(
      (sum, state) => sum + this.getShare(state, now) * state.engine.memoryTokens,
      0,
    );
    return { running: this.runs.size, share: total === 0 ? 1 : held / total };
  }

  private choose(
    need: placeNeeds.PlaceNeed,
    now: number,
    mayWait: boolean,
  ): engineStates.EngineState | undefined {
    if (need.fixedEngineId !== undefined) {
      return this.engines.get(need.fixedEngineId);
    }
    const horizonMs = placeNeeds.isShort(need) ? SHORT_HORIZON_MS : HORIZON_MS;
    const size = memoryGrowth.getSizeAhead(need, 0, horizonMs);
    return [...this.engines.values()]
      .filter(({ engine }) => !need.excluded.includes(engine.engineId))
      .map((state) => {
        const { engineId, memoryTokens } = state.engine;
        const share = (this.runs.getHeld(engineId, now, horizonMs) + size) / memoryTokens;
        const backlogMs = state.backlog.getMs(now);
        const running = this.runs.countRunning(engineId);
        const penalty =
          state.getFailureWeight(now) + getFarWeight(state, need) + running * RUN_WEIGHT;
        const score = share + penalty + backlogMs / BACKLOG_SCALE_MS;
        return { state, running, share, score, backlogMs };
      })
      .filter(({ running, share, state }) => share <= PLACE_LIMIT && running < state.engine.slots)
      .filter(({ backlogMs }) => !mayWait || backlogMs <= BACKLOG_LIMIT_MS)
      .sort((a, b) => a.score - b.score)[0]?.state;
  }

  private chooseCopy(callId: string, now: number): string | undefined {
    const run = this.runs.find(callId);
    if (run === undefined || placeNeeds.isShort(run.need)) {
      return undefined;
    }
    if (this.getSummary(now).share > POOL_COPY_LIMIT) {
      return undefined;
    }
    const holders = this.rankHolders(run, new Set([run.engineId]), now);
    return holders.find(({ share }) => share <= COPY_LIMIT)?.id;
  }

  /** The engines that could keep a copy, the best first. */
  private rankHolders(
    run: runAccounts.PlacedRun,
    barred: ReadonlySet<string>,
    now: number,
  ): Holder[] {
    const size = memoryGrowth.getSizeAhead(run.need, now - run.startedAt, HORIZON_MS);
    return [...this.engines.values()]
      .filter(({ engine }) => !barred.has(engine.engineId))
      .map((state) => {
        const { availabilityZone: zone, engineId: id, memoryTokens } = state.engine;
        const share = (this.runs.getHeld(id, now, HORIZON_MS) + size) / memoryTokens;
        return { id, zone, share, score: share + getFarWeight(state, run.need) };
      })
      .sort((a, b) => a.score - b.score);
  }

  private getShare({ engine }: engineStates.EngineState, now: number): number {
    return this.runs.getHeld(engine.engineId, now, HORIZON_MS) / engine.memoryTokens;
  }
}

function isReborn(
  former: placeNeeds.LedgerEngine | undefined,
  engine: placeNeeds.LedgerEngine,
): boolean {
  const { bornMs } = engine;
  return former?.bornMs !== undefined && bornMs !== undefined && bornMs > former.bornMs;
}

function getFarWeight({ engine }: engineStates.EngineState, need: placeNeeds.PlaceNeed): number {
  return engine.availabilityZone === need.availabilityZone ? 0 : FAR_WEIGHT;
}
