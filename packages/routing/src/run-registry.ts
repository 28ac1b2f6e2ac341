import * as engineOccupancies from './engine-occupancy.js';
import type * as placedRuns from './placed-run.js';

/**
 * How long an unreleased generation still counts after its latest possible end, in milliseconds.
 */
const OVERDUE_MS = 2_000;

/**
 * Interval between two checks for such generations, in milliseconds; a tenth of the time for which
 * they count anyway.
 */
const OVERDUE_CHECK_MS = 200;

/** Indexes the generations of one pool, with their backups, by engine. */
export class RunRegistry {
  private readonly runs = new Map<string, placedRuns.PlacedRun>();
  private readonly byEngine = new Map<string, engineOccupancies.EngineOccupancy>();
  private checkedAt = -Infinity;

  /** Number of generations. */
  public get size(): number {
    return this.runs.size;
  }

  /** Adds a generation and replaces any earlier entry of the same call. */
  public set(run: placedRuns.PlacedRun): void {
    this.remove(run.spec.callId);
    this.runs.set(run.spec.callId, run);
    this.getOccupancy(run.engineId).addRun(run);
    if (run.backupEngineId !== undefined) {
      this.getOccupancy(run.backupEngineId).addBackup(run);
    }
  }

  /** Returns a generation; `undefined` if it is over. */
  public find(callId: string): placedRuns.PlacedRun | undefined {
    return this.runs.get(callId);
  }

  /** Returns the generations that run on an engine. */
  public listAt(engineId: string): placedRuns.PlacedRun[] {
    return this.byEngine.get(engineId)?.listRuns() ?? [];
  }

  /** Removes a generation. */
  public remove(callId: string): void {
    const run = this.runs.get(callId);
    if (run === undefined) {
      return;
    }
    this.setBackup(callId, undefined);
    this.runs.delete(callId);
    this.getOccupancy(run.engineId).removeRun(callId);
  }

  /** Sets which engine keeps the backup of a generation; `undefined` if none does. */
  public setBackup(callId: string, backupEngineId: string | undefined): void {
    const run = this.runs.get(callId);
    if (run === undefined || run.backupEngineId === backupEngineId) {
      return;
    }
    if (run.backupEngineId !== undefined) {
      this.getOccupancy(run.backupEngineId).removeBackup(callId);
    }
    run.backupEngineId = backupEngineId;
    if (backupEngineId !== undefined) {
      this.getOccupancy(backupEngineId).addBackup(run);
    }
  }

  /**
   * Returns the runs and backups on an engine; the same object for as long as the engine is listed.
   */
  public getOccupancy(engineId: string): engineOccupancies.EngineOccupancy {
    const existing = this.byEngine.get(engineId);
    if (existing !== undefined) {
      return existing;
    }
    const created = new engineOccupancies.EngineOccupancy();
    this.byEngine.set(engineId, created);
    return created;
  }

  /** Drops empty entries of engines that are no longer listed. */
  public removeUnlisted(isListed: (engineId: string) => boolean): void {
    this.byEngine.forEach((occupancy, engineId) => {
      if (occupancy.isEmpty && !isListed(engineId)) {
        this.byEngine.delete(engineId);
      }
    });
  }

  /**
   * Removes the runs and backups of an engine that has restarted, since they were lost with its
   * process.
   */
  public removeWorkAt(engineId: string): void {
    const occupancy = this.byEngine.get(engineId);
    occupancy?.listRuns().forEach(({ spec }) => this.remove(spec.callId));
    occupancy?.listBackedUp().forEach(({ spec }) => this.setBackup(spec.callId, undefined));
  }

  /**
   * Drops generations long after their latest possible end. A host that crashed did not release its
   * generations, and they must not use capacity forever.
   */
  public dropOverdue(now: number): void {
    if (now - this.checkedAt < OVERDUE_CHECK_MS) {
      return;
    }
    this.checkedAt = now;
    this.runs.forEach(({ expiresAt, spec }) => {
      if (now > expiresAt + OVERDUE_MS) {
        this.remove(spec.callId);
      }
    });
  }
}
