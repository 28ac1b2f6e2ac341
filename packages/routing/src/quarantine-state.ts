import * as z from 'zod';

import * as suspects from './suspect.js';

/** Maximum number of quarantined calls kept; the least recently changed one is dropped first. */
const MAX_CALLS = 500;

/** An entry of the replicated log about a quarantined call. */
export const quarantineEntry = z.object({
  quarantine: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('held'), facts: suspects.suspectFacts }),
    z.object({ kind: z.literal('cleared'), digest: z.string() }),
  ]),
});

/** An entry of the replicated log about a quarantined call. */
export type QuarantineEntry = z.infer<typeof quarantineEntry>;

/** Whether an entry of the replicated log is about a quarantined call. */
export function isQuarantineEntry(data: unknown): data is QuarantineEntry {
  return quarantineEntry.safeParse(data).success;
}

/**
 * The quarantined calls in the replicated log. The ledgers in memory are lost when all hosts lose
 * power, and each faulty call could then end three upstreams again; this state is kept.
 */
export class QuarantineState {
  private readonly factsByDigest = new Map<string, suspects.SuspectFacts>();

  /** Applies one entry; gives the same result on every voter. */
  public apply({ quarantine }: QuarantineEntry): void {
    if (quarantine.kind === 'cleared') {
      this.factsByDigest.delete(quarantine.digest);
      return;
    }
    const { facts } = quarantine;
    this.factsByDigest.delete(facts.digest);
    this.factsByDigest.set(facts.digest, facts);
    if (this.factsByDigest.size > MAX_CALLS) {
      const [oldest] = this.factsByDigest.keys();
      this.factsByDigest.delete(oldest!);
    }
  }

  /** Returns the facts of a quarantined call. */
  public find(digest: string): suspects.SuspectFacts | undefined {
    return this.factsByDigest.get(digest);
  }

  /** Returns the facts of all quarantined calls. */
  public list(): suspects.SuspectFacts[] {
    return [...this.factsByDigest.values()];
  }

  /** Replaces the state by a snapshot. */
  public restore(all: readonly suspects.SuspectFacts[]): void {
    this.factsByDigest.clear();
    all.forEach((facts) => this.factsByDigest.set(facts.digest, facts));
  }
}
