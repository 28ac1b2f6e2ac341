/** Tokens that a running generation makes in a second: one a step of 8 to 16 ms, as the engines' sheets state. */
const TOKENS_PER_S = 85;

/** Prompt tokens that an engine reads in a millisecond while it also serves others: a chunk of 112 every 16 ms. */
const PROMPT_TOKENS_PER_MS = 7;

/**
 * How far ahead memory is forecast, in milliseconds. What is placed now grows for some ten seconds while others
 * end; further ahead the ends outweigh the growth.
 */
const HORIZON_MS = 3_000;

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

/** How much an answer turns out longer than its caller's estimate on average; the estimate is the median. */
const MEAN_OVER_HINT = 1.15;

/** The part of the growth up to the horizon that a generation which has outlived its estimate has on average. */
const GROWS_ON = 0.5;

/** How many milliseconds of prompts that wait to be read weigh as much as all of an engine's memory. */
const BACKLOG_SCALE_MS = 1_500;

/**
 * How much an engine or a copy in another availability zone than the caller's entry host weighs, as a share of
 * memory. A zone that is cut off takes with it every stream that crosses its border: 13 of 36 drafts under way, when
 * they were placed by load alone over three zones. Engines of one zone are left for others when they are this
 * much fuller, so a zone whose engines are few does not starve its callers.
 */
const FAR_WEIGHT = 0.15;

/**
 * How much each generation that runs on an engine weighs, as a share of memory. By memory alone a run and a copy weigh
 * the same, and of two engines one ran eight drafts while the other kept their copies. A step takes 7 ms and 0.12 ms
 * more for each run, so eight runs on one of two engines are 6% slower than four on each.
 */
const RUN_WEIGHT = 0.01;

/** How much each run that an engine takes over from the same leaving engine weighs, as a share of memory. */
const TAKER_WEIGHT = 0.1;

/** How much a failure weighs as a share of memory, and after which time half of that, in milliseconds. */
const FAILURE_WEIGHT = 0.4;
const FAILURE_HALF_LIFE_MS = 3_000;

/** How long after its end a generation that nobody took off the ledger still counts, in milliseconds. */
const OVERDUE_MS = 2_000;

/**
 * Up to how many tokens an answer is short. Short ones take under half a second: few are hit by the loss of an
 * engine, and copies arrive only several times a second, so none is kept.
 */
export const SHORT_ANSWER_TOKENS = 60;

/** An engine that may be given work. */
export interface LedgerEngine {
  readonly engineId: string;
  readonly memoryTokens: number;
  readonly slots: number;
  readonly availabilityZone: string;
}

/** A generation that is to be placed. */
export interface PlaceNeed {
  readonly callId: string;
  /** The availability zone of the entry host that has the caller. */
  readonly availabilityZone: string;
  readonly promptTokens: number;
  /** The estimate of the answer's tokens. */
  readonly answerTokens: number;
  /** The most time that it may still take, in milliseconds. */
  readonly leftMs: number;
  readonly excluded: readonly string[];
  /** The engine on which it goes on or runs already; it is entered there whatever the room. */
  readonly fixedEngineId?: string | undefined;
  readonly wantsCopy: boolean;
  /** How long it has run already, in milliseconds. */
  readonly ranMs: number;
}

/** Where a generation was placed, and who keeps its copy. */
export interface Placement {
  readonly engineId: string;
  readonly copyAt: string | undefined;
  /** The forecast share of the engine's memory, with this generation. */
  readonly share: number;
}

interface Entry {
  readonly need: PlaceNeed;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly engineId: string;
  readonly copyAt: string | undefined;
}

interface EngineState {
  readonly engine: LedgerEngine;
  /** Until when the prompts that were placed there are probably read. */
  readUntil: number;
  failures: number;
  failedAt: number;
}

/**
 * The account of one pool of engines: every generation with its size and every copy, in one place. Hosts that
 * choose alone see a seventh of the load each and reports that are half a second old; they overfill one engine
 * while another has room, and keep copies where there is none.
 */
export class EngineLedger {
  private engines = new Map<string, EngineState>();
  private readonly entries = new Map<string, Entry>();

  /** Sets which engines may be given work; what is known of those that stay is kept. */
  public setEngines(engines: readonly LedgerEngine[]): void {
    const former = this.engines;
    this.engines = new Map(
      engines.map((engine) => [
        engine.engineId,
        { readUntil: 0, failures: 0, failedAt: 0, ...former.get(engine.engineId), engine },
      ]),
    );
  }

  /** Places a generation, or gives nothing while no engine has room for it. */
  public place(need: PlaceNeed, now: number): Placement | undefined {
    this.dropOverdue(now);
    const state = this.choose(need, now);
    const engineId = state?.engine.engineId ?? need.fixedEngineId;
    if (engineId === undefined) {
      return undefined;
    }
    const copyAt = need.wantsCopy ? this.chooseCopy(need, engineId, need.ranMs, now) : undefined;
    const startedAt = now - need.ranMs;
    this.entries.set(need.callId, {
      need,
      startedAt,
      endsAt: now + need.leftMs,
      engineId,
      copyAt,
    });
    if (state !== undefined && need.fixedEngineId === undefined) {
      state.readUntil = Math.max(state.readUntil, now) + need.promptTokens / PROMPT_TOKENS_PER_MS;
    }
    return { engineId, copyAt, share: state === undefined ? 0 : this.getShare(state, now) };
  }

  /**
   * Picks who takes over a generation whose engine leaves; nothing when it no longer runs there. The limits on copies
   * do not hold here, since without one the generation is lost for certain and will soon run where its copy is. The
   * limit for placing does: beyond it each draft that was saved had another one preempted, 18 for 18 on a heavy day.
   * An engine that has no room all the same says so, and is then among those excluded.
   */
  public renewCopy(
    callId: string,
    engineId: string,
    excluded: readonly string[],
    now: number,
  ): string | undefined {
    const entry = this.entries.get(callId);
    if (entry === undefined || entry.engineId !== engineId) {
      return undefined;
    }
    // The copy that was lost, or that a holder refused, takes no room any more.
    this.entries.set(callId, { ...entry, copyAt: undefined });
    const barred = new Set([...excluded, engineId]);
    // Runs of one engine come to their new ones at the same moment, so they are spread.
    const takers = [...this.entries.values()]
      .filter((other) => other.engineId === engineId && other.need.callId !== callId)
      .map((other) => other.copyAt);
    const copyAt = this.rankHolders(entry.need, barred, now - entry.startedAt, now)
      .filter(({ share }) => share <= PLACE_LIMIT)
      .map(({ id, score }) => {
        const taken = takers.filter((taker) => taker === id).length;
        return { id, score: score + taken * TAKER_WEIGHT };
      })
      .sort((a, b) => a.score - b.score)[0]?.id;
    this.entries.set(callId, { ...entry, copyAt });
    return copyAt;
  }

  /** Takes a generation off; a failure counts against its engine for a while. */
  public release(callId: string, hasFailed: boolean, now: number): void {
    const entry = this.entries.get(callId);
    const state = entry && this.engines.get(entry.engineId);
    this.entries.delete(callId);
    if (hasFailed && state !== undefined) {
      state.failures = getFailures(state, now) + 1;
      state.failedAt = now;
    }
  }

  /** How full the pool is, as the forecast share of all its memory, and how much runs. */
  public getSummary(now: number): { running: number; share: number } {
    const states = [...this.engines.values()];
    const total = states.reduce((sum, { engine }) => sum + engine.memoryTokens, 0);
    const held = states.reduce((sum, state) => sum + this.getHeld(state.engine.engineId, now), 0);
    return { running: this.entries.size, share: total === 0 ? 1 : held / total };
  }

  private choose(need: PlaceNeed, now: number): EngineState | undefined {
    if (need.fixedEngineId !== undefined) {
      return this.engines.get(need.fixedEngineId);
    }
    const size = getSizeAhead(need, 0);
    return [...this.engines.values()]
      .filter(({ engine }) => !need.excluded.includes(engine.engineId))
      .map((state) => {
        const share = this.getShare(state, now) + size / state.engine.memoryTokens;
        const backlogMs = Math.max(0, state.readUntil - now);
        const running = this.countRunning(state);
        const penalty =
          getFailures(state, now) * FAILURE_WEIGHT +
          getFarWeight(state, need) +
          running * RUN_WEIGHT;
        const score = share + penalty + backlogMs / BACKLOG_SCALE_MS;
        return { state, running, share, score };
      })
      .filter(({ running, share, state }) => share <= PLACE_LIMIT && running < state.engine.slots)
      .sort((a, b) => a.score - b.score)[0]?.state;
  }

  private chooseCopy(
    need: PlaceNeed,
    engineId: string,
    ranMs: number,
    now: number,
  ): string | undefined {
    if (need.answerTokens <= SHORT_ANSWER_TOKENS) {
      return undefined;
    }
    if (this.getSummary(now).share > POOL_COPY_LIMIT) {
      return undefined;
    }
    return this.rankHolders(need, new Set([engineId]), ranMs, now).find(
      ({ share }) => share <= COPY_LIMIT,
    )?.id;
  }

  /** The engines that could keep a copy, the best first. */
  private rankHolders(
    need: PlaceNeed,
    barred: ReadonlySet<string>,
    ranMs: number,
    now: number,
  ): { readonly id: string; readonly share: number; readonly score: number }[] {
    const size = getSizeAhead(need, ranMs);
    return [...this.engines.values()]
      .filter(({ engine }) => !barred.has(engine.engineId))
      .map((state) => {
        const share = this.getShare(state, now) + size / state.engine.memoryTokens;
        return { id: state.engine.engineId, share, score: share + getFarWeight(state, need) };
      })
      .sort((a, b) => a.score - b.score);
  }

  private getShare(state: EngineState, now: number): number {
    const { engineId, memoryTokens } = state.engine;
    return this.getHeld(engineId, now) / memoryTokens;
  }

  /** Memory that an engine's generations and copies will fill at the horizon, in tokens. */
  private getHeld(engineId: string, now: number): number {
    let held = 0;
    this.entries.forEach((entry) => {
      if (entry.engineId === engineId || entry.copyAt === engineId) {
        held += getSizeAhead(entry.need, now - entry.startedAt);
      }
    });
    return held;
  }

  private countRunning({ engine }: EngineState): number {
    let running = 0;
    this.entries.forEach((entry) => {
      running += entry.engineId === engine.engineId ? 1 : 0;
    });
    return running;
  }

  /** A host that died took nothing off; its generations must not hold room for ever. */
  private dropOverdue(now: number): void {
    this.entries.forEach((entry, callId) => {
      if (now > entry.endsAt + OVERDUE_MS) {
        this.entries.delete(callId);
      }
    });
  }
}

/**
 * What a generation will hold at the horizon, in tokens, when it has run for so long. One that has outlived its
 * estimate goes on growing: lengths are heavy-tailed, so the longest are the ones that fill engines. Taken to stay
 * at the estimate, three of them hid the third part of an engine, and what was placed there waited 7 s in vain.
 */
function getSizeAhead(need: PlaceNeed, ranMs: number): number {
  const expected = need.answerTokens * MEAN_OVER_HINT;
  const made = (ranMs / 1_000) * TOKENS_PER_S;
  const growth = (HORIZON_MS / 1_000) * TOKENS_PER_S;
  const answer = made < expected ? Math.min(expected, made + growth) : made + growth * GROWS_ON;
  return need.promptTokens + answer;
}

function getFarWeight({ engine }: EngineState, need: PlaceNeed): number {
  return engine.availabilityZone === need.availabilityZone ? 0 : FAR_WEIGHT;
}

function getFailures(state: EngineState, now: number): number {
  return state.failures * 0.5 ** ((now - state.failedAt) / FAILURE_HALF_LIFE_MS);
}
