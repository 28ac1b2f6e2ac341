/**
 * Values by key in the order of their insertion, bounded by count and by size; the newest one is always kept. The size
 * is that of the JSON text, which is the same on every voter.
 */
export class SizedHistory<V> {
  private readonly items = new Map<string, { readonly value: V; readonly length: number }>();
  private length = 0;

  public constructor(
    private readonly limits: { readonly count: number; readonly length: number },
    /** Returns the part of a value that never changes and makes up its size. */
    private readonly getContent: (value: V) => unknown,
  ) {}

  /** Adds a value, or replaces that of its key, and evicts the oldest ones beyond the limits. */
  public set(key: string, value: V): void {
    this.remove(key);
    const { length } = JSON.stringify(this.getContent(value));
    this.items.set(key, { value, length });
    this.length += length;
    while (this.isOverLimits()) {
      this.remove(this.items.keys().next().value as string);
    }
  }

  /** Returns the value of a key. */
  public find(key: string): V | undefined {
    return this.items.get(key)?.value;
  }

  /** Lists the values, oldest first. */
  public list(): V[] {
    return [...this.items.values()].map(({ value }) => value);
  }

  /** Lists the keys with their values, oldest first. */
  public listEntries(): [string, V][] {
    return [...this.items].map(([key, { value }]) => [key, value]);
  }

  /** Replaces all values. */
  public restore(entries: readonly (readonly [string, V])[]): void {
    this.items.clear();
    this.length = 0;
    entries.forEach(([key, value]) => this.set(key, value));
  }

  private isOverLimits(): boolean {
    const { count, length } = this.limits;
    return this.items.size > 1 && (this.items.size > count || this.length > length);
  }

  private remove(key: string): void {
    this.length -= this.items.get(key)?.length ?? 0;
    this.items.delete(key);
  }
}
