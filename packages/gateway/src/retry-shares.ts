import * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

/**
 * The part of the retries per request that this host counts on. Requests are counted here as they come, and by the
 * deployment in windows that need not begin when ours do.
 */
const SAFE_PART = 0.7;

/** The part of the retries beyond the ratio that the hosts share out among themselves. */
const SHARED_PART = 0.35;

/** The part that the leader lends to those that need more. */
export const GRANTED_SHARE = 0.4;

/**
 * The part that a leader lends in its first window, when it does not know what the one before it lent. With two new
 * leaders in one window the parts add up to 0.99.
 */
export const FIRST_WINDOW_GRANTED_SHARE = 0.12;

/** How much of a host's part is saved up; the rest comes back over a window. */
const SAVED_PART = 0.8;

/** What the shares follow from. */
export interface RetryBounds {
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** How many hosts share; nothing before a leader has told. */
  readonly entryHosts: number | undefined;
}

/**
 * This host's share of the retries that all hosts together may make, one budget for each service. The ratio holds
 * on each host by itself; of what is allowed beyond it each takes an equal part, most of it saved up, since
 * an engine that is lost breaks several generations off at once, and the rest coming back over a window. So the sum
 * stays within the whole also while no host can ask another.
 */
export class RetryShares {
  private readonly budgets = new Map<string, requests.RetryBudget>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly getBounds: () => RetryBounds,
    private readonly borrow: (service: string) => Promise<boolean>,
    private readonly metrics: telemetry.MetricSink,
  ) {}

  /** Where retries at a service come from: this host's share, and when that is used up the leader's pot. */
  public find(service: string): requests.GrantingRetrySource {
    const own = this.findOwn(service);
    return {
      noteRequest: () => own.noteRequest(),
      take: () => this.take(own, service),
      takeGranted: () => this.takeLent(own, service),
    };
  }

  /** What can be planned is paid from the leader's pot, so that this host's own share is left for when it is cut off. */
  private async takeLent(own: requests.RetryBudget, service: string): Promise<boolean> {
    const isLent = await this.borrow(service);
    const isOwn = !isLent && own.take();
    const kept = isOwn ? 'own' : 'denied';
    this.metrics.count('retries', { service, source: isLent ? 'lent' : kept });
    return isOwn || isLent;
  }

  private async take(own: requests.RetryBudget, service: string): Promise<boolean> {
    const isOwn = own.take();
    const isLent = !isOwn && (await this.borrow(service));
    const lent = isLent ? 'lent' : 'denied';
    this.metrics.count('retries', { service, source: isOwn ? 'own' : lent });
    return isOwn || isLent;
  }

  private findOwn(service: string): requests.RetryBudget {
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
    // A host that has just started can't know how large the fleet is. With a guess, hundreds of them would take many times
    // what there is.
    const ownSlack = entryHosts === undefined ? 0 : (retrySlack * SHARED_PART) / entryHosts;
    return {
      perRequest: retryRatio * SAFE_PART,
      maxSaved: Math.max(1, ownSlack * SAVED_PART),
      perSecond: (ownSlack * (1 - SAVED_PART)) / (retryWindowMs / 1_000),
    };
  }
}
