import * as requests from '@bramleyridge/requests';
import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as suspectExchanges from './suspect-exchange.js';

/** Time after the first token beyond which a run is probably not the cause of an exit, in milliseconds. */
const EARLY_EXIT_MS = 1_000;

/** Maximum wait of a call for the exit check of its last run, in milliseconds. */
const MAX_CHECK_WAIT_MS = 30;

/** A run that was lost; times on the daemon's clock, in milliseconds. */
export interface LostRun {
  readonly sentAt: number;
  /** Time for which it had sent tokens; undefined if it had sent none. */
  readonly answerMs?: number;
}

/** Dependencies of the run guard. */
export interface RunGuardOptions {
  readonly exchange: suspectExchanges.SuspectExchange;
  readonly exitDetector: requests.ProcessExitDetector;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Stops calls, and calls whose prompts share a part, that make the upstreams exit that run them. */
export class RunGuard {
  private readonly ledger: routing.CrashLedger;
  private readonly parts: requests.PartGuard;
  /** Pending exit checks by call digest. */
  private readonly checks = new Map<string, Promise<void>>();

  public constructor(private readonly options: RunGuardOptions) {
    const { clock, exchange, log } = options;
    this.ledger = exchange.ledger;
    this.parts = new requests.PartGuard({
      ledger: exchange.ledger,
      sharing: exchange,
      patienceMs: 0,
      onBarred: (partIds) => exchange.share(partIds),
      clock,
      log,
    });
  }

  /** Throws a refusal if the call, or a part of its prompt, is quarantined. */
  public async admit(subject: requests.RunSubject): Promise<void> {
    const check = this.checks.size === 0 ? undefined : this.checks.get(subject.getDigest());
    if (check !== undefined) {
      await Promise.race([check, this.options.clock.sleep(MAX_CHECK_WAIT_MS)]);
    }
    const refusal = this.ledger.hasCalls
      ? this.ledger.findQuarantineRefusal(subject.getDigest(), this.options.clock.now())
      : undefined;
    if (refusal !== undefined) {
      throw this.refuse(subject, refusal, 'quarantined');
    }
    const partRefusal = this.parts.findRefusal(subject);
    if (partRefusal !== undefined) {
      throw this.refuse(subject, partRefusal, 'partQuarantined');
    }
  }

  /** Decides whether a call may be sent to an upstream, as the trial of what is quarantined; throws a refusal if not. */
  public async permit(subject: requests.RunSubject, upstreamId: string): Promise<void> {
    await this.parts.awaitTurn(subject);
    try {
      await this.permitRun(subject, upstreamId);
    } catch (err) {
      this.parts.endTurn(subject);
      throw err;
    }
  }

  /** Decides on parts of prompts when that is due, after other daemons have reported exits. */
  public decideLater(): void {
    this.parts.decideLater();
  }

  /** Records that an upstream certainly did not run a permitted call. */
  public recordNotRun(subject: requests.RunSubject): void {
    this.parts.endTurn(subject);
  }

  /** Records a complete answer. */
  public recordServed(subject: requests.RunSubject): void {
    this.parts.endTurn(subject);
    this.parts.recordAnswer(subject);
    if (this.ledger.hasCalls && this.ledger.clear(subject.getDigest())) {
      this.options.exchange.report({ kind: 'served', digest: subject.getDigest() });
    }
  }

  /** Records that tokens have arrived for some time, in milliseconds. */
  public recordProgress(subject: requests.RunSubject, answerMs: number): void {
    this.parts.endTurn(subject);
    if (this.ledger.hasParts && answerMs >= EARLY_EXIT_MS) {
      this.parts.recordAnswer(subject);
    }
  }

  /** Records that the connection to an upstream broke. Checks in the background whether its process has exited. */
  public recordLost(
    subject: requests.RunSubject,
    upstream: Pick<schemas.Upstream, 'service' | 'upstreamId' | 'url'>,
    run: LostRun,
  ): void {
    const digest = subject.getDigest();
    const check = this.checkExit(subject, upstream, run)
      .catch((err: unknown) => {
        // Without a check, nothing is known of the process.
        const { upstreamId } = upstream;
        const description = schemas.describeError(err);
        this.options.log.error({
          ...description,
          event: 'task-failed',
          task: 'check-exit',
          peer: upstreamId,
        });
      })
      .finally(() => {
        this.parts.endTurn(subject);
        if (this.checks.get(digest) === check) {
          this.checks.delete(digest);
        }
      });
    this.checks.set(digest, check);
  }

  private async permitRun(subject: requests.RunSubject, upstreamId: string): Promise<void> {
    await this.admit(subject);
    if (this.isQuarantined(subject)) {
      const permit = await this.requestPermit(subject.getDigest(), upstreamId);
      if (permit.kind === 'refused') {
        throw this.refuse(subject, permit, 'quarantined');
      }
    }
    if (this.parts.listBarred(subject).length === 0) {
      return;
    }
    const { refused } = await this.parts.requestTrial(subject, upstreamId, true);
    if (refused !== undefined) {
      throw this.refuse(subject, refused, 'partQuarantined');
    }
  }

  private async checkExit(
    subject: requests.RunSubject,
    upstream: Pick<schemas.Upstream, 'service' | 'upstreamId' | 'url'>,
    { answerMs, sentAt }: LostRun,
  ): Promise<void> {
    const { clock, exchange, exitDetector, log } = this.options;
    const { upstreamId } = upstream;
    const isEarly = answerMs === undefined || answerMs < EARLY_EXIT_MS;
    const digest = subject.getDigest();
    const request = subject.requestId;
    log.info({ decision: 'run-lost', request, digest, upstream: upstreamId, isEarly });
    if (!(await exitDetector.hasExited(requests.createTarget(upstream)))) {
      return;
    }
    const processId = exchange.exits.identify(upstreamId, clock.now() - sentAt);
    log.info({ event: 'process-ended', upstream: upstreamId, process: processId, digest });
    if (isEarly) {
      this.parts.recordEnd(subject, processId);
    } else {
      this.parts.recordAnswer(subject);
    }
    const end = { processId, isEarly, wasAlone: false };
    this.ledger.recordProcessEnd(digest, end, clock.now());
    exchange.report({ kind: 'ended', digest, end });
  }

  private isQuarantined(subject: requests.RunSubject): boolean {
    return this.ledger.hasCalls && this.ledger.getStanding(subject.getDigest()) === 'quarantined';
  }

  private async requestPermit(digest: string, processId: string): Promise<routing.Permit> {
    const { clock, exchange } = this.options;
    return (
      (await exchange.requestPermit({ digest, processId, mayShare: true })) ??
      this.ledger.permitWithoutLeader(digest, processId, true, clock.now())
    );
  }

  private refuse(
    { getDigest, requestId }: requests.RunSubject,
    { retryMs }: routing.PermitRefusal,
    id: 'partQuarantined' | 'quarantined',
  ): schemas.Refusal {
    this.options.log.info({
      decision: 'quarantine',
      request: requestId,
      digest: getDigest(),
      reason: id,
      retryMs: Math.round(retryMs),
    });
    return new schemas.Refusal({
      id,
      step: 'quarantine',
      status: 503,
      outcome: 'not-run',
      retryAfterS: retryMs / 1_000,
    });
  }
}
