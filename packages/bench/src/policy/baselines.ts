import type * as schemas from '@bramleyridge/schemas';

import type * as traces from './trace.js';

/** What a daemon that routes by itself knows of an engine. */
export interface EngineView {
  readonly upstreamId: string;
  /** What this daemon itself has there now. */
  outstanding: number;
  report: schemas.LoadReport | undefined;
  /** Prompt tokens sent there since the last report. */
  sentSince: number;
}

/** A way for every daemon to choose an engine at once, as common load balancers do. */
export interface Baseline {
  choose(seen: readonly EngineView[], random: traces.Random): EngineView;
}

function getLoadEstimate(item: EngineView): number {
  if (item.report === undefined) {
    return item.outstanding;
  }
  const waiting = item.report.waiting * 1_000;
  return (item.report.tokensUsed + waiting + item.sentSince) / item.report.tokensTotal;
}

function findMinimum(
  seen: readonly EngineView[],
  getLoad: (item: EngineView) => number,
): EngineView {
  return seen.reduce((best, item) => (getLoad(item) < getLoad(best) ? item : best));
}

/** Every engine in turn. */
export class RoundRobin implements Baseline {
  private next = 0;

  public choose(seen: readonly EngineView[]): EngineView {
    this.next += 1;
    return seen[this.next % seen.length]!;
  }
}

/** The engine on which this daemon has the least outstanding. */
export class LeastOutstanding implements Baseline {
  public choose(seen: readonly EngineView[], random: traces.Random): EngineView {
    const start = random.between(0, seen.length - 1);
    const turned = [...seen.slice(start), ...seen.slice(0, start)];
    return findMinimum(turned, (item) => item.outstanding);
  }
}

/** The engine that last reported the least memory in use. */
export class LeastReportedMemory implements Baseline {
  public choose(seen: readonly EngineView[]): EngineView {
    return findMinimum(seen, getLoadEstimate);
  }
}

/** The better of two at random, by report and what was sent since. */
export class PowerOfTwo implements Baseline {
  public choose(seen: readonly EngineView[], random: traces.Random): EngineView {
    const first = seen[random.between(0, seen.length - 1)]!;
    const second = seen[random.between(0, seen.length - 1)]!;
    return getLoadEstimate(second) < getLoadEstimate(first) ? second : first;
  }
}

/** The baselines by name; each replay makes its own. */
export const BASELINES: Readonly<Record<string, () => Baseline>> = {
  'round-robin': () => new RoundRobin(),
  'least-outstanding': () => new LeastOutstanding(),
  'least-memory': () => new LeastReportedMemory(),
  'two-choices': () => new PowerOfTwo(),
};
