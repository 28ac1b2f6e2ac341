/** Maximum number of cleared parts that are remembered, and of process ends of each. */
const MAX_PARTS = 500;
const MAX_ENDS = 32;

/**
 * The process ends at which parts of prompts were before an answer cleared them. Hosts report the same end one after the
 * other, and a host that lacks the answer still has the verdict; neither makes a cleared part a suspect again.
 */
export class ClearedEnds {
  private readonly processIds = new Map<string, ReadonlySet<string>>();

  /** Records the processes that had ended before a part was cleared. */
  public add(partId: string, processIds: readonly string[]): void {
    const known = [...(this.processIds.get(partId) ?? []), ...processIds];
    this.processIds.delete(partId);
    this.processIds.set(partId, new Set(known.slice(-MAX_ENDS)));
    if (this.processIds.size > MAX_PARTS) {
      const [oldest] = this.processIds.keys();
      this.processIds.delete(oldest!);
    }
  }

  /** Whether a part was cleared after the end of each of these processes. */
  public hasAll(partId: string, processIds: readonly string[]): boolean {
    const known = this.processIds.get(partId);
    return known !== undefined && processIds.every((id) => known.has(id));
  }
}
