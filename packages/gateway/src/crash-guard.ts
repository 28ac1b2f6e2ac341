import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import type * as routedJobs from './routed-job.js';
import type * as suspectLinks from './suspect-client.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** How long a run has to go on before it most likely has nothing to do with the end of its process, in milliseconds. */
const SEASONED_MS = 1_000;

/**
 * How long a call waits for what its last run shows, in milliseconds. A refused connection is back within a few; behind a
 * cut there is no answer, and a stream that goes on elsewhere has been silent for long enough.
 */
const CHECK_WAIT_MS = 30;

/** How a run at an upstream ended. */
export type RunOutcome =
  /** All of the answer came, and the upstream did not call it a failure. */
  | 'served'
  /** It broke off after it was handed over. */
  | 'lost'
  /** Nothing can be told from it. */
  | 'over'
  /** No upstream ran it. */
  | 'not-run';

/** A run of a call, as far as the guard has to know. */
export interface GuardedRun {
  readonly known: upstreamDirectories.KnownUpstream;
  /** When its answer began; nothing when it had not. */
  readonly answerStartedAt: number | undefined;
}

/** Where a call may be sent: to the upstream that was picked, to another one, or to a certain one. */
export type PermitDecision =
  | { readonly kind: 'go' | 'elsewhere' }
  | { readonly kind: 'there'; readonly upstream: upstreamDirectories.KnownUpstream };

/** The permit for a run of a suspect. */
interface RunPermit {
  readonly permit: routing.Permit;
  /** Whether it says that no other suspect runs there. */
  readonly isAlone: boolean;
}

/** What the guard needs. */
export interface CrashGuardOptions {
  readonly suspects: suspectLinks.SuspectClient;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly endCheck: requests.ProcessExitDetector;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
}

/**
 * Keeps calls that end the upstreams that run them from being sent on. Such a call comes again under another id, at any
 * host; each time it costs an upstream with all that runs there. Every way to an upstream asks here first: attempts,
 * second attempts and runs that go on elsewhere.
 */
export class CrashGuard {
  private readonly ledger = new routing.CrashLedger();
  /** What is being found out, by the call's digest: it may come again before that is known. */
  private readonly checks = new Map<string, Promise<void>>();
  /** The permit for the run of a job that is under way. */
  private readonly permitted = new WeakMap<routedJobs.RoutedJob, RunPermit>();

  public constructor(private readonly options: CrashGuardOptions) {
    options.suspects.attach(this.ledger);
  }

  /** Throws a refusal for a call that must not be sent; waits for what its last run shows. */
  public async admit(job: routedJobs.RoutedJob): Promise<void> {
    const check = this.checks.size === 0 ? undefined : this.checks.get(job.getDigest());
    if (check !== undefined) {
      await Promise.race([check, this.options.clock.sleep(CHECK_WAIT_MS)]);
    }
    if (this.ledger.size === 0) {
      return;
    }
    const refused = this.ledger.findQuarantineRefusal(job.getDigest(), this.options.clock.now());
    if (refused !== undefined) {
      throw this.refuse(job, refused);
    }
  }

  /**
   * Whether a call may be sent to an upstream that was picked for it; throws a refusal where it must not be sent.
   * `mayShare` tells whether there is no better one for a suspect than where another runs.
   */
  public async permit(
    job: routedJobs.RoutedJob,
    known: upstreamDirectories.KnownUpstream,
    mayShare: () => boolean,
  ): Promise<PermitDecision> {
    if (!this.isTracked(job)) {
      return { kind: 'go' };
    }
    const isShared = mayShare();
    const permit = await this.askPermit(job.getDigest(), getProcessId(known), isShared);
    if (permit.kind === 'refused') {
      throw this.refuse(job, permit);
    }
    // A leader of the version before says nothing of others; where there is a choice, it picks a process without them.
    const isApart = permit.kind === 'go' && !isShared;
    const isAlone = 'isAlone' in permit ? permit.isAlone === true : isApart;
    this.permitted.set(job, { permit, isAlone });
    if (permit.kind !== 'there') {
      return permit;
    }
    const { directory } = this.options;
    const at = directory
      .listLive(job.call.service.name, job.call.regions)
      .find((other) => getProcessId(other) === permit.processId);
    // Its list may lack the one yet, or no longer have it. Then the next best is to keep it where it was picked to go.
    return at === undefined ? { kind: 'go' } : { kind: 'there', upstream: at };
  }

  /** Notes how a run ended. */
  public recordOutcome(job: routedJobs.RoutedJob, run: GuardedRun, end: RunOutcome): void {
    const permitted = this.permitted.get(job);
    this.permitted.delete(job);
    if (end === 'not-run' && permitted !== undefined) {
      this.options.suspects.keepUnusedPermit(permitted.permit);
    }
    if (end === 'lost') {
      this.startCheck(job, run, permitted?.isAlone ?? false);
      return;
    }
    if (!this.isTracked(job)) {
      return;
    }
    const digest = job.getDigest();
    if (end === 'served') {
      this.ledger.clear(digest);
      this.options.suspects.report({ kind: 'served', digest });
    } else {
      this.noteOver(digest, run);
    }
  }

  /** Whether anything is held against a call; while nothing is held against any, no digest is made. */
  private isTracked(job: routedJobs.RoutedJob): boolean {
    return this.ledger.size > 0 && this.ledger.has(job.getDigest());
  }

  private noteOver(digest: string, { known }: GuardedRun): void {
    const processId = getProcessId(known);
    this.ledger.recordInconclusiveRun(digest, processId);
    this.options.suspects.report({ kind: 'over', digest, processId });
  }

  private startCheck(job: routedJobs.RoutedJob, run: GuardedRun, wasAlone: boolean): void {
    const digest = job.getDigest();
    const check = this.check(job, run, wasAlone).finally(() => {
      if (this.checks.get(digest) === check) {
        this.checks.delete(digest);
      }
    });
    this.checks.set(digest, check);
  }

  /** Finds out whether the upstream's process ended under the run. */
  private async check(
    job: routedJobs.RoutedJob,
    run: GuardedRun,
    wasAlone: boolean,
  ): Promise<void> {
    const { clock, directory, endCheck, suspects: link, log } = this.options;
    const { answerStartedAt: begunAt, known } = run;
    const { upstreamId } = known;
    const isEarly = begunAt === undefined || clock.now() - begunAt < SEASONED_MS;
    // One that leaves as announced ends under whatever it still runs.
    const isAnnounced = directory.isLeaving(upstreamId);
    const digest = job.getDigest();
    const request = job.call.facts.requestId;
    log.info({ decision: 'run-lost', request, digest, upstream: upstreamId, isAnnounced, isEarly });
    if (isAnnounced || !(await endCheck.hasExited(known))) {
      this.recordOutcome(job, run, 'over');
      return;
    }
    log.info({ event: 'process-ended', upstream: upstreamId, digest });
    directory.noteUnreachable(upstreamId);
    const processId = getProcessId(known);
    // The host that gave the permit may have lost the lead meanwhile, and the next leader knows nothing of the run.
    const end = { processId, isEarly, wasAlone };
    this.ledger.recordProcessEnd(digest, end, clock.now());
    const noted = this.ledger.find(digest)?.ends.find((item) => item.processId === processId);
    link.report({ kind: 'ended', digest, end: noted ?? end });
  }

  /** The leader knows of all hosts; where nobody answers, this host keeps its own suspects apart. */
  private async askPermit(
    digest: string,
    processId: string,
    mayShare: boolean,
  ): Promise<routing.Permit> {
    const { clock, suspects: link, log } = this.options;
    const answer = await link.requestPermit({ digest, processId, mayShare });
    if (answer !== undefined) {
      return answer;
    }
    const permit = this.ledger.permitWithoutLeader(digest, processId, mayShare, clock.now());
    if (permit.kind !== 'refused') {
      link.dropPermitRequest(digest);
    }
    log.info({ decision: 'suspect-alone', digest, upstream: processId, ...permit });
    return permit;
  }

  private refuse(job: routedJobs.RoutedJob, { retryMs }: routing.PermitRefusal): schemas.Refusal {
    const { log, metrics } = this.options;
    const id = 'quarantined';
    metrics.count('refusals', { reason: id });
    log.info({
      decision: 'refuse',
      request: job.call.facts.requestId,
      digest: job.getDigest(),
      reason: id,
      retryMs: Math.round(retryMs),
      step: 'quarantine',
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

/** A process that starts again under a name is another one. */
function getProcessId({ listed, upstreamId }: upstreamDirectories.KnownUpstream): string {
  return listed.bornMs === undefined ? upstreamId : `${upstreamId}@${listed.bornMs}`;
}
