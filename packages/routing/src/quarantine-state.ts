import * as z from 'zod';

import * as suspects from './suspect.js';

/** How many quarantined calls are kept; the one that changed longest ago goes first. */
const MOST_CALLS = 500;

/** What is put into the replicated log of quarantined calls. */
export const quarantineEntry = z.object({
  quarantine: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('held'), facts: suspects.suspectFacts }),
    z.object({ kind: z.literal('cleared'), digest: z.string() }),
  ]),
});

/** What is put into the replicated log of quarantined calls. */
export type QuarantineEntry = z.infer<typeof quarantineEntry>;

/** Whether an entry of the log is one of quarantined calls. */
export function isQuarantineEntry(data: unknown): data is QuarantineEntry {
  return quarantineEntry.safeParse(data).success;
}

/**
 * The quarantined calls in the replicated log. What hosts know in memory is gone when all of them lose power, and each bad
 * call would get its three upstreams again; this outlives it.
 */
export class QuarantineState {
  private readonly held = new Map<string, suspects.SuspectFacts>();

  /** Applies one entry; the same on every voter. */
  public apply({ quarantine }: QuarantineEntry): void {
    if (quarantine.kind === 'cleared') {
      this.held.delete(quarantine.digest);
      return;
    }
    const { facts } = quarantine;
    this.held.delete(facts.digest);
    this.held.set(facts.digest, facts);
    if (this.held.size > MOST_CALLS) {
      const [oldest] = this.held.keys();
      this.held.delete(oldest!);
    }
  }

  /** What is held against a call. */
  public find(digest: string): suspects.SuspectFacts | undefined {
    return this.held.get(digest);
  }

  /** All that are held. */
  public list(): suspects.SuspectFacts[] {
    return [...this.held.values()];
  }

  /** Takes a snapshot in place of what is held. */
  public restore(all: readonly suspects.SuspectFacts[]): void {
    this.held.clear();
    all.forEach((facts) => this.held.set(facts.digest, facts));
  }
}
