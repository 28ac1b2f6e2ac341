import type * as engineLedgers from './engine-ledger.js';

/**
 * How long one run may take to be handed over before the next one has its turn, in milliseconds: a copy of 0.2 s, twice
 * that across zones, and the stop. Beyond it its host has died or its engine does not answer.
 */
const TURN_MS = 1_000;

/** Below which remaining time a run is left to end by itself on an engine that leaves, in milliseconds. */
const ENDS_SOON_MS = 800;

/** A run that can be handed over, as the host that has its caller offers it. */
export interface MigrationCandidate {
  readonly callId: string;
  readonly engineId: string;
  /** Engines that had no room for it. */
  readonly excluded: readonly string[];
  /** Until when the host waits for an answer. */
  readonly expiresAt: number;
}

/** What a host is told about a run that it offered. */
export interface MigrationDecision<R extends MigrationCandidate> {
  readonly run: R;
  /** The engine that takes it over now; nothing when its wait is over. */
  readonly targetEngineId: string | undefined;
}

interface Turn {
  readonly engineId: string;
  readonly endsAt: number;
}

/**
 * Which run is handed over next, from where and where to. An engine has one link, so copies that are ordered
 * at once all come late, and the last small part of each, for which its stream stands still, queues behind whole
 * copies of the others: pauses of 0.3 to 0.7 s. In turn each takes its own time only, and the pause is a few events.
 */
export class MigrationScheduler<R extends MigrationCandidate = MigrationCandidate> {
  /** In the order in which their waits end. */
  private readonly offered = new Map<string, R>();
  private readonly byEngine = new Map<string, Map<string, R>>();
  private readonly turns = new Map<string, Turn>();

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** How many runs could be handed over. */
  public get size(): number {
    return this.offered.size;
  }

  /** Offers a run, or the same run anew; all hosts wait equally long, so the last offer's wait ends last. */
  public offer(run: R): void {
    this.drop(run.callId);
    this.offered.set(run.callId, run);
    const known = this.byEngine.get(run.engineId) ?? new Map<string, R>();
    this.byEngine.set(run.engineId, known.set(run.callId, run));
  }

  /** Ends a run's turn: it was handed over, or is not. */
  public endMigration(callId: string): void {
    this.turns.delete(callId);
  }

  /** Takes a run back that is over; gives it when its host still waits for an answer. */
  public withdraw(callId: string): R | undefined {
    this.turns.delete(callId);
    return this.drop(callId);
  }

  /** Whether some run is being handed over now. */
  public isMigrating(): boolean {
    return this.turns.size > 0;
  }

  /** The runs whose turn begins now, and those whose hosts have waited long enough. */
  public dispatch(now: number): MigrationDecision<R>[] {
    this.turns.forEach(({ endsAt }, callId) => {
      if (now >= endsAt) {
        // Whether the copy was made is not known; the run is better copied twice than left without one.
        this.turns.delete(callId);
        this.ledger.setBackup(callId, undefined);
      }
    });
    return [...this.leaveEngines(now), ...this.endWaits(now)];
  }

  /** Of each engine that leaves, one run at a time. */
  private leaveEngines(now: number): MigrationDecision<R>[] {
    return [...this.byEngine]
      .filter(([engineId]) => !this.ledger.isListed(engineId) && !this.isSending(engineId))
      .map(([, runs]) => [...runs.values()].filter(({ callId }) => !this.ledger.hasBackup(callId)))
      .flatMap((runs) => this.leaveFirst(runs, now));
  }

  /**
   * The smallest first, so that as many as possible are through before the engine is gone. Those that end by
   * themselves in that time go last.
   */
  private leaveFirst(runs: readonly R[], now: number): MigrationDecision<R>[] {
    const ranked = runs
      .map((run) => ({
        run,
        endsSoon: (this.ledger.getRemainingMs(run.callId, now) ?? 0) < ENDS_SOON_MS,
        tokens: this.ledger.getTokens(run.callId, now),
      }))
      .sort((a, b) => Number(a.endsSoon) - Number(b.endsSoon) || a.tokens - b.tokens);
    for (const { run } of ranked) {
      const takerId = this.ledger.reassignBackup(run.callId, run.engineId, run.excluded, now);
      if (takerId !== undefined) {
        return [this.begin(run, takerId, now)];
      }
    }
    return [];
  }

  private endWaits(now: number): MigrationDecision<R>[] {
    const settled: MigrationDecision<R>[] = [];
    for (const run of this.offered.values()) {
      if (now < run.expiresAt) {
        break;
      }
      this.drop(run.callId);
      settled.push({ run, targetEngineId: undefined });
    }
    return settled;
  }

  private begin(run: R, takerId: string, now: number): MigrationDecision<R> {
    this.drop(run.callId);
    this.turns.set(run.callId, { engineId: run.engineId, endsAt: now + TURN_MS });
    return { run, targetEngineId: takerId };
  }

  private drop(callId: string): R | undefined {
    const run = this.offered.get(callId);
    if (run === undefined) {
      return undefined;
    }
    this.offered.delete(callId);
    const others = this.byEngine.get(run.engineId);
    others?.delete(callId);
    if (others?.size === 0) {
      this.byEngine.delete(run.engineId);
    }
    return run;
  }

  private isSending(engineId: string): boolean {
    return [...this.turns.values()].some((turn) => turn.engineId === engineId);
  }
}
