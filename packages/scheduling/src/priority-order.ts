import * as decayingCounts from './decaying-count.js';

/**
 * Share of the service rate of all calls below which a priority goes first. A third is required;
 * the margin covers the delay of the decaying counts and shortages too short for whole calls.
 */
const MIN_SERVED_RATIO = 0.4;

interface PriorityCounts {
  readonly served: decayingCounts.DecayingCount;
  readonly unserved: decayingCounts.DecayingCount;
}

interface Tally {
  served: number;
  settled: number;
}

/**
 * Chooses the priority that is served next: the highest one, unless another was served less than
 * its part as often as all calls. A request counts as unserved when it is refused or leaves, and
 * while it waits although it can no longer be on time.
 */
export class PriorityOrder {
  private readonly counts = new Map<number, PriorityCounts>();

  /** Counts a request that was served. */
  public recordServed(priority: number, now: number): void {
    this.getCounts(priority).served.add(1, now);
  }

  /** Counts a request that was refused or left. */
  public recordUnserved(priority: number, now: number): void {
    this.getCounts(priority).unserved.add(1, now);
  }

  /** Starts a round of choices; `lateCounts` are the waiting requests that cannot be on time. */
  public startRound(lateCounts: ReadonlyMap<number, number>, now: number): PriorityRound {
    const tallies = new Map<number, Tally>();
    new Set([...this.counts.keys(), ...lateCounts.keys()]).forEach((priority) => {
      const counts = this.counts.get(priority);
      const served = counts?.served.get(now) ?? 0;
      const unserved = (counts?.unserved.get(now) ?? 0) + (lateCounts.get(priority) ?? 0);
      tallies.set(priority, { served, settled: served + unserved });
    });
    return new PriorityRound(tallies);
  }

  private getCounts(priority: number): PriorityCounts {
    const known = this.counts.get(priority);
    if (known !== undefined) {
      return known;
    }
    const created = {
      served: new decayingCounts.DecayingCount(),
      unserved: new decayingCounts.DecayingCount(),
    };
    this.counts.set(priority, created);
    return created;
  }
}

/** Choices made one after the other, each as if the requests chosen before were served. */
export class PriorityRound {
  private readonly total: Tally = { served: 0, settled: 0 };

  public constructor(private readonly tallies: Map<number, Tally>) {
    tallies.forEach(({ served, settled }) => {
      this.total.served += served;
      this.total.settled += settled;
    });
  }

  /** Returns which of some groups in the order of priority is served next. */
  public choose<G extends { readonly priority: number }>(groups: readonly G[]): G | undefined {
    return groups.find(({ priority }) => this.countOwed(priority) > 0) ?? groups[0];
  }

  /** Returns how many requests a priority lacks to be served often enough. */
  public countOwed(priority: number): number {
    const tally = this.tallies.get(priority);
    if (tally === undefined || this.total.settled === 0) {
      return 0;
    }
    return Math.max(0, this.getMinRate() * tally.settled - tally.served);
  }

  /** Returns the part of the requests of a priority that is served at least. */
  public getMinRate(): number {
    const { served, settled } = this.total;
    return settled === 0 ? 0 : (MIN_SERVED_RATIO * served) / settled;
  }

  /** Counts a request as served; one that was late is already counted as settled. */
  public recordServed(priority: number, wasLate: boolean): void {
    const tally = this.tallies.get(priority) ?? { served: 0, settled: 0 };
    this.tallies.set(priority, tally);
    [tally, this.total].forEach((item) => {
      item.served += 1;
      item.settled += Number(!wasLate);
    });
  }
}
