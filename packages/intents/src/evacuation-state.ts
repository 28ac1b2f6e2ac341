import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** An operator's order on one availability zone, as it stands in the replicated log. */
export const evacuationEntry = z.object({
  evacuation: z.object({
    availabilityZone: z.string().min(1),
    /** Whether the zone is to get no new work, or takes work again. */
    isEvacuated: z.boolean(),
    /** The revision on which the order was given. */
    expectedRevision: z.int().min(0),
  }),
});

/** Which zones are evacuated, and how many orders have changed that. */
export const evacuatedZones = z.object({
  revision: z.int().min(0),
  zones: z.array(z.string()).readonly(),
});

/** An order on one availability zone in the replicated log. */
export type EvacuationEntry = z.infer<typeof evacuationEntry>;
/** Which zones are evacuated. */
export type EvacuatedZones = z.infer<typeof evacuatedZones>;

/** What became of an order; a stale one was given on a revision that is no longer in force. */
export type EvacuationResult = 'changed' | 'unchanged' | 'stale';

/** Whether an entry of the log is an order on an availability zone. */
export function isEvacuationEntry(data: unknown): data is EvacuationEntry {
  return evacuationEntry.safeParse(data).success;
}

/**
 * The availability zones that operators have evacuated. Orders carry no number of their own, so each is bound to the
 * revision that its sender has read: one that was held up on the way cannot undo what was ordered after it.
 */
export class EvacuationState {
  public readonly changed = new schemas.ChangeSignal();
  private revision = 0;
  private zones: ReadonlySet<string> = new Set();

  /** Applies one order; the same on every voter. */
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

  /** What is in force. */
  public get(): EvacuatedZones {
    return { revision: this.revision, zones: [...this.zones] };
  }

  /** Whether a zone is to get no new work. */
  public has(availabilityZone: string): boolean {
    return this.zones.has(availabilityZone);
  }

  /** Takes facts that are newer, from a snapshot or from another host; gives whether they were. */
  public restore(facts: EvacuatedZones): boolean {
    if (facts.revision <= this.revision) {
      return false;
    }
    this.revision = facts.revision;
    this.zones = new Set(facts.zones);
    this.changed.notify();
    return true;
  }
}
