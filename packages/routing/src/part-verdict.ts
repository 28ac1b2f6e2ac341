import type * as suspects from './suspect.js';

/**
 * Number of process ends from which a part of prompts is barred, unless another barred part explains them. Two engines
 * of one failed zone may have read the same part by chance.
 */
export const MIN_PART_ENDS = 3;

/** A part that may be the cause of process ends. */
interface Candidate {
  readonly facts: suspects.SuspectFacts;
  readonly ends: readonly suspects.ProcessEnd[];
}

/**
 * Returns the part that explains the most process ends which no barred part explains; among equals, the one that the
 * fewest lost calls had, since barring it refuses the fewest calls. Parts of answers that were written are not among
 * `all`. Undefined if the ends don't suffice, or if one call explains them as well.
 */
export function findBadPart(
  all: readonly suspects.SuspectFacts[],
): suspects.SuspectFacts | undefined {
  const barred = all.filter(({ isBarred }) => isBarred === true);
  const explained = new Set(barred.flatMap(({ ends }) => ends.map(({ processId }) => processId)));
  const candidates = all
    .filter(({ isBarred }) => isBarred !== true)
    .map((facts) => ({
      facts,
      ends: facts.ends.filter(({ processId }) => !explained.has(processId)),
    }))
    .filter(({ ends }) => isSufficient(ends));
  return candidates.sort(compare)[0]?.facts;
}

/** Whether process ends suffice to suspect that a part of prompts, and no single call, has caused them. */
export function isSufficient(ends: readonly suspects.ProcessEnd[]): boolean {
  return ends.length >= MIN_PART_ENDS && !haveCommonCall(ends);
}

function compare(one: Candidate, other: Candidate): number {
  return (
    other.ends.length - one.ends.length ||
    countCalls(one) - countCalls(other) ||
    (one.facts.digest < other.facts.digest ? -1 : 1)
  );
}

function countCalls({ ends }: Candidate): number {
  return new Set(ends.flatMap(({ calls }) => calls ?? [])).size;
}

/** Whether one call was lost at every end; then the call itself is the more likely cause. */
function haveCommonCall(ends: readonly suspects.ProcessEnd[]): boolean {
  const [first, ...others] = ends.map(({ calls }) => new Set(calls ?? []));
  return [...(first ?? [])].some((call) => others.every((calls) => calls.has(call)));
}
