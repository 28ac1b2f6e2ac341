import type * as schemas from '@bramleyridge/schemas';

import type * as traces from './trace.js';

/** State of an engine as views by one daemon that routes on its own. */
export interface EngineView {
  readonly upstreamId: string;
  /** Number of this daemon's own requests in progress on the engine. */
  outstanding: number;
  report: schemas.LoadReport | undefined;
  /** Prompt tokens that this daemon has sent to the engine since its last report. */
  sentSince: number;
}

/** A policy by which a daemon chooses an engine immediately, as common load balancers do. */
export interface Baseline {
  choose(views: readonly EngineView[], random: traces.Random): EngineView;
}

/**
 * Returns the estimated share of memory in use, in which a waiting request counts as 1,000 tokens. Without a report it
 * is the number of outstanding requests.
 */
function getLoadEstimate(item: EngineView): number {
  if (item.report === undefined) {
    return item.outstanding;
  }
  const waitingTokens = item.report.waiting * 1_000;
  return (item.report.tokensUsed + waitingTokens + item.sentSince) / item.report.tokensTotal;
}

function findMinimum(
  views: readonly EngineView[],
  getLoad: (item: EngineView) => number,
): EngineView {
  return views.reduce((best, item) => (getLoad(item) < getLoad(best) ? item : best));
}

/** Chooses every engine in turn. */
export class RoundRobin implements Baseline {
  private next = 0;

  public choose(views: readonly EngineView[]): EngineView {
    this.next += 1;
    return views[this.next % views.length]!;
  }
}

/** Chooses the engine with the fewest outstanding requests of this daemon; ties are broken from a random start. */
export class LeastOutstanding implements Baseline {
  public choose(views: readonly EngineView[], random: traces.Random): EngineView {
    const start = random.between(0, views.length - 1);
    const rotated = [...views.slice(start), ...views.slice(0, start)];
    return findMinimum(rotated, (item) => item.outstanding);
  }
}

/** Chooses the engine with the smallest load estimate from its last report. */
export class LeastReportedMemory implements Baseline {
  public choose(views: readonly EngineView[]): EngineView {
    return findMinimum(views, getLoadEstimate);
  }
}

/** Chooses the less loaded of two random engines, by their last report and the prompt tokens sent since. */
export class PowerOfTwo implements Baseline {
  public choose(views: readonly EngineView[], random: traces.Random): EngineView {
    const first = views[random.between(0, views.length - 1)]!;
    const second = views[random.between(0, views.length - 1)]!;
    return getLoadEstimate(second) < getLoadEstimate(first) ? second : first;
  }
}

/** Factories of the baselines by name; each replay creates its own instance. */
export const BASELINES: Readonly<Record<string, () => Baseline>> = {
  'round-robin': () => new RoundRobin(),
  'least-outstanding': () => new LeastOutstanding(),
  'least-memory': () => new LeastReportedMemory(),
  'two-choices': () => new PowerOfTwo(),
};
