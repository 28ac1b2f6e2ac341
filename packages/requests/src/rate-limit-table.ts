import * as z from 'zod';

/**
 * Bounds of a rate limit, in calls per second. An upstream whose limit were zero would get no call whose answer could
 * end the limit.
 */
const MIN_CALLS_PER_S = 0.2;
const MAX_CALLS_PER_S = 10_000;

/** Time after the last answer about it at which a limit is forgotten, in milliseconds. */
const MAX_AGE_MS = 60_000;

/** Maximum number of processes with a limit that are kept; the ones heard of longest ago are dropped. */
const MAX_ENTRIES = 1_000;

/** What is known about the rate limit of one upstream process, as hosts exchange it. */
export const rateLimitFacts = z.object({
  /** Identifies the process; a limit ends with it. */
  processId: z.string(),
  /** Calls per second from all hosts together; `undefined` once the limit has ended. */
  callsPerS: z.number().optional(),
  /** Time since the answer that stated this, in milliseconds. */
  ageMs: z.number(),
});

/** What is known about the rate limit of one upstream process. */
export type RateLimitFacts = z.infer<typeof rateLimitFacts>;

interface Entry {
  readonly callsPerS: number | undefined;
  readonly statedAt: number;
}

/** How a statement changed what is known about a limit. */
export type LimitChange = 'began' | 'changed' | 'ended' | 'none';

/** The rate limits of upstream processes: the newest statement about each of them holds. */
export class RateLimitTable {
  private readonly entries = new Map<string, Entry>();

  /** Records a statement, unless a newer one is known. */
  public record(
    processId: string,
    callsPerS: number | undefined,
    statedAt: number,
    now: number,
  ): LimitChange {
    const previous = this.findEntry(processId, now);
    if (previous === undefined && callsPerS === undefined) {
      return 'none';
    }
    if (previous !== undefined && previous.statedAt > statedAt) {
      return 'none';
    }
    const bounded = callsPerS === undefined ? undefined : boundRate(callsPerS);
    this.entries.delete(processId);
    this.entries.set(processId, { callsPerS: bounded, statedAt });
    this.dropOldest();
    return describeChange(previous?.callsPerS, bounded);
  }

  /** Records facts from another host; returns how they changed what is known here. */
  public merge({ ageMs, callsPerS, processId }: RateLimitFacts, now: number): LimitChange {
    return ageMs > MAX_AGE_MS ? 'none' : this.record(processId, callsPerS, now - ageMs, now);
  }

  /** Returns the limit of a process in calls per second; `undefined` if it has none. */
  public find(processId: string, now: number): number | undefined {
    return this.findEntry(processId, now)?.callsPerS;
  }

  /** Returns what is known about a process. */
  public findFacts(processId: string, now: number): RateLimitFacts | undefined {
    const entry = this.findEntry(processId, now);
    return entry && { processId, callsPerS: entry.callsPerS, ageMs: now - entry.statedAt };
  }

  /** Lists what is known about all processes, ended limits included. */
  public list(now: number): RateLimitFacts[] {
    return [...this.entries.keys()]
      .map((processId) => this.findFacts(processId, now))
      .filter((facts) => facts !== undefined);
  }

  /** Counts the limits that hold. */
  public count(now: number): number {
    return this.list(now).filter(({ callsPerS }) => callsPerS !== undefined).length;
  }

  private findEntry(processId: string, now: number): Entry | undefined {
    const entry = this.entries.get(processId);
    if (entry !== undefined && now - entry.statedAt > MAX_AGE_MS) {
      this.entries.delete(processId);
      return undefined;
    }
    return entry;
  }

  private dropOldest(): void {
    if (this.entries.size > MAX_ENTRIES) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest!);
    }
  }
}

function boundRate(callsPerS: number): number {
  return Math.min(MAX_CALLS_PER_S, Math.max(MIN_CALLS_PER_S, callsPerS));
}

function describeChange(previous: number | undefined, next: number | undefined): LimitChange {
  if (previous === next) {
    return 'none';
  }
  if (previous === undefined) {
    return 'began';
  }
  return next === undefined ? 'ended' : 'changed';
}
