import type * as liveGenerations from './live-generation.js';
import * as forecasts from './memory-forecast.js';
import type * as affinities from './prefix-affinity.js';
import * as slowUpstreams from './slow-upstreams.js';
import type * as types from './types.js';
import type * as rooms from './upstream-ledger.js';

/** How much fuller an upstream may be and still be chosen for the prefix that it holds. */
const PREFIX_SLACK = 0.15;

/** How much fuller a slow upstream counts than it is. */
const SLOW_PENALTY = 0.5;

/** What was chosen, and why. */
export interface UpstreamSelection {
  readonly room: rooms.UpstreamLedger;
  readonly reason: types.GrantReason;
  readonly pressure: number;
}

/** Chooses an upstream for a generation, or nothing when it should wait. */
export interface UpstreamSelector {
  select(
    candidates: readonly rooms.UpstreamLedger[],
    joining: liveGenerations.LiveGeneration,
    prefix: string,
    now: number,
  ): UpstreamSelection | undefined;
}

/** Chooses the upstream whose memory is least likely to overflow, and none when all are too likely to. */
export class OverflowAwareSelector implements UpstreamSelector {
  public constructor(
    private readonly quantile: number,
    private readonly affinity: affinities.PrefixAffinity,
  ) {}

  public select(
    candidates: readonly rooms.UpstreamLedger[],
    joining: liveGenerations.LiveGeneration,
    prefix: string,
    now: number,
  ): UpstreamSelection | undefined {
    const idle = candidates.find((room) => room.generations.size === 0);
    const slow = slowUpstreams.findSlowUpstreams(candidates);
    const expected = new forecasts.ExpectedMemory(joining);
    const isInteractive = joining.facts.workClass === 'interactive';
    const scored = candidates
      .map((room) => {
        // Drafts leave free what interactive work lately used.
        const reserve = isInteractive ? 0 : room.getInteractiveReserve();
        return { room, pressure: room.getPressure(this.quantile, expected) + reserve };
      })
      .filter((item) => item.pressure <= 1)
      .map((item) => ({
        ...item,
        score: item.pressure + (slow.has(item.room.upstreamId) ? SLOW_PENALTY : 0),
      }))
      .sort((a, b) => a.score - b.score);
    const [best] = scored;
    if (best === undefined) {
      // A generation too large for the bound still runs somewhere, alone, rather than waiting for ever.
      return idle === undefined ? undefined : { room: idle, reason: 'idle', pressure: 1 };
    }
    const holder = scored.find(
      (item) =>
        item.score <= best.score + PREFIX_SLACK &&
        this.affinity.isHolder(prefix, item.room.upstreamId, now),
    );
    return holder === undefined
      ? { room: best.room, reason: 'room', pressure: best.pressure }
      : { room: holder.room, reason: 'prefix', pressure: holder.pressure };
  }
}
