/** How long a stated slowdown is valid, in milliseconds: it changes many times a second. */
const STATEMENT_TTL_MS = 400;

/** How long statements are kept, in milliseconds; a long generation runs for about ten seconds. */
const HISTORY_MS = 20_000;

interface Statement {
  readonly slowdown: number;
  readonly at: number;
}

/** The slowdowns that one engine has stated recently; 1 counts where none is valid. */
export class StatedSlowdowns {
  private statements: Statement[] = [];

  /** Records a stated slowdown. */
  public record(slowdown: number, now: number): void {
    const first = this.statements[0];
    // Half of the list is dropped at a time, since dropping one statement per probe copies the list.
    if (first !== undefined && now - first.at > 2 * HISTORY_MS) {
      this.statements = this.statements.filter(({ at }) => now - at <= HISTORY_MS);
    }
    this.statements.push({ slowdown, at: now });
  }

  /** Returns the slowdown that is valid now. */
  public get(now: number): number {
    const last = this.statements.at(-1);
    return last !== undefined && now - last.at <= STATEMENT_TTL_MS ? last.slowdown : 1;
  }

  /** Returns the mean slowdown over a period, weighted by time. */
  public getMean(since: number, now: number): number {
    if (now <= since) {
      return this.get(now);
    }
    let excess = 0;
    for (let i = this.statements.length - 1; i >= 0; i -= 1) {
      const { at, slowdown } = this.statements[i]!;
      const nextAt = this.statements[i + 1]?.at ?? now;
      const until = Math.min(nextAt, at + STATEMENT_TTL_MS, now);
      excess += Math.max(0, until - Math.max(at, since)) * (slowdown - 1);
      if (at < since) {
        break;
      }
    }
    return 1 + excess / (now - since);
  }

  /** Returns the largest slowdown over a period. */
  public getLargest(since: number, now: number): number {
    let largest = this.get(now);
    for (let i = this.statements.length - 1; i >= 0; i -= 1) {
      const { at, slowdown } = this.statements[i]!;
      if (at + STATEMENT_TTL_MS < since) {
        break;
      }
      largest = Math.max(largest, slowdown);
    }
    return largest;
  }
}
