import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** An operator's order for one availability zone, as stored in the replicated log. */
export const evacuationEntry = z.object({
  evacuation: z.object({
    availabilityZone: z.string().min(1),
    /** Whether the zone gets no new work (true) or takes work again (false). */
    isEvacuated: z.boolean(),
    /** The revision that the operator had read when giving the order. */
    expectedRevision: z.int().min(0),
  }),
});

/** The evacuated zones; `revision` counts the orders that have changed them. */
export const evacuatedZones = z.object({
  revision: z.int().min(0),
  zones: z.array(z.string()).readonly(),
});

/** An order for one availability zone in the replicated log. */
export type EvacuationEntry = z.infer<typeof evacuationEntry>;
/** The evacuated zones. */
export type EvacuatedZones = z.infer<typeof evacuatedZones>;

/** The result of an order; `stale` if it was given for a revision that is no longer current. */
export type EvacuationResult = 'changed' | 'unchanged' | 'stale';

/** Whether the data of a log entry is an order for an availability zone. */
export function isEvacuationEntry(data: unknown): data is EvacuationEntry {
  return evacuationEntry.safeParse(data).success;
}

/**
 * The availability zones that operators have evacuated. Orders have no sequence number, so each carries the revision
 * that its sender has read (optimistic concurrency): a delayed order can't undo a later one.
 */
export class EvacuationState {
  public readonly changed = new schemas.ChangeSignal();
  private revision = 0;
  private zones: ReadonlySet<string> = new Set();

  /** Applies one order; deterministic on every voter. */
  public apply({ evacuation }: EvacuationEntry): EvacuationResult {
    const { availabilityZone, expectedRevision, isEvacuated } = evacuation;
    if (this.zones.has(availabilityZone) === isEvacuated) {
      return 'unchanged';
    }
    if (expectedRevision !== this.revision) {
      return 'stale';
    }
    const others = [...this.zones].filter((zone) => zone !== availabilityZone);
    this.zones = new Set(isEvacuated ? [...others, availabilityZone] : others);
    this.revision += 1;
    this.changed.notify();
    return 'changed';
  }

  /** The zones that are evacuated now. */
  public get(): EvacuatedZones {
    return { revision: this.revision, zones: [...this.zones] };
  }

  /** Whether a zone is evacuated, so gets no new work. */
  public has(availabilityZone: string): boolean {
    return this.zones.has(availabilityZone);
  }

  /** Restores newer zones, from a snapshot or another host; returns whether they were newer. */
  public restore(state: EvacuatedZones): boolean {
    if (state.revision <= this.revision) {
      return false;
    }
    this.revision = state.revision;
    this.zones = new Set(state.zones);
    this.changed.notify();
    return true;
  }
}
