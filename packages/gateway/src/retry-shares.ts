import * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

/**
 * Share of the allowed retries per request that this host uses. It counts requests as they arrive, while the
 * deployment's limit applies to windows that may start at other times.
 */
const RATIO_SAFETY_SHARE = 0.7;

/** Share of the retries beyond the ratio that is divided among the hosts. */
const DIVIDED_SHARE = 0.35;

/** Share of the retries beyond the ratio that the leader grants to hosts that need more. */
export const GRANTED_SHARE = 0.4;

/**
 * Share that a leader grants in its first window, when it has no record of its predecessor's grants. With two new
 * leaders in one window the shares add up to 0.99.
 */
export const FIRST_WINDOW_GRANTED_SHARE = 0.12;

/** Share of a host's part that may be used as one burst; the rest is refilled over a window. */
const BURST_SHARE = 0.8;

/** The limits from which the shares are computed. */
export interface RetryBounds {
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Number of entry hosts; undefined until a leader has sent it. */
  readonly entryHosts: number | undefined;
}

/**
 * This host's share of the retries that all hosts together may make, as one budget per service. Each host applies the
 * ratio to its own requests and gets an equal part of the retries beyond it. Most of that part is available as a burst,
 * since the loss of an engine breaks several generations at once; the rest is refilled over a window. The sum stays
 * within the limit even while hosts cannot reach each other.
 */
export class RetryShares {
  private readonly budgets = new Map<string, requests.RetryBudget>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly getBounds: () => RetryBounds,
    private readonly requestGrant: (service: string) => Promise<boolean>,
    private readonly metrics: telemetry.MetricSink,
  ) {}

  /** Returns the source of retries for a service: this host's share, and grants of the leader when that is used up. */
  public find(service: string): requests.GrantingRetrySource {
    const own = this.findOwn(service);
    return {
      recordRequest: () => own.recordRequest(),
      take: () => this.take(own, service),
      takeGranted: () => this.takeGranted(own, service),
    };
  }

  /**
   * Takes a planned retry from the leader's grants first, so that this host's own share is left for when the leader is
   * unreachable.
   */
  private async takeGranted(own: requests.RetryBudget, service: string): Promise<boolean> {
    const isGranted = await this.requestGrant(service);
    const isOwn = !isGranted && own.take();
    const ownOrDenied = isOwn ? 'own' : 'denied';
    this.metrics.count('retries', { service, source: isGranted ? 'lent' : ownOrDenied });
    return isOwn || isGranted;
  }

  private async take(own: requests.RetryBudget, service: string): Promise<boolean> {
    const isOwn = own.take();
    const isGranted = !isOwn && (await this.requestGrant(service));
    const grantedOrDenied = isGranted ? 'lent' : 'denied';
    this.metrics.count('retries', { service, source: isOwn ? 'own' : grantedOrDenied });
    return isOwn || isGranted;
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
    // A host that has just started has no count of the entry hosts. With a guessed count, hundreds of hosts together
    // would use many times the limit.
    const ownSlack = entryHosts === undefined ? 0 : (retrySlack * DIVIDED_SHARE) / entryHosts;
    return {
      perRequest: retryRatio * RATIO_SAFETY_SHARE,
      maxSaved: Math.max(1, ownSlack * BURST_SHARE),
      perSecond: (ownSlack * (1 - BURST_SHARE)) / (retryWindowMs / 1_000),
    };
  }
}
