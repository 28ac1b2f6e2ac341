import type * as placementSpecs from './placement-spec.js';

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
}
