import * as engineHoldings from './engine-occupancy.js';
import type * as placedRuns from './placed-run.js';

/** How long after its end a generation that nobody took off still counts, in milliseconds. */
const OVERDUE_MS = 2_000;

/** How often such generations are looked for, in milliseconds; a tenth of the time for which they count anyway. */
const OVERDUE_CHECK_MS = 200;

/** Every generation of one pool with its size and its copy, by engine. */
export class RunRegistry {
  private readonly runs = new Map<string, placedRuns.PlacedRun>();
  private readonly byEngine = new Map<string, engineHoldings.EngineOccupancy>();
  private checkedAt = -Infinity;

  /** How many generations there are. */
  public get size(): number {
    return this.runs.size;
  }

  /** Enters a generation; what was known of it before no longer counts. */
  public set(run: placedRuns.PlacedRun): void {
    this.remove(run.spec.callId);
    this.runs.set(run.spec.callId, run);
    this.getOccupancy(run.engineId).addRun(run);
    if (run.backupEngineId !== undefined) {
      this.getOccupancy(run.backupEngineId).addBackup(run);
    }
  }

  /** A generation, unless it is over. */
  public find(callId: string): placedRuns.PlacedRun | undefined {
    return this.runs.get(callId);
  }

  /** The generations that run on an engine. */
  public listAt(engineId: string): placedRuns.PlacedRun[] {
    return this.byEngine.get(engineId)?.listRuns() ?? [];
  }

  /** Takes a generation off. */
  public remove(callId: string): void {
    const run = this.runs.get(callId);
    if (run === undefined) {
      return;
    }
    this.setBackup(callId, undefined);
    this.runs.delete(callId);
    this.getOccupancy(run.engineId).removeRun(callId);
  }

  /** Notes which engine has a copy of a generation, or that none has. */
  public setBackup(callId: string, copyAt: string | undefined): void {
    const run = this.runs.get(callId);
    if (run === undefined || run.backupEngineId === copyAt) {
      return;
    }
    if (run.backupEngineId !== undefined) {
      this.getOccupancy(run.backupEngineId).removeBackup(callId);
    }
    run.backupEngineId = copyAt;
    if (copyAt !== undefined) {
      this.getOccupancy(copyAt).addBackup(run);
    }
  }

  /** What runs and is kept on an engine; the same object for as long as the engine is listed. */
  public getOccupancy(engineId: string): engineHoldings.EngineOccupancy {
    const known = this.byEngine.get(engineId);
    if (known !== undefined) {
      return known;
    }
    const created = new engineHoldings.EngineOccupancy();
    this.byEngine.set(engineId, created);
    return created;
  }

  /** Forgets engines that are no longer listed and on which nothing runs any more. */
  public removeUnlisted(isListed: (engineId: string) => boolean): void {
    this.byEngine.forEach((holdings, engineId) => {
      if (holdings.isEmpty && !isListed(engineId)) {
        this.byEngine.delete(engineId);
      }
    });
  }

  /** An engine that started again has none of the runs and copies that were there. */
  public removeWorkAt(engineId: string): void {
    const holdings = this.byEngine.get(engineId);
    holdings?.listRuns().forEach(({ spec: need }) => this.remove(need.callId));
    holdings?.listBackedUp().forEach(({ spec: need }) => this.setBackup(need.callId, undefined));
  }

  /** A host that died took nothing off; its generations must not hold room for ever. */
  public dropOverdue(now: number): void {
    if (now - this.checkedAt < OVERDUE_CHECK_MS) {
      return;
    }
    this.checkedAt = now;
    this.runs.forEach(({ expiresAt: endsAt, spec: need }) => {
      if (now > endsAt + OVERDUE_MS) {
        this.remove(need.callId);
      }
    });
  }
}
