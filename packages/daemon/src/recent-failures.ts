import type * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

/** The upstreams of services that lately turned calls away or could not be reached. */
export class RecentFailures {
  private readonly refusedAt = new Map<string, number>();
  private readonly unreachableAt = new Map<string, number>();

  public constructor(
    private readonly clock: schemas.Clock,
    /** Time for which a failure counts, in milliseconds. */
    private readonly ttlMs: number,
  ) {}

  /** Records an attempt that did not run. */
  public record(upstreamId: string, kind: requests.FailureKind): void {
    const failures = kind === 'unreachable' ? this.unreachableAt : this.refusedAt;
    if (kind !== 'withheld') {
      failures.set(upstreamId, this.clock.now());
    }
  }

  /**
   * Returns the upstreams that may get a call. One that could not be reached is only left out while there are others: this
   * daemon's path may have been lost, or its process have stood still, and a new connection may take another path.
   */
  public select(upstreams: readonly schemas.Upstream[]): readonly schemas.Upstream[] {
    const open = upstreams.filter((item) => !this.isRecent(this.refusedAt, item));
    const reached = open.filter((item) => !this.isRecent(this.unreachableAt, item));
    return reached.length > 0 ? reached : open;
  }

  private isRecent(
    failures: ReadonlyMap<string, number>,
    { upstreamId }: schemas.Upstream,
  ): boolean {
    return this.clock.now() - (failures.get(upstreamId) ?? -Infinity) <= this.ttlMs;
  }
}
