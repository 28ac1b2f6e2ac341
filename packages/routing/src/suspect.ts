import * as schemas from '@bramleyridge/schemas';
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

/**
 * Maximum number of process ends kept per part of prompts. A part that several bad parts are used with was at the ends
 * of all of them.
 */
const MAX_PART_ENDS = 16;

/** Maximum number of calls kept per end of a part; enough to tell that different calls have only the part in common. */
const MAX_CALLS_PER_END = 8;

/** Weight of a barred part beside its ends, so that new suspects do not displace it. */
const BARRED_WEIGHT = 100;

/** What the ids of parts of prompts start with; the ids of calls are hex digests. */
const PART_PREFIX = 'part:';

/** Maximum length of the text that identifies a part before it is hashed, in characters. */
const MAX_PART_CHARS = 96;

/** The end of an upstream process during a call. */
export const processEnd = z.object({
  /** Identifies the process, also among earlier and later ones under the same upstream name. */
  processId: z.string(),
  /** Whether the run had only just started. */
  isEarly: z.boolean(),
  /** Whether no other suspect ran on the process. */
  wasAlone: z.boolean(),
  /** Digests of the calls with a part of prompts that were lost there; absent for the ends of calls. */
  calls: z.array(z.string()).readonly().optional(),
});

/** The facts recorded about a call, or a part of prompts, during whose runs upstream processes ended. */
export const suspectFacts = z.object({
  /** Digest of the call, or id of the part. */
  digest: z.string(),
  /** Whether calls with the part are not sent; absent for calls, whose ends decide alone. */
  isBarred: z.boolean().optional(),
  ends: z.array(processEnd).readonly(),
  /** How many times the call was sent after it was quarantined. */
  chances: z.int(),
  /**
   * Id of the permit request that allowed the last of these sends; a repeated request gets the same
   * answer.
   */
  permitId: z.string().optional(),
});

/** Outcome of a run of a suspect, or of a call or part that becomes one by this outcome. */
export const suspectRun = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ended'), digest: z.string(), end: processEnd }),
  z.object({ kind: z.literal('served'), digest: z.string() }),
  z.object({ kind: z.literal('over'), digest: z.string(), processId: z.string() }),
]);

/** Outcome of a run of a suspect, or of a call or part that becomes one by this outcome. */
export type SuspectRun = z.infer<typeof suspectRun>;

/** The end of an upstream process during a call. */
export type ProcessEnd = z.infer<typeof processEnd>;
/** The facts recorded about a call, or a part of prompts, during whose runs upstream processes ended. */
export type SuspectFacts = z.infer<typeof suspectFacts>;

/**
 * The standing of a call: sent like any other (`free` and `watched`), kept apart from other
 * suspects, or not sent.
 */
export type Standing = 'free' | 'watched' | 'suspect' | 'quarantined';

/**
 * Returns the id under which a part of prompts is recorded. A part may end the engines of one service or model only, so
 * both belong to the id.
 */
export function createPartId(service: string, model: string, part: string): string {
  const text = JSON.stringify([service, model, part]);
  return `${PART_PREFIX}${text.length > MAX_PART_CHARS ? schemas.getContentHash(text) : text}`;
}

/** Whether an id is that of a part of prompts. */
export function isPartId(id: string): boolean {
  return id.startsWith(PART_PREFIX);
}

/** Returns the total weight of the process ends of a call or part. */
export function getWeight({ ends, isBarred }: SuspectFacts): number {
  const weight = ends.reduce((sum, { isEarly }) => sum + (isEarly ? EARLY_WEIGHT : LATE_WEIGHT), 0);
  return weight + (isBarred === true ? BARRED_WEIGHT : 0);
}

/** Returns the standing of a call or part. */
export function getStanding(facts: SuspectFacts): Standing {
  if (isPartId(facts.digest)) {
    return facts.isBarred === true ? 'quarantined' : 'suspect';
  }
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
      ...mergeCalls(known?.calls, end.calls),
    });
  });
  const maxEnds = isPartId(facts.digest) ? MAX_PART_ENDS : MAX_ENDS;
  return { ...facts, ends: [...all.values()].slice(0, maxEnds) };
}

/** Merges what two hosts have recorded about one call. */
export function mergeFacts(one: SuspectFacts, other: SuspectFacts): SuspectFacts {
  const [later, earlier] = other.chances > one.chances ? [other, one] : [one, other];
  const { chances } = later;
  const permitId = later.permitId ?? (earlier.chances === chances ? earlier.permitId : undefined);
  const isBarred = one.isBarred === true || other.isBarred === true;
  return { ...addEnds(one, other.ends), ...(isBarred ? { isBarred } : {}), chances, permitId };
}

/** Whether both hold the same facts. */
export function areSame(one: SuspectFacts, other: SuspectFacts): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

/** Merges the calls of one end; sorted, so that all hosts keep the same ones. */
function mergeCalls(
  one: readonly string[] | undefined,
  other: readonly string[] | undefined,
): Pick<ProcessEnd, 'calls'> {
  if (one === undefined && other === undefined) {
    return {};
  }
  const all = new Set([...(one ?? []), ...(other ?? [])]);
  return { calls: [...all].sort().slice(0, MAX_CALLS_PER_END) };
}
