import * as routing from '@bramleyridge/routing';

import * as models from './engine-step-model.js';

/** Load and conditions of a play on virtual time. */
export interface PoolPlayOptions {
  readonly seed: number;
  readonly engines: number;
  /** Share of engines that are slow by themselves, and by how much. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** How many times as long steps take during interference. */
  readonly interference: number;
  /** Interval at which an engine is replaced, in milliseconds. */
  readonly replaceEveryMs: number;
  readonly draftsPerS: number;
  readonly shortsPerS: number;
  readonly durationMs: number;
  /** Whether the leader learns what engines state; otherwise it decides by the present score. */
  readonly isStated: boolean;
  /** Share of the pace reports that are lost. */
  readonly lostShare?: number;
  /** Time at which a new leader takes over, in milliseconds. */
  readonly newLeaderAt?: number;
}

/** Result of a play. */
export interface PoolPlayResult {
  readonly drafts: number;
  /** Drafts with a gap beyond the target, as a share. */
  readonly lateShare: number;
  /** Calls whose first event was later than its target, as a share. */
  readonly lateFirstShare: number;
  readonly refused: number;
  /** Share of the drafts placed on slow engines. */
  readonly slowDraftShare: number;
  readonly ledger: routing.EngineLedger;
}

export const GAP_TARGET_MS = 180;
const FIRST_EVENT_TARGET_MS = 1_500;
/** Time that a generation may wait at the leader: the picker's share of its target. */
const PATIENCE_MS = FIRST_EVENT_TARGET_MS * 0.4;
const PROBE_INTERVAL_MS = 200;
const DISPATCH_INTERVAL_MS = 20;
const REPORT_AFTER_EVENTS = 16;
/** Time before which generations are not counted: the pool fills and nothing is learned yet. */
const WARM_UP_MS = 15_000;
const ZONES = ['a', 'b', 'c'];

/** Plays a load of generations on modelled engines that one leader's ledger places. */
export class PoolPlay implements models.EngineListener {
  private ledger = new routing.EngineLedger();
  private queue = new routing.PlacementQueue(this.ledger);
  private readonly random: () => number;
  private engines: models.ModelEngine[] = [];
  private readonly calls = new Map<string, { run: models.ModelRun; zone: string }>();
  private readonly counts = { drafts: 0, late: 0, firsts: 0, lateFirsts: 0, refused: 0, slow: 0 };
  private created = 0;

  public constructor(private readonly options: PoolPlayOptions) {
    this.random = models.createRandom(options.seed);
  }

  /** Plays until the end. */
  public play(): PoolPlayResult {
    const { draftsPerS, durationMs, engines, newLeaderAt, replaceEveryMs, shortsPerS } =
      this.options;
    this.engines = Array.from({ length: engines }, (_, i) =>
      this.createEngine(i < engines * this.options.slowShare, 0),
    );
    this.listEngines();
    for (let now = 0; now < durationMs; now += 1) {
      this.engines.forEach((engine) => engine.advance(now, this));
      if (this.random() < draftsPerS / 1_000) {
        this.arrive(now, 3_000, 400 + this.random() * 680);
      }
      if (this.random() < shortsPerS / 1_000) {
        this.arrive(now, 2_200, 8);
      }
      if (now === newLeaderAt) {
        this.changeLeader(now);
      }
      if (replaceEveryMs > 0 && now % replaceEveryMs === replaceEveryMs - 1) {
        this.replaceEngine(now);
      }
      if (now % PROBE_INTERVAL_MS === 0 && this.options.isStated) {
        this.engines.forEach((engine) =>
          this.ledger.applySlowdown(engine.engineId, engine.getSlowdown(now), now),
        );
      }
      if (now % DISPATCH_INTERVAL_MS === 0) {
        this.dispatch(now);
      }
    }
    const { drafts, firsts, late, lateFirsts, refused, slow } = this.counts;
    return {
      drafts,
      lateShare: late / drafts,
      lateFirstShare: lateFirsts / firsts,
      refused,
      slowDraftShare: slow / drafts,
      ledger: this.ledger,
    };
  }

  public onEvent(engine: models.ModelEngine, run: models.ModelRun, now: number): void {
    if (run.events === 1) {
      this.ledger.recordFirstEvent(run.callId, now);
      if (now > WARM_UP_MS) {
        this.counts.firsts += 1;
        this.counts.lateFirsts += now - run.arrivedAt > FIRST_EVENT_TARGET_MS ? 1 : 0;
      }
    }
    if (run.eventsHere === REPORT_AFTER_EVENTS) {
      this.report(engine, run, now);
    }
  }

  public onEnd(engine: models.ModelEngine, run: models.ModelRun, now: number): void {
    this.report(engine, run, now);
    this.ledger.release(run.callId, false, now);
    this.calls.delete(run.callId);
    if (run.arrivedAt > WARM_UP_MS && run.answerTokens > routing.SHORT_ANSWER_TOKENS) {
      this.counts.drafts += 1;
      this.counts.late += run.longestGapMs > GAP_TARGET_MS ? 1 : 0;
      this.counts.slow += engine.factor > 1 ? 1 : 0;
    }
  }

  private report(engine: models.ModelEngine, run: models.ModelRun, now: number): void {
    const isLong = run.answerTokens > routing.SHORT_ANSWER_TOKENS;
    if (this.options.isStated && isLong && this.random() >= (this.options.lostShare ?? 0)) {
      const stream = {
        msPerEvent: run.getMsPerEvent(),
        events: run.eventsHere,
        longestGapMs: run.gapMs,
      };
      this.ledger.recordStream(run.callId, engine.engineId, stream, now);
    }
  }

  private arrive(now: number, promptTokens: number, answerTokens: number): void {
    this.created += 1;
    const run = new models.ModelRun(`c${this.created}`, promptTokens, answerTokens, now);
    const zone = ZONES[Math.floor(this.random() * ZONES.length)]!;
    this.calls.set(run.callId, { run, zone });
    this.enqueue(run, now);
    this.dispatch(now);
  }

  private enqueue(run: models.ModelRun, now: number): void {
    const due = { dueAt: run.arrivedAt + FIRST_EVENT_TARGET_MS, priority: 0 };
    this.queue.add({ spec: this.createSpec(run), ...due, expiresAt: now + PATIENCE_MS });
  }

  private createSpec(run: models.ModelRun): routing.PlacementSpec {
    return {
      callId: run.callId,
      availabilityZone: this.calls.get(run.callId)?.zone ?? 'a',
      promptTokens: run.promptTokens,
      answerTokens: run.answerTokens,
      leftMs: 39_000,
      excluded: [],
      gapTargetMs: run.answerTokens > routing.SHORT_ANSWER_TOKENS ? GAP_TARGET_MS : undefined,
      wantsCopy: true,
      ranMs: 0,
    };
  }

  private dispatch(now: number): void {
    this.queue.dispatch(now).forEach(({ placed, queued }) => {
      const call = this.calls.get(queued.spec.callId);
      const engine = this.engines.find(({ engineId }) => engineId === placed?.engineId);
      if (call === undefined || engine === undefined) {
        this.counts.refused += 1;
      } else {
        engine.prompts.push(call.run);
      }
    });
  }

  private createEngine(isSlow: boolean, now: number): models.ModelEngine {
    this.created += 1;
    const { interference, slowFactor } = this.options;
    const factor = isSlow ? slowFactor : 1;
    return new models.ModelEngine(`e${this.created}`, factor, interference, this.random, now);
  }

  private listEngines(): void {
    this.ledger.setEngines(
      this.engines.map(({ engineId }, i) => ({
        engineId,
        memoryTokens: 34_000,
        slots: 24,
        availabilityZone: ZONES[i % ZONES.length]!,
      })),
    );
  }

  /** Replaces an engine by another one of the same kind; its runs migrate, its prompts restart. */
  private replaceEngine(now: number): void {
    const index = Math.floor(this.random() * this.engines.length);
    const former = this.engines[index]!;
    this.engines[index] = this.createEngine(former.factor > 1, now);
    const targets = former.runs.map((run) => ({
      run,
      targetId: this.ledger.reassignBackup(run.callId, former.engineId, [], now),
    }));
    this.listEngines();
    targets.forEach(({ run, targetId }) => this.migrate(run, targetId, now));
    former.prompts.forEach((run) => {
      this.ledger.release(run.callId, false, now);
      run.readTokens = 0;
      this.enqueue(run, now);
    });
  }

  private migrate(run: models.ModelRun, targetId: string | undefined, now: number): void {
    this.ledger.release(run.callId, false, now);
    const target = this.engines.find(({ engineId }) => engineId === targetId);
    if (target === undefined) {
      this.calls.delete(run.callId);
      return;
    }
    run.move();
    const ranMs = now - run.arrivedAt;
    this.ledger.place({ ...this.createSpec(run), fixedEngineId: targetId, ranMs }, now);
    target.runs.push(run);
  }

  /** A new leader knows no factor; hosts report their runs to it. */
  private changeLeader(now: number): void {
    this.ledger = new routing.EngineLedger();
    this.queue = new routing.PlacementQueue(this.ledger);
    this.listEngines();
    this.engines.forEach(({ engineId, prompts, runs }) =>
      [...prompts, ...runs].forEach((run) => {
        const fixed = { fixedEngineId: engineId, isUnderWay: true, ranMs: now - run.arrivedAt };
        this.ledger.place({ ...this.createSpec(run), ...fixed }, now);
      }),
    );
  }
}
