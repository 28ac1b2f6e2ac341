import * as hdr from 'hdr-histogram-js';

/** Beyond which gap between tokens a stream counts as stalled, in milliseconds. */
const STALL_MS = 100;

/** Histograms hold tenths of a millisecond. */
const UNITS_PER_MS = 10;

/** What one replay measured; times in milliseconds. */
export interface ReplayMeasurements {
  readonly completed: number;
  readonly preemptionsPer1000: number;
  readonly stallMeanMs: number;
  readonly stallP99Ms: number;
  readonly gapP50Ms: number;
  readonly gapP95Ms: number;
  readonly gapP99Ms: number;
  readonly gapP999Ms: number;
  readonly firstP50Ms: number;
  readonly firstP95Ms: number;
  readonly firstP99Ms: number;
  readonly shortP50Ms: number;
  readonly shortP99Ms: number;
  readonly longP50Ms: number;
  readonly longMeanMs: number;
  readonly longP99Ms: number;
  readonly refused: number;
  readonly goodputPerS: number;
  readonly fairness: number;
  readonly broken: number;
}

/** One request under way in a replay. */
export interface RequestInFlight {
  readonly team: string;
  readonly isShort: boolean;
  readonly arrivedAt: number;
  readonly isMeasured: boolean;
  lastAt: number;
  tokens: number;
  stallMs: number;
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e9,
    numberOfSignificantValueDigits: 3,
  });
}

/** Collects what happens to requests after the warm-up. */
export class Recorder {
  private readonly gaps = createHistogram();
  private readonly first = createHistogram();
  private readonly short = createHistogram();
  private readonly long = createHistogram();
  private readonly stalls = createHistogram();
  private readonly served = new Map<string, number>();
  private stallSum = 0;
  private completed = 0;
  private refused = 0;
  private broken = 0;
  private preemptions = 0;

  public constructor(
    private readonly from: number,
    private readonly to: number,
  ) {}

  /** One token of a request. */
  public recordToken(flight: RequestInFlight, now: number): void {
    const gap = now - flight.lastAt;
    flight.lastAt = now;
    flight.tokens += 1;
    if (now >= this.from && now < this.to) {
      this.served.set(flight.team, (this.served.get(flight.team) ?? 0) + 1);
    }
    if (!flight.isMeasured) {
      return;
    }
    if (flight.tokens === 1) {
      this.first.recordValue(Math.round(gap * UNITS_PER_MS));
      return;
    }
    this.gaps.recordValue(Math.round(gap * UNITS_PER_MS));
    flight.stallMs += Math.max(0, gap - STALL_MS);
  }

  /** The end of a request. */
  public recordEnd(flight: RequestInFlight, now: number): void {
    if (!flight.isMeasured) {
      return;
    }
    this.completed += 1;
    const whole = flight.isShort ? this.short : this.long;
    whole.recordValue(Math.round((now - flight.arrivedAt) * UNITS_PER_MS));
    this.stalls.recordValue(Math.round(flight.stallMs * UNITS_PER_MS));
    this.stallSum += flight.stallMs;
  }

  /** A preemption of a request. */
  public recordPreemption(flight: RequestInFlight): void {
    this.preemptions += flight.isMeasured ? 1 : 0;
  }

  /** A refusal. */
  public recordRefusal(flight: RequestInFlight): void {
    this.refused += flight.isMeasured ? 1 : 0;
  }

  /** A request that was lost with its engine after it had delivered something. */
  public recordBreak(flight: RequestInFlight): void {
    this.broken += flight.isMeasured ? 1 : 0;
  }

  /** Everything, with fairness against what each team should have got. */
  public summarize(getFair: (total: number) => ReadonlyMap<string, number>): ReplayMeasurements {
    const at = (histogram: hdr.Histogram, percentile: number) =>
      histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    const total = [...this.served.values()].reduce((sum, tokens) => sum + tokens, 0);
    return {
      completed: this.completed,
      preemptionsPer1000: (1_000 * this.preemptions) / Math.max(1, this.completed),
      stallMeanMs: this.stallSum / Math.max(1, this.completed),
      stallP99Ms: at(this.stalls, 99),
      gapP50Ms: at(this.gaps, 50),
      gapP95Ms: at(this.gaps, 95),
      gapP99Ms: at(this.gaps, 99),
      gapP999Ms: at(this.gaps, 99.9),
      firstP50Ms: at(this.first, 50),
      firstP95Ms: at(this.first, 95),
      firstP99Ms: at(this.first, 99),
      shortP50Ms: at(this.short, 50),
      shortP99Ms: at(this.short, 99),
      longP50Ms: at(this.long, 50),
      longMeanMs: this.long.mean / UNITS_PER_MS,
      longP99Ms: at(this.long, 99),
      refused: this.refused,
      goodputPerS: (1_000 * total) / (this.to - this.from),
      fairness: getJainIndex(this.served, getFair(total)),
      broken: this.broken,
    };
  }
}

/** Jain's index of what teams got relative to what they should have got. */
export function getJainIndex(
  served: ReadonlyMap<string, number>,
  fair: ReadonlyMap<string, number>,
): number {
  const ratios = [...fair].map(([team, share]) => (served.get(team) ?? 0) / Math.max(share, 1));
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return (sum * sum) / (ratios.length * Math.max(squares, 1e-9));
}

/** Shares a total among teams by weight, nobody more than asked for. */
export function shareMaxMin(
  total: number,
  demands: readonly { readonly name: string; readonly weight: number; readonly demand: number }[],
): Map<string, number> {
  const shares = new Map<string, number>();
  let open = [...demands];
  let left = total;
  while (open.length > 0) {
    const weights = open.reduce((sum, team) => sum + team.weight, 0);
    const perWeight = left / weights;
    const sated = open.filter((team) => team.demand <= team.weight * perWeight);
    if (sated.length === 0) {
      open.forEach((team) => shares.set(team.name, team.weight * perWeight));
      break;
    }
    sated.forEach((team) => shares.set(team.name, team.demand));
    left -= sated.reduce((sum, team) => sum + team.demand, 0);
    open = open.filter((team) => !sated.includes(team));
  }
  return shares;
}
