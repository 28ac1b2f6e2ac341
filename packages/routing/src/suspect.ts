import * as z from 'zod';

/** What is held against a call whose run had only begun when its process ended. */
const EARLY_WEIGHT = 1;

/**
 * The same of a run that had been going on for a while. A bad call ends its process when it begins to run; a long run was
 * most likely there by chance, and should go on elsewhere.
 */
const LATE_WEIGHT = 0.5;

/** From which weight on a call is a suspect. */
const SUSPECT_WEIGHT = 1;

/** From which weight on a call is quarantined when some process ended under it and no other suspect. */
const ALONE_WEIGHT = 2;

/** From which weight on it is quarantined in any case. */
const COMPANY_WEIGHT = 3;

/** How many ends of one call are kept; more don't change how it stands. */
const MOST_ENDS = 8;

/** A process of an upstream that ended under a call. */
export const processEnd = z.object({
  /** Tells the process from others, also from one under the same name before or after it. */
  processId: z.string(),
  /** Whether the run had only begun. */
  isEarly: z.boolean(),
  /** Whether no other suspect ran there. */
  wasAlone: z.boolean(),
});

/** What is held against a call. */
export const suspectFacts = z.object({
  digest: z.string(),
  ends: z.array(processEnd).readonly(),
  /** How often it was sent after it was quarantined. */
  chances: z.int(),
  /** Names the question that the last of these sends was allowed to; asked again it has the same answer. */
  permitId: z.string().optional(),
});

/** A process of an upstream that ended under a call. */
export type ProcessEnd = z.infer<typeof processEnd>;
/** What is held against a call. */
export type SuspectFacts = z.infer<typeof suspectFacts>;

/** How it stands with a call: sent like any other, watched only, kept apart from other suspects, or not sent. */
export type Standing = 'free' | 'watched' | 'suspect' | 'quarantined';

/** The weight of what is held against a call. */
export function getWeight({ ends }: SuspectFacts): number {
  return ends.reduce((sum, { isEarly }) => sum + (isEarly ? EARLY_WEIGHT : LATE_WEIGHT), 0);
}

/** How it stands with a call. */
export function getStanding(facts: SuspectFacts): Standing {
  const weight = getWeight(facts);
  const wasAlone = facts.ends.some((end) => end.wasAlone);
  if (weight >= COMPANY_WEIGHT || (wasAlone && weight >= ALONE_WEIGHT)) {
    return 'quarantined';
  }
  return weight >= SUSPECT_WEIGHT ? 'suspect' : 'watched';
}

/** Adds ends; one that is known already counts once, with what is worse of it. */
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
  return { ...facts, ends: [...all.values()].slice(0, MOST_ENDS) };
}

/** What two hosts know of one call. */
export function mergeFacts(one: SuspectFacts, other: SuspectFacts): SuspectFacts {
  const [later, earlier] = other.chances > one.chances ? [other, one] : [one, other];
  const { chances } = later;
  const permitId = later.permitId ?? (earlier.chances === chances ? earlier.permitId : undefined);
  return { ...addEnds(one, other.ends), chances, permitId };
}

/** Whether both say the same. */
export function areSame(one: SuspectFacts, other: SuspectFacts): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}
