/** Share of the answers that take no longer than forecast; eight in ten served calls are to be on time. */
const QUANTILE = 0.85;

/** Change of the estimate by one answer; it settles within some tens of answers. */
const STEP = 0.05;

/** Range of the estimate. Answers vary by a fifth at least, and a few very slow ones must not stop all calls. */
const MIN_SPREAD = 1.2;
const MAX_SPREAD = 2;

/** How much longer than the typical service time most answers take, as a factor learned from them. */
export class AnswerSpread {
  private spread = MIN_SPREAD;

  /** Records how long an answer took relative to the typical service time. */
  public record(ratio: number): void {
    if (!Number.isFinite(ratio)) {
      return;
    }
    const change = ratio > this.spread ? QUANTILE : QUANTILE - 1;
    this.spread = Math.min(MAX_SPREAD, Math.max(MIN_SPREAD, this.spread + STEP * change));
  }

  /** Returns the factor. */
  public get(): number {
    return this.spread;
  }
}
