import * as memoryGrowth from './memory-growth.js';
import type * as placeNeeds from './place-need.js';

/** How long after its end a generation that nobody took off still counts, in milliseconds. */
const OVERDUE_MS = 2_000;

/** A generation that was placed. */
export interface PlacedRun {
  readonly need: placeNeeds.PlaceNeed;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly engineId: string;
  /** The availability zone of its engine, which may no longer be listed when it leaves. */
  readonly zone: string | undefined;
  /** The engine that keeps a copy of its memory. */
  readonly copyAt: string | undefined;
}

/** Every generation of one pool with its size and its copy. */
export class RunAccount {
  private readonly runs = new Map<string, PlacedRun>();

  /** How many generations there are. */
  public get size(): number {
    return this.runs.size;
  }

  /** Enters a generation, or what has changed of it. */
  public set(run: PlacedRun): void {
    this.runs.set(run.need.callId, run);
  }

  /** A generation, unless it is over. */
  public find(callId: string): PlacedRun | undefined {
    return this.runs.get(callId);
  }

  /** All generations. */
  public list(): PlacedRun[] {
    return [...this.runs.values()];
  }

  /** Takes a generation off. */
  public remove(callId: string): void {
    this.runs.delete(callId);
  }

  /** Notes which engine has a copy of a generation, or that none has. */
  public setCopy(callId: string, copyAt: string | undefined): void {
    const run = this.runs.get(callId);
    if (run !== undefined) {
      this.runs.set(callId, { ...run, copyAt });
    }
  }

  /** Memory that an engine's generations and copies will fill at a horizon, in tokens. */
  public getHeld(engineId: string, now: number, horizonMs: number): number {
    let held = 0;
    this.runs.forEach((run) => {
      if (run.engineId === engineId || run.copyAt === engineId) {
        held += memoryGrowth.getSizeAhead(run.need, now - run.startedAt, horizonMs);
      }
    });
    return held;
  }

  /** How many generations run on an engine. */
  public countRunning(engineId: string): number {
    return this.list().filter((run) => run.engineId === engineId).length;
  }

  /** An engine that started again has none of the runs and copies that were there. */
  public forgetWorkAt(engineId: string): void {
    this.list().forEach(({ copyAt, engineId: at, need }) => {
      if (at === engineId) {
        this.runs.delete(need.callId);
      } else if (copyAt === engineId) {
        this.setCopy(need.callId, undefined);
      }
    });
  }

  /** A host that died took nothing off; its generations must not hold room for ever. */
  public dropOverdue(now: number): void {
    this.list()
      .filter(({ endsAt }) => now > endsAt + OVERDUE_MS)
      .forEach(({ need }) => this.runs.delete(need.callId));
  }
}
