import * as schemas from '@bramleyridge/schemas';

import type * as retryBudgets from './retry-budget.js';
import * as upstreamErrors from './upstream-error.js';

/**
 * Maximum number of upstreams per call that turn out to have no room just before the send; another choice follows each,
 * and the caller waits meanwhile.
 */
const MAX_WITHHELD = 8;

/**
 * Maximum number of sends per call, including those that an upstream refused; bounds the load that one failing call
 * adds.
 */
const MAX_SENDS = 4;

/** The `retry-after` of a call that is refused because upstreams failed, in seconds. */
const RETRY_AFTER_S = 1;

/** The limits on the attempts of one call. */
export interface AttemptRules {
  /** Returns whether the call may run more than once; a change of configuration may take that back. */
  readonly isRepeatable: () => boolean;
  /** Maximum number of attempts that may have run the call. */
  readonly maxRuns: number;
  readonly budget: retryBudgets.RetrySource;
  /** Aborted when the response is no longer needed. */
  readonly signal?: AbortSignal;
}

/** The operations that an attempt consists of, which differ by the kind of call. */
export interface AttemptOperations<U extends { readonly upstreamId: string }, A> {
  /** Returns the upstream of the next attempt; throws a refusal when there is none. */
  choose(): U | Promise<U>;
  /** Makes one attempt; returns `undefined` when nothing was sent and another upstream must be chosen. */
  attempt(upstream: U): Promise<A | undefined>;
  /** Returns whether a response reports a failure of the upstream itself, so that another upstream may succeed. */
  isFailure(answer: A): boolean;
  /** Called for an upstream that was chosen and gets nothing after all. */
  discard?(upstream: U): void;
  /** Called for each attempt that ended in an error. */
  recordFailure(upstream: U, failure: upstreamErrors.UpstreamError): void;
}

/** The attempts of one call and their results. */
class AttemptLoop<U extends { readonly upstreamId: string }, A> {
  private sends = 0;
  private runs = 0;
  private withheld = 0;
  private failedAnswer: A | undefined;

  public constructor(
    private readonly rules: AttemptRules,
    private readonly operations: AttemptOperations<U, A>,
  ) {}

  /** Makes attempts until there is a final response or no further attempt is allowed. */
  public async run(): Promise<A> {
    for (;;) {
      this.rules.signal?.throwIfAborted();
      const upstream = await this.choose();
      if (upstream === undefined) {
        return this.failedAnswer as A;
      }
      // The connection for a call whose caller has gone would be opened before the abort is noticed.
      if (this.rules.signal?.aborted) {
        this.operations.discard?.(upstream);
        this.rules.signal.throwIfAborted();
      }
      // A change of configuration may have forbidden the repetition while the upstream was chosen.
      if (this.runs > 0 && !this.rules.isRepeatable()) {
        this.operations.discard?.(upstream);
        return this.giveUp();
      }
      try {
        const answer = await this.operations.attempt(upstream);
        if (answer !== undefined && (await this.isFinal(answer))) {
          return answer;
        }
      } catch (err) {
        await this.handleFailure(upstream, err);
      }
      this.rules.signal?.throwIfAborted();
    }
  }

  /** Returns the failure response of an upstream; throws a refusal if there is none. */
  private giveUp(): A {
    if (this.failedAnswer === undefined) {
      throw createRefusal('ranUnknown', 'unknown');
    }
    return this.failedAnswer;
  }

  /**
   * Returns the next upstream, or `undefined` when there is none and the failure response of an upstream can be
   * returned.
   */
  private async choose(): Promise<U | undefined> {
    try {
      if (this.withheld >= MAX_WITHHELD) {
        throw createRefusal('upstreamWithheld', 'not-run');
      }
      return await this.operations.choose();
    } catch (err) {
      if (this.failedAnswer !== undefined) {
        return undefined;
      }
      // The refusal for lack of an upstream states that the call did not run, but an earlier attempt may have run it.
      throw this.runs > 0 ? createRefusal('ranUnknown', 'unknown', err) : err;
    }
  }

  private async isFinal(answer: A): Promise<boolean> {
    this.sends += 1;
    this.runs += 1;
    if (
      !this.operations.isFailure(answer) ||
      !this.mayRunAgain() ||
      !(await this.rules.budget.take())
    ) {
      return true;
    }
    this.failedAnswer = answer;
    return false;
  }

  private async handleFailure(upstream: U, err: unknown): Promise<void> {
    if (err instanceof schemas.StepError && !(err instanceof upstreamErrors.UpstreamError)) {
      // So does the refusal of one that was quarantined while it waited for its next send.
      const isNotRun = err instanceof schemas.Refusal && err.options.outcome === 'not-run';
      throw isNotRun && this.runs > 0 ? createRefusal('ranUnknown', 'unknown', err) : err;
    }
    // An attempt that was aborted on this side is not a failure of the upstream.
    this.rules.signal?.throwIfAborted();
    const failure = upstreamErrors.createUpstreamError(err, 'attempt', upstream.upstreamId);
    if (failure.kind === 'withheld') {
      // Nothing was sent, so this is neither an attempt nor a failure of the upstream.
      this.withheld += 1;
      return;
    }
    this.operations.recordFailure(upstream, failure);
    this.sends += 1;
    this.runs += failure.kind === 'lost' ? 1 : 0;
    const mayRetry = failure.kind === 'lost' ? this.mayRunAgain() : this.sends < MAX_SENDS;
    // Nothing arrived at an address without a listener, so only what reached an upstream takes from the retry budget.
    const isBudgeted =
      failure.kind === 'unreachable' || (mayRetry && (await this.rules.budget.take()));
    if (mayRetry && isBudgeted) {
      return;
    }
    throw this.runs > 0
      ? createRefusal('ranUnknown', 'unknown', failure)
      : createRefusal('upstreamRefused', 'not-run', failure);
  }

  private mayRunAgain(): boolean {
    const { isRepeatable, maxRuns } = this.rules;
    return isRepeatable() && this.runs < maxRuns && this.sends < MAX_SENDS;
  }
}

/**
 * Sends one call to one upstream after another. A call that did not run may be retried on another upstream; one that
 * may have run is retried only if it is repeatable. Retries that reached an upstream take from the retry budget.
 */
export function runAttempts<U extends { readonly upstreamId: string }, A>(
  rules: AttemptRules,
  operations: AttemptOperations<U, A>,
): Promise<A> {
  return new AttemptLoop(rules, operations).run();
}

function createRefusal(
  id: schemas.MessageId,
  outcome: schemas.Outcome,
  cause?: unknown,
): schemas.Refusal {
  const status = outcome === 'not-run' ? 503 : 502;
  const retryAfterS = outcome === 'not-run' ? RETRY_AFTER_S : undefined;
  return new schemas.Refusal({ id, step: 'attempt', status, outcome, cause, retryAfterS });
}
