import type * as placeNeeds from './place-need.js';

/** A generation that was placed. */
export interface PlacedRun {
  readonly need: placeNeeds.PlaceNeed;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly engineId: string;
  /** The availability zone of its engine, which may no longer be listed when it leaves. */
  readonly zone: string | undefined;
  /** The engine that keeps a copy of its memory. */
  copyAt: string | undefined;
}
