import type * as placementSpecs from './placement-spec.js';

/** The state of an engine when the first event of a run on it arrived. */
export interface PaceStart {
  readonly at: number;
  /** Total time for which the engine had prefilled by then, in milliseconds. */
  readonly busyMs: number;
}

/** A generation that was placed. */
export interface PlacedRun {
  readonly spec: placementSpecs.PlacementSpec;
  readonly startedAt: number;
  readonly expiresAt: number;
  readonly engineId: string;
  /** Availability zone of its engine, which may no longer be listed when the run migrates. */
  readonly zone: string | undefined;
  /** The engine that keeps its KV-cache backup. */
  backupEngineId: string | undefined;
  /** When its pace on this engine is measured from; `undefined` until its first event there. */
  paceStart?: PaceStart | undefined;
}
