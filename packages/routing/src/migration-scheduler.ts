import type * as engineLedgers from './engine-ledger.js';

/**
 * Maximum time of one migration before the next run may start, in milliseconds: 0.2 s for the copy,
 * twice that across zones, and the stop of the old run. Beyond it the host has crashed or its
 * engine does not answer.
 */
const MIGRATION_TIMEOUT_MS = 1_000;

/**
 * Remaining time below which a run on a leaving engine migrates last, in milliseconds: it probably
 * ends in time by itself.
 */
const ENDS_SOON_MS = 800;

/** A run that can migrate, as offered by the host that serves its caller. */
export interface MigrationCandidate {
  readonly callId: string;
  readonly engineId: string;
  /** Engines that had no capacity for it. */
  readonly excluded: readonly string[];
  /** Time until which the host waits for an answer. */
  readonly expiresAt: number;
}

/** The answer to a host about a run that it offered. */
export interface MigrationDecision<R extends MigrationCandidate> {
  readonly run: R;
  /** The engine to which the run migrates now; `undefined` if its wait is over. */
  readonly targetEngineId: string | undefined;
}

interface ActiveMigration {
  readonly engineId: string;
  readonly expiresAt: number;
}

/**
 * Schedules which run migrates next, from which engine and to which. An engine has a single link,
 * so copies that are started at once all finish late, and the last small part of each, during which
 * its stream stops, queues behind whole copies of other runs: pauses of 0.3 to 0.7 s. One at a
 * time, each copy takes only its own time, and the pause is a few events.
 */
export class MigrationScheduler<R extends MigrationCandidate = MigrationCandidate> {
  /** Ordered by the end of their waits. */
  private readonly candidates = new Map<string, R>();
  private readonly byEngine = new Map<string, Map<string, R>>();
  private readonly migrations = new Map<string, ActiveMigration>();

  public constructor(private readonly ledger: engineLedgers.EngineLedger) {}

  /** Number of runs that can migrate. */
  public get size(): number {
    return this.candidates.size;
  }

  /**
   * Offers a run, or offers it again. All hosts wait equally long, so the wait of the last offer
   * ends last.
   */
  public offer(run: R): void {
    this.removeCandidate(run.callId);
    this.candidates.set(run.callId, run);
    const candidates = this.byEngine.get(run.engineId) ?? new Map<string, R>();
    this.byEngine.set(run.engineId, candidates.set(run.callId, run));
  }

  /** Ends the migration of a run, whether it took place or not. */
  public endMigration(callId: string): void {
    this.migrations.delete(callId);
  }

  /** Removes a run that is over. Returns it if its host still waits for an answer. */
  public withdraw(callId: string): R | undefined {
    this.migrations.delete(callId);
    return this.removeCandidate(callId);
  }

  /** Whether a migration is in progress. */
  public isMigrating(): boolean {
    return this.migrations.size > 0;
  }

  /** Returns the runs that start to migrate now, and those whose hosts have waited long enough. */
  public dispatch(now: number): MigrationDecision<R>[] {
    this.migrations.forEach(({ expiresAt }, callId) => {
      if (now >= expiresAt) {
        // It is unknown whether the copy was made; copying the run twice is better than leaving it
        // without a copy.
        this.migrations.delete(callId);
        this.ledger.setBackup(callId, undefined);
      }
    });
    return [...this.startMigrations(now), ...this.expireWaits(now)];
  }

  /** Starts the migration of one run at a time from each leaving engine. */
  private startMigrations(now: number): MigrationDecision<R>[] {
    return [...this.byEngine]
      .filter(([engineId]) => !this.ledger.isListed(engineId) && !this.hasActiveMigration(engineId))
      .map(([, runs]) => [...runs.values()].filter(({ callId }) => !this.ledger.hasBackup(callId)))
      .flatMap((runs) => this.startNext(runs, now));
  }

  /**
   * Prefers small runs, so that as many as possible finish before the engine is gone. Runs that
   * will probably end by themselves in that time come last.
   */
  private startNext(runs: readonly R[], now: number): MigrationDecision<R>[] {
    const ranked = runs
      .map((run) => ({
        run,
        endsSoon: (this.ledger.getRemainingMs(run.callId, now) ?? 0) < ENDS_SOON_MS,
        tokens: this.ledger.getTokens(run.callId, now),
      }))
      .sort((a, b) => Number(a.endsSoon) - Number(b.endsSoon) || a.tokens - b.tokens);
    for (const { run } of ranked) {
      const targetEngineId = this.ledger.reassignBackup(
        run.callId,
        run.engineId,
        run.excluded,
        now,
      );
      if (targetEngineId !== undefined) {
        return [this.start(run, targetEngineId, now)];
      }
    }
    return [];
  }

  private expireWaits(now: number): MigrationDecision<R>[] {
    const settled: MigrationDecision<R>[] = [];
    for (const run of this.candidates.values()) {
      if (now < run.expiresAt) {
        break;
      }
      this.removeCandidate(run.callId);
      settled.push({ run, targetEngineId: undefined });
    }
    return settled;
  }

  private start(run: R, targetEngineId: string, now: number): MigrationDecision<R> {
    this.removeCandidate(run.callId);
    this.migrations.set(run.callId, {
      engineId: run.engineId,
      expiresAt: now + MIGRATION_TIMEOUT_MS,
    });
    return { run, targetEngineId };
  }

  private removeCandidate(callId: string): R | undefined {
    const run = this.candidates.get(callId);
    if (run === undefined) {
      return undefined;
    }
    this.candidates.delete(callId);
    const others = this.byEngine.get(run.engineId);
    others?.delete(callId);
    if (others?.size === 0) {
      this.byEngine.delete(run.engineId);
    }
    return run;
  }

  private hasActiveMigration(engineId: string): boolean {
    return [...this.migrations.values()].some((migration) => migration.engineId === engineId);
  }
}
