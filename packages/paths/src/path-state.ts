import type * as schemas from '@bramleyridge/schemas';

/**
 * Number of upstreams that this host can't reach while others can, from which on it takes itself to be cut off from all
 * that it has not reached since. One alone may be cut off itself.
 */
const MIN_BLOCKED = 2;

/** How this host connects to an upstream: by itself, or through another host. */
export type UpstreamPath = 'direct' | 'relayed';

/**
 * What this host knows about its own paths to upstreams. A path is blocked once another host has reached an upstream
 * that this host could not: an upstream that has failed looks the same from here, and is reached by nobody.
 */
export class PathState {
  /** Times at which paths were found blocked, by address. */
  private readonly blockedSince = new Map<string, number>();
  private reachedAt = -Infinity;
  private silentSince: number | undefined;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
    /** Called when a path is found blocked. */
    private readonly onBlocked: () => void = () => {},
  ) {}

  /** Returns how to connect to an upstream now. */
  public choose(address: string): UpstreamPath {
    return this.blockedSince.has(address) || this.isCutOff() ? 'relayed' : 'direct';
  }

  /** Returns whether this host takes itself to be cut off from upstreams. */
  public isCutOff(): boolean {
    if (this.blockedSince.size === 0) {
      return false;
    }
    if (this.silentSince !== undefined && this.reachedAt <= this.silentSince) {
      return true;
    }
    const unreachedSince = [...this.blockedSince.values()].filter((at) => at >= this.reachedAt);
    return unreachedSince.length >= MIN_BLOCKED;
  }

  /** Lists the addresses of upstreams whose paths are blocked. */
  public listBlocked(): string[] {
    return [...this.blockedSince.keys()];
  }

  /** Records that bytes of an upstream had arrived on a connection of this host at a time, now by default. */
  public recordReached(at = this.clock.now()): void {
    this.reachedAt = Math.max(this.reachedAt, at);
  }

  /** Records that another host has reached an upstream that this host could not reach. */
  public recordBlocked(address: string, reason: string): void {
    if (!this.blockedSince.has(address)) {
      this.log.warn({ event: 'path-blocked', peer: address, reason });
    }
    this.blockedSince.set(address, this.clock.now());
    this.onBlocked();
  }

  /**
   * Records that an upstream was silent to this host and not to another one, while nothing arrived here from any
   * upstream since `since`.
   */
  public recordSilence(address: string, since: number): void {
    this.silentSince = since;
    this.recordBlocked(address, 'silent');
  }

  /** Records that a new connection of this host has reached an upstream. */
  public recordOpen(address: string): void {
    this.recordReached();
    this.silentSince = undefined;
    if (this.blockedSince.delete(address)) {
      this.log.info({ event: 'path-open', peer: address });
    }
  }

  /** Forgets a path, of an upstream that is gone. */
  public forget(address: string): void {
    this.blockedSince.delete(address);
  }
}
