import * as schemas from '@bramleyridge/schemas';

import type * as retryBudgets from './retry-budget.js';
import * as upstreamErrors from './upstream-error.js';

/** To how many upstreams one call is handed at most, counting those that refused it. */
const MAX_SENDS = 4;

/** What a refused caller is told to wait when upstreams failed, in seconds. */
const RETRY_AFTER_S = 1;

/** What may be done again for one call. */
export interface AttemptRules {
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean;
  /** On how many upstreams it may run. */
  readonly maxRuns: number;
  readonly budget: retryBudgets.RetrySource;
  /** Aborted when nobody waits for the answer any more. */
  readonly signal?: AbortSignal;
}

/** How one kind of call is tried. */
export interface AttemptOperations<U extends { readonly upstreamId: string }, A> {
  /** The upstream of the next attempt, or a refusal when there is none. */
  choose(): U | Promise<U>;
  /** One attempt; nothing when it found out, before it sent anything, that it has to choose anew. */
  attempt(upstream: U): Promise<A | undefined>;
  /** Whether an answer is the upstream's own failure, which another upstream may not have. */
  isFailure(answer: A): boolean;
  noteFailure(upstream: U, failure: upstreamErrors.UpstreamError): void;
}

/** The attempts of one call, and what is known of them. */
class CallAttempts<U extends { readonly upstreamId: string }, A> {
  private sends = 0;
  private runs = 0;
  private failed: A | undefined;

  public constructor(
    private readonly rules: AttemptRules,
    private readonly port: AttemptOperations<U, A>,
  ) {}

  /** Tries until there is an answer, or nothing more may be tried. */
  public async run(): Promise<A> {
    for (;;) {
      const upstream = await this.choose();
      if (upstream === undefined) {
        return this.failed as A;
      }
      try {
        const answer = await this.port.attempt(upstream);
        if (answer !== undefined && (await this.settles(answer))) {
          return answer;
        }
      } catch (err) {
        await this.settleFailure(upstream, err);
      }
      this.rules.signal?.throwIfAborted();
    }
  }

  /** The next upstream; nothing when there is none but an upstream's own failure can be passed on. */
  private async choose(): Promise<U | undefined> {
    try {
      return await this.port.choose();
    } catch (err) {
      if (this.failed !== undefined) {
        return undefined;
      }
      // A refusal for want of an upstream says that the call did not run. Here an earlier attempt may have.
      throw this.runs > 0 ? createRefusal('ranUnknown', 'unknown', err) : err;
    }
  }

  private async settles(answer: A): Promise<boolean> {
    this.sends += 1;
    this.runs += 1;
    if (!this.port.isFailure(answer) || !this.mayRunAgain() || !(await this.rules.budget.take())) {
      return true;
    }
    this.failed = answer;
    return false;
  }

  private async settleFailure(upstream: U, err: unknown): Promise<void> {
    if (err instanceof schemas.StepError && !(err instanceof upstreamErrors.UpstreamError)) {
      throw err;
    }
    // An attempt that was ended from this side says nothing of the upstream.
    this.rules.signal?.throwIfAborted();
    const failure = upstreamErrors.createUpstreamError(err, 'attempt', upstream.upstreamId);
    this.port.noteFailure(upstream, failure);
    this.sends += 1;
    this.runs += failure.kind === 'lost' ? 1 : 0;
    const mayGoOn = failure.kind === 'lost' ? this.mayRunAgain() : this.sends < MAX_SENDS;
    // Where nobody listened nothing arrived, so only what reached an upstream draws on the budget.
    const isPaid = failure.kind === 'unreachable' || (mayGoOn && (await this.rules.budget.take()));
    if (mayGoOn && isPaid) {
      return;
    }
    throw this.runs > 0
      ? createRefusal('ranUnknown', 'unknown', failure)
      : createRefusal('upstreamRefused', 'not-run', failure);
  }

  private mayRunAgain(): boolean {
    const { isRepeatable, maxRuns } = this.rules;
    return isRepeatable && this.runs < maxRuns && this.sends < MAX_SENDS;
  }
}

/**
 * Tries one call at one upstream after another. What did not run may be tried elsewhere; what may have run
 * only where it may be repeated, and both inside the retry budget.
 */
export function runAttempts<U extends { readonly upstreamId: string }, A>(
  rules: AttemptRules,
  port: AttemptOperations<U, A>,
): Promise<A> {
  return new CallAttempts(rules, port).run();
}

function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? RETRY_AFTER_S : undefined;
  return new schemas.Refusal({ id, step: 'attempt', status, outcome, cause, retryAfterS });
}
