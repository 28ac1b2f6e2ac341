import type * as liveGenerations from './live-generation.js';
import * as forecasts from './memory-forecast.js';
import type * as affinities from './prefix-affinity.js';
import * as slowUpstreams from './slow-upstreams.js';
import type * as types from './types.js';
import type * as upstreamLedgers from './upstream-ledger.js';

/**
 * How much higher the forecast of an upstream may be for it still to be preferred for a prefix that
 * it holds, as a share of memory.
 */
const PREFIX_SLACK = 0.15;

/** Penalty of a slow upstream, as a share of memory. */
const SLOW_PENALTY = 0.5;

/** A selected upstream and the reason. */
export interface UpstreamSelection {
  readonly upstream: upstreamLedgers.UpstreamLedger;
  readonly reason: types.GrantReason;
  readonly pressure: number;
}

/** Selects an upstream for a generation; `undefined` if it should wait. */
export interface UpstreamSelector {
  select(
    candidates: readonly upstreamLedgers.UpstreamLedger[],
    joining: liveGenerations.LiveGeneration,
    prefix: string,
    now: number,
  ): UpstreamSelection | undefined;
}

/**
 * Selects the upstream whose memory is least likely to overflow, and none if all are too likely to.
 */
export class OverflowAwareSelector implements UpstreamSelector {
  public constructor(
    private readonly quantile: number,
    private readonly affinity: affinities.PrefixAffinity,
  ) {}

  public select(
    candidates: readonly upstreamLedgers.UpstreamLedger[],
    joining: liveGenerations.LiveGeneration,
    prefix: string,
    now: number,
  ): UpstreamSelection | undefined {
    const idle = candidates.find((upstream) => upstream.generations.size === 0);
    const slow = slowUpstreams.findSlowUpstreams(candidates);
    const expected = new forecasts.ExpectedMemory(joining);
    const isInteractive = joining.facts.workClass === 'interactive';
    const scored = candidates
      .map((upstream) => {
        // Batch work leaves free the memory that interactive work used recently.
        const reserve = isInteractive ? 0 : upstream.getInteractiveReserve();
        return { upstream, pressure: upstream.getPressure(this.quantile, expected) + reserve };
      })
      .filter((item) => item.pressure <= 1)
      .map((item) => ({
        ...item,
        score: item.pressure + (slow.has(item.upstream.upstreamId) ? SLOW_PENALTY : 0),
      }))
      .sort((a, b) => a.score - b.score);
    const [best] = scored;
    if (best === undefined) {
      // A generation too large for the bound still runs, alone on an idle upstream, instead of
      // waiting forever.
      return idle === undefined ? undefined : { upstream: idle, reason: 'idle', pressure: 1 };
    }
    const holder = scored.find(
      (item) =>
        item.score <= best.score + PREFIX_SLACK &&
        this.affinity.isHolder(prefix, item.upstream.upstreamId, now),
    );
    return holder === undefined
      ? { upstream: best.upstream, reason: 'room', pressure: best.pressure }
      : { upstream: holder.upstream, reason: 'prefix', pressure: holder.pressure };
  }
}
