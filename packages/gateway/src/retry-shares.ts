import * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

/**
 * The part of the deployment's retries that this host counts on. Requests are counted here as they come, and by
 * the deployment in windows that need not begin when ours do.
 */
const SAFE_PART = 0.7;

/** How much of a host's part is saved up; the rest comes back over a window. */
const SAVED_PART = 0.8;

/** What the shares follow from. */
export interface RetryBounds {
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly entryHosts: number;
}

/**
 * This host's share of the retries that all hosts together may make, one budget for each service. The ratio holds
 * on each host by itself; of what is allowed beyond it each takes an equal part, most of it saved up, since
 * an engine that is lost breaks several generations off at once, and the rest coming back over a window. So the sum stays within the whole also while no host can ask another.
 */
export class RetryShares {
  private readonly budgets = new Map<string, requests.RetryBudget>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly getBounds: () => RetryBounds,
  ) {}

  /** The budget for a service. */
  public find(service: string): requests.RetryBudget {
    const allowance = this.createAllowance();
    const known = this.budgets.get(service);
    if (known !== undefined) {
      known.setAllowance(allowance);
      return known;
    }
    const budget = new requests.RetryBudget(this.clock, allowance);
    this.budgets.set(service, budget);
    return budget;
  }

  private createAllowance(): requests.RetryAllowance {
    const { entryHosts, retryRatio, retrySlack, retryWindowMs } = this.getBounds();
    const ownSlack = (retrySlack * SAFE_PART) / entryHosts;
    return {
      perRequest: retryRatio * SAFE_PART,
      maxSaved: Math.max(1, ownSlack * SAVED_PART),
      perSecond: (ownSlack * (1 - SAVED_PART)) / (retryWindowMs / 1_000),
    };
  }
}
