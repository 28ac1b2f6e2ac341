import * as hdr from 'hdr-histogram-js';

/** Gap between tokens beyond which a stream counts as stalled. */
const STALL_MS = 100;

/** Histograms store integers, in units of a tenth of a millisecond. */
const UNITS_PER_MS = 10;

/** Measurements of one replay; times in milliseconds. */
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

/** One request in progress in a replay. */
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

/** Records the events of requests that arrive after the warm-up. */
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

  /** Records one token of a request. */
  public recordToken(request: RequestInFlight, now: number): void {
    const gap = now - request.lastAt;
    request.lastAt = now;
    request.tokens += 1;
    if (now >= this.from && now < this.to) {
      this.served.set(request.team, (this.served.get(request.team) ?? 0) + 1);
    }
    if (!request.isMeasured) {
      return;
    }
    if (request.tokens === 1) {
      this.first.recordValue(Math.round(gap * UNITS_PER_MS));
      return;
    }
    this.gaps.recordValue(Math.round(gap * UNITS_PER_MS));
    request.stallMs += Math.max(0, gap - STALL_MS);
  }

  /** Records the completion of a request. */
  public recordEnd(request: RequestInFlight, now: number): void {
    if (!request.isMeasured) {
      return;
    }
    this.completed += 1;
    const durations = request.isShort ? this.short : this.long;
    durations.recordValue(Math.round((now - request.arrivedAt) * UNITS_PER_MS));
    this.stalls.recordValue(Math.round(request.stallMs * UNITS_PER_MS));
    this.stallSum += request.stallMs;
  }

  /** Records a preemption of a request. */
  public recordPreemption(request: RequestInFlight): void {
    this.preemptions += request.isMeasured ? 1 : 0;
  }

  /** Records a refusal of a request. */
  public recordRefusal(request: RequestInFlight): void {
    this.refused += request.isMeasured ? 1 : 0;
  }

  /** Records a request that was lost with its engine after it had delivered tokens. */
  public recordBreak(request: RequestInFlight): void {
    this.broken += request.isMeasured ? 1 : 0;
  }

  /** Summarizes all measurements; `getFairShares` returns the tokens that each team should have received of a total. */
  public summarize(
    getFairShares: (total: number) => ReadonlyMap<string, number>,
  ): ReplayMeasurements {
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
      fairness: getJainIndex(this.served, getFairShares(total)),
      broken: this.broken,
    };
  }
}

/** Returns Jain's fairness index of the tokens that teams received, relative to their fair shares. */
export function getJainIndex(
  served: ReadonlyMap<string, number>,
  fair: ReadonlyMap<string, number>,
): number {
  const ratios = [...fair].map(([team, share]) => (served.get(team) ?? 0) / Math.max(share, 1));
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return (sum * sum) / (ratios.length * Math.max(squares, 1e-9));
}

/** Divides a total among teams by weighted max-min fairness: no team receives more than its demand. */
export function shareMaxMin(
  total: number,
  demands: readonly { readonly name: string; readonly weight: number; readonly demand: number }[],
): Map<string, number> {
  const shares = new Map<string, number>();
  let unsatisfied = [...demands];
  let remaining = total;
  while (unsatisfied.length > 0) {
    const weights = unsatisfied.reduce((sum, team) => sum + team.weight, 0);
    const perWeight = remaining / weights;
    const satisfied = unsatisfied.filter((team) => team.demand <= team.weight * perWeight);
    if (satisfied.length === 0) {
      unsatisfied.forEach((team) => shares.set(team.name, team.weight * perWeight));
      break;
    }
    satisfied.forEach((team) => shares.set(team.name, team.demand));
    remaining -= satisfied.reduce((sum, team) => sum + team.demand, 0);
    unsatisfied = unsatisfied.filter((team) => !satisfied.includes(team));
  }
  return shares;
}
