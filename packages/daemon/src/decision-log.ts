import type * as schemas from '@bramleyridge/schemas';

/** How many decisions are kept for `explain`. */
const MAX_KEPT = 5_000;

/** One decision with its reason and figures; never prompt or answer text. */
export interface Decision {
  readonly decision: string;
  readonly request: string;
  readonly team: string;
  readonly reason: string;
  readonly availabilityZone?: string;
  readonly upstream?: string;
  readonly [figure: string]: string | number | boolean | undefined;
}

/** Writes a log line for each decision and keeps the last ones for operators who ask. */
export class DecisionLog {
  private kept: (Decision & { readonly at: string })[] = [];

  public constructor(private readonly log: schemas.Log) {}

  /** Notes a decision. */
  public note(decision: Decision): void {
    this.log.info(decision);
    this.kept.push({ ...decision, at: new Date().toISOString() });
    if (this.kept.length > 2 * MAX_KEPT) {
      this.kept = this.kept.slice(-MAX_KEPT);
    }
  }

  /** The decisions on one request, oldest first. */
  public explain(request: string): (Decision & { readonly at: string })[] {
    return this.kept.filter(
      (item) => item.request === request || request.startsWith(`${item.request}.`),
    );
  }
}
