import type * as placeNeeds from './placement-spec.js';

/** A generation that was placed. */
export interface PlacedRun {
  readonly spec: placeNeeds.PlacementSpec;
  readonly startedAt: number;
  readonly expiresAt: number;
  readonly engineId: string;
  /** The availability zone of its engine, which may no longer be listed when it leaves. */
  readonly zone: string | undefined;
  /** The engine that keeps a copy of its memory. */
  backupEngineId: string | undefined;
}
