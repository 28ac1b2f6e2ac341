import * as routing from '@bramleyridge/routing';
import * as scheduling from '@bramleyridge/scheduling';

/**
 * Minimum time after the first end of a generation from which the rate at which memory frees is known, in milliseconds;
 * generations of a pool that has just filled end together.
 */
const MIN_OBSERVED_MS = 2_500;

/** Share of the time that its caller has left after which a refused call is of no use to it. */
const MAX_RETURN_SHARE = 1 / 3;

/** A generation that the pool refuses. */
export interface RefusedGeneration {
  readonly spec: routing.PlacementSpec;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Time that its caller has left, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Computes when refused generations may return to a pool of engines, from the memory that waiting generations need and
 * the rate at which memory frees.
 */
export class GenerationReturnTimes {
  private readonly schedule: scheduling.ReturnSchedule;
  private waitingTokens = 0;
  /** Memory that ended generations have freed, in tokens. */
  private readonly freed = new scheduling.DecayingCount();
  private startedAt: number | undefined;

  public constructor(random: () => number) {
    this.schedule = new scheduling.ReturnSchedule(random);
  }

  /** Adds a generation that waits for placement. */
  public addWaiting(spec: routing.PlacementSpec): void {
    this.waitingTokens += getCost(spec);
  }

  /** Removes a generation that no longer waits. */
  public removeWaiting(spec: routing.PlacementSpec): void {
    this.waitingTokens -= getCost(spec);
  }

  /** Records memory that a generation has freed, in tokens. */
  public recordFreed(tokens: number, now: number): void {
    this.startedAt ??= now;
    this.freed.add(tokens, now);
  }

  /** Returns the time after which a refused generation may return, in milliseconds, and reserves it. */
  public reserve({ leftMs, priority, spec }: RefusedGeneration, now: number): number {
    const req = {
      priority,
      cost: getCost(spec),
      backlog: this.waitingTokens,
      freeRatePerMs: this.getFreeRatePerMs(now),
      maxMs: Math.max(0, leftMs) * MAX_RETURN_SHARE,
    };
    return this.schedule.reserve(req, now);
  }

  /** Returns the rate at which memory frees, in tokens per millisecond; 0 if it is not known yet. */
  private getFreeRatePerMs(now: number): number {
    const observedMs = now - (this.startedAt ?? now);
    return observedMs < MIN_OBSERVED_MS ? 0 : this.freed.getRatePerMs(now);
  }
}

/** Returns the memory that a generation is expected to need at its end, which is what it then frees, in tokens. */
function getCost(spec: routing.PlacementSpec): number {
  return routing.forecastTokens(spec, 0, routing.getRemainingMs(spec, 0));
}
