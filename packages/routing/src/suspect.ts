import * as z from 'zod';

/** Weight of a process end shortly after the start of the run. */
const EARLY_WEIGHT = 1;

/**
 * Weight of a process end during a run that had been going on for a while. A faulty call ends its
 * process when it starts to run; a long run was most likely there by chance and should continue
 * elsewhere.
 */
const LATE_WEIGHT = 0.5;

/** Weight from which a call is a suspect. */
const SUSPECT_WEIGHT = 1;

/**
 * Weight from which a call is quarantined if no other suspect ran during at least one of the ends.
 */
const ALONE_QUARANTINE_WEIGHT = 2;

/** Weight from which a call is quarantined in any case. */
const QUARANTINE_WEIGHT = 3;

/** Maximum number of process ends kept per call; further ends do not change its standing. */
const MAX_ENDS = 8;

/** The end of an upstream process during a call. */
export const processEnd = z.object({
  /** Identifies the process, also among earlier and later ones under the same upstream name. */
  processId: z.string(),
  /** Whether the run had only just started. */
  isEarly: z.boolean(),
  /** Whether no other suspect ran on the process. */
  wasAlone: z.boolean(),
});

/** The facts recorded about a call during which upstream processes ended. */
export const suspectFacts = z.object({
  digest: z.string(),
  ends: z.array(processEnd).readonly(),
  /** How many times the call was sent after it was quarantined. */
  chances: z.int(),
  /**
   * Id of the permit request that allowed the last of these sends; a repeated request gets the same
   * answer.
   */
  permitId: z.string().optional(),
});

/** The end of an upstream process during a call. */
export type ProcessEnd = z.infer<typeof processEnd>;
/** The facts recorded about a call during which upstream processes ended. */
export type SuspectFacts = z.infer<typeof suspectFacts>;

/**
 * The standing of a call: sent like any other (`free` and `watched`), kept apart from other
 * suspects, or not sent.
 */
export type Standing = 'free' | 'watched' | 'suspect' | 'quarantined';

/** Returns the total weight of the process ends of a call. */
export function getWeight({ ends }: SuspectFacts): number {
  return ends.reduce((sum, { isEarly }) => sum + (isEarly ? EARLY_WEIGHT : LATE_WEIGHT), 0);
}

/** Returns the standing of a call. */
export function getStanding(facts: SuspectFacts): Standing {
  const weight = getWeight(facts);
  const wasAlone = facts.ends.some((end) => end.wasAlone);
  if (weight >= QUARANTINE_WEIGHT || (wasAlone && weight >= ALONE_QUARANTINE_WEIGHT)) {
    return 'quarantined';
  }
  return weight >= SUSPECT_WEIGHT ? 'suspect' : 'watched';
}

/**
 * Adds process ends. An end that is already recorded counts once and keeps the more severe of both
 * values.
 */
export function addEnds(facts: SuspectFacts, ends: readonly ProcessEnd[]): SuspectFacts {
  const all = new Map(facts.ends.map((end) => [end.processId, end]));
  ends.forEach((end) => {
    const known = all.get(end.processId);
    all.set(end.processId, {
      ...end,
      isEarly: end.isEarly || (known?.isEarly ?? false),
      wasAlone: end.wasAlone || (known?.wasAlone ?? false),
    });
  });
  return { ...facts, ends: [...all.values()].slice(0, MAX_ENDS) };
}

/** Merges what two hosts have recorded about one call. */
export function mergeFacts(one: SuspectFacts, other: SuspectFacts): SuspectFacts {
  const [later, earlier] = other.chances > one.chances ? [other, one] : [one, other];
  const { chances } = later;
  const permitId = later.permitId ?? (earlier.chances === chances ? earlier.permitId : undefined);
  return { ...addEnds(one, other.ends), chances, permitId };
}

/** Whether both hold the same facts. */
export function areSame(one: SuspectFacts, other: SuspectFacts): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}
