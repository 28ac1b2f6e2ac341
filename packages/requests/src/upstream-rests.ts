import type * as schemas from '@bramleyridge/schemas';

import type * as upstreamNotices from './upstream-notice.js';

/** Longest rest that is kept, in milliseconds; after that the upstream is tried again. */
const MAX_REST_MS = 300_000;

/** The rests for which upstream processes have asked this host. */
export class UpstreamRests {
  private readonly endsAt = new Map<string, number>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
  ) {}

  /** Records the rest for which an answer asks; of several, the latest end holds. */
  public recordAnswer(processId: string, rest: upstreamNotices.RequestedRest): void {
    if (rest.kind === 'unreadable') {
      this.log.warn({ event: 'rest-unreadable', upstream: processId, text: rest.text });
    }
    if (rest.kind !== 'named' || rest.restMs === 0) {
      return;
    }
    this.dropEnded();
    const restMs = Math.min(MAX_REST_MS, rest.restMs);
    const endsAt = this.clock.now() + restMs;
    const known = this.endsAt.get(processId);
    this.endsAt.set(processId, Math.max(known ?? -Infinity, endsAt));
    if (known === undefined) {
      this.log.info({ event: 'upstream-rest', upstream: processId, change: 'began', restMs });
    }
  }

  /** Returns the time until which a process wants no calls. */
  public getEnd(processId: string): number {
    return this.endsAt.get(processId) ?? -Infinity;
  }

  /** Counts the processes that want no calls now. */
  public count(): number {
    this.dropEnded();
    return this.endsAt.size;
  }

  private dropEnded(): void {
    const now = this.clock.now();
    this.endsAt.forEach((at, processId) => {
      if (at <= now) {
        this.endsAt.delete(processId);
        this.log.info({ event: 'upstream-rest', upstream: processId, change: 'ended' });
      }
    });
  }
}
