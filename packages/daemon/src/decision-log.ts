import type * as schemas from '@bramleyridge/schemas';

/** Number of decisions kept for `explain`; older ones are removed when twice as many are stored. */
const MAX_DECISIONS = 5_000;

/** One decision with its reason and figures; never contains prompt or response text. */
export interface Decision {
  readonly decision: string;
  readonly request: string;
  readonly team: string;
  readonly reason: string;
  readonly availabilityZone?: string;
  readonly upstream?: string;
  readonly [figure: string]: string | number | boolean | undefined;
}

/** Writes a log line for each decision and keeps the most recent ones for operators. */
export class DecisionLog {
  private recent: (Decision & { readonly at: string })[] = [];

  public constructor(private readonly log: schemas.Log) {}

  /** Logs and stores a decision. */
  public record(decision: Decision): void {
    this.log.info(decision);
    this.recent.push({ ...decision, at: new Date().toISOString() });
    if (this.recent.length > 2 * MAX_DECISIONS) {
      this.recent = this.recent.slice(-MAX_DECISIONS);
    }
  }

  /** Returns the decisions on one request, oldest first. */
  public explain(request: string): (Decision & { readonly at: string })[] {
    return this.recent.filter(
      (item) => item.request === request || request.startsWith(`${item.request}.`),
    );
  }
}
