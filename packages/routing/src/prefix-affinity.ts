/** Maximum number of prefixes recorded for a pool. */
const MAX_PREFIXES = 10_000;

/** How long an upstream is expected to keep an unused prefix, in milliseconds. */
const PREFIX_TTL_MS = 120_000;

/**
 * Tracks which upstreams probably hold a prompt's prefix in their cache. This is only a hint:
 * events arrive late and with gaps. After a gap all entries of the upstream are dropped; a wrong
 * hint costs one prefill.
 */
export class PrefixAffinity {
  private readonly holders = new Map<string, Map<string, number>>();

  /** Records that an upstream holds a prefix as of `now`. */
  public add(prefix: string, upstreamId: string, now: number): void {
    if (prefix === '') {
      return;
    }
    const holders = this.holders.get(prefix) ?? new Map<string, number>();
    this.holders.delete(prefix);
    this.holders.set(prefix, holders.set(upstreamId, now));
    if (this.holders.size > MAX_PREFIXES) {
      this.holders.delete(this.holders.keys().next().value as string);
    }
  }

  /** Records that an upstream dropped a prefix. */
  public remove(prefix: string, upstreamId: string): void {
    this.holders.get(prefix)?.delete(upstreamId);
  }

  /** Drops all entries of an upstream, after a gap in its events or its end. */
  public forget(upstreamId: string): void {
    this.holders.forEach((holders) => holders.delete(upstreamId));
  }

  /** Whether an upstream probably holds a prefix. */
  public isHolder(prefix: string, upstreamId: string, now: number): boolean {
    const since = this.holders.get(prefix)?.get(upstreamId);
    return since !== undefined && now - since < PREFIX_TTL_MS;
  }
}
