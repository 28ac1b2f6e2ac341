import type * as schemas from '@bramleyridge/schemas';

import * as rateLimitTables from './rate-limit-table.js';
import type * as upstreamNotices from './upstream-notice.js';

/** An upstream process to which calls are sent. */
export interface GatedUpstream {
  readonly upstreamId: string;
  /** Identifies the process; by default, its upstream id. */
  readonly processId?: string;
}

/** Dependencies of the gate. */
export interface UpstreamGateOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** What upstreams state about themselves in their answers. */
export class UpstreamGate {
  private readonly limits = new rateLimitTables.RateLimitTable();

  public constructor(private readonly options: UpstreamGateOptions) {}

  /** Records what an upstream states in an answer. */
  public recordAnswer(
    { processId, upstreamId }: GatedUpstream,
    { limit }: upstreamNotices.UpstreamNotice,
  ): void {
    const { clock, log } = this.options;
    const now = clock.now();
    if (limit.kind === 'unreadable') {
      log.warn({ event: 'limit-unreadable', upstream: upstreamId, text: limit.text });
      return;
    }
    const callsPerS = limit.kind === 'named' ? limit.callsPerS : undefined;
    const change = this.limits.record(processId ?? upstreamId, callsPerS, now, now);
    if (change !== 'none') {
      log.info({
        event: 'upstream-limit',
        upstream: upstreamId,
        change,
        callsPerS,
        source: 'answer',
      });
    }
  }

  /** Counts the upstreams that limit their rate. */
  public countLimits(): number {
    return this.limits.count(this.options.clock.now());
  }
}
