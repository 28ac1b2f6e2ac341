import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

/** Maximum number of upstreams that are remembered; the oldest is dropped first. */
const MAX_LOADS = 1_000;

/** What this daemon knows of upstreams from its own calls. */
export class ServiceLoads {
  private readonly loads = new Map<string, routing.UpstreamLoad>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly random: () => number,
  ) {}

  /** Returns the number of calls of this daemon at an upstream. */
  public count(upstreamId: string): number {
    return this.loads.get(upstreamId)?.calls ?? 0;
  }

  /** Returns whether a call may be sent to an upstream now, as far as it depends on calls that got no answer. */
  public mayReceive(upstreamId: string): boolean {
    return this.loads.get(upstreamId)?.trial.mayReceive(this.clock.now()) !== false;
  }

  /**
   * Chooses the one of two random upstreams that has fewer calls of this daemon; `undefined` without any. One that answers
   * none gets one call at a time, unless no other is left.
   */
  public choose(candidates: readonly schemas.Upstream[]): schemas.Upstream | undefined {
    const proven = candidates.filter(({ upstreamId }) => this.mayReceive(upstreamId));
    const usable = proven.length > 0 ? proven : candidates;
    const first = usable[Math.floor(this.random() * usable.length)];
    const second = usable[Math.floor(this.random() * usable.length)];
    if (first === undefined || second === undefined) {
      return undefined;
    }
    return this.count(second.upstreamId) < this.count(first.upstreamId) ? second : first;
  }

  /**
   * Counts a call until the returned function is called with whether an answer began; `undefined` if its end shows nothing
   * about the upstream.
   */
  public track(upstreamId: string): (hasAnswered: boolean | undefined) => void {
    const load = this.loads.get(upstreamId) ?? new routing.UpstreamLoad();
    this.loads.set(upstreamId, load);
    if (this.loads.size > MAX_LOADS) {
      this.loads.delete([...this.loads.keys()][0]!);
    }
    const leave = load.trackCall(0);
    load.trial.recordSend(leave, this.clock.now());
    return (hasAnswered) => {
      leave();
      load.trial.recordEnd(leave, hasAnswered, this.clock.now());
      if (load.calls === 0 && hasAnswered === true) {
        this.loads.delete(upstreamId);
      }
    };
  }
}
