import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import type * as procedures from './core-procedures.js';

/**
 * After which time a leader knows of all runs of suspects, in milliseconds: what was sent by a permit of the one before is
 * over.
 */
const FULL_VIEW_MS = 2_000;

/** What the desk needs. */
export interface SuspectRegistryOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  /** Quarantined calls in the replicated log, and how to put them there; resolves once a majority has it. */
  readonly quarantine: routing.QuarantineState;
  readonly propose: (entry: routing.QuarantineEntry) => Promise<unknown>;
}

/** The leader's account of calls under which upstreams ended, for all hosts. */
export class SuspectRegistry {
  /** Tells that hosts have to learn something. */
  public readonly changed = new schemas.ChangeSignal();
  private ledger = new routing.CrashLedger();
  private term = -1;
  private ledSince = 0;

  public constructor(private readonly options: SuspectRegistryOptions) {}

  /**
   * Begins to lead, with what the log holds; again in the same term it changes nothing. What was known in a former
   * leadership may have been cleared since, and the hosts tell what they know.
   */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.ledSince = this.options.clock.now();
      this.ledger = new routing.CrashLedger();
      this.merge(this.options.quarantine.list());
    }
  }

  /** Takes what a host found out. */
  public report({ hostId, runs }: procedures.SuspectReport): void {
    runs.forEach((run) => {
      if (run.kind === 'ended') {
        this.noteEnd(hostId, run.digest, run.end);
      } else if (run.kind === 'served') {
        this.noteServed(hostId, run.digest);
      } else {
        this.ledger.recordInconclusiveRun(run.digest, run.processId);
      }
    });
  }

  /** Takes all that a host knows; it has heard of this leader for the first time. */
  public merge(all: readonly routing.SuspectFacts[]): void {
    if (!this.ledger.merge(all, this.options.clock.now())) {
      return;
    }
    this.changed.notify();
    const isKept = new Set(this.options.quarantine.list().map(({ digest }) => digest));
    all
      .map(({ digest }) => digest)
      .filter((digest) => this.ledger.getStanding(digest) === 'quarantined' && !isKept.has(digest))
      .forEach((digest) => this.recordLater(digest));
  }

  /** Whether a suspect may be sent to an upstream. */
  public async permit(req: procedures.SuspectPermitReq): Promise<routing.Permit> {
    const { digest, facts, hostId, mayShare, permitId, processId } = req;
    const { clock, log } = this.options;
    if (facts !== undefined) {
      this.merge([facts]);
    }
    const before = this.ledger.getRevision();
    const permit = this.ledger.permit(digest, processId, mayShare, clock.now(), permitId);
    const standing = this.ledger.getStanding(digest);
    if (this.ledger.getRevision() !== before) {
      this.changed.notify();
    }
    if (permit.kind !== 'refused' && standing === 'quarantined' && !this.isRecorded(digest)) {
      // That it is sent once more is in the log before the call is sent: the next leader must not allow it again.
      await this.record(digest);
    }
    log.info({
      decision: 'suspect-permit',
      digest,
      standing,
      peer: hostId,
      upstream: processId,
      permitId,
      ...permit,
    });
    return permit;
  }

  /** The same with what the host needs to tell of the run if this one leads no longer when it ends. */
  public async permitWithFacts(req: procedures.SuspectPermitReq): Promise<routing.Permit> {
    return this.ledger.addIsolation(await this.permit(req), req.digest);
  }

  /** What a host lacks, as the leader of a term tells it; one that knows of another leader gets all. */
  public findUpdates(
    known: procedures.SuspectCursor,
    term: number,
  ): procedures.SuspectUpdates | undefined {
    if (known.term !== term) {
      return { term, changes: this.ledger.listChangesSince(-1) };
    }
    const isCurrent = known.revision === this.ledger.getRevision();
    return isCurrent ? undefined : { term, changes: this.ledger.listChangesSince(known.revision) };
  }

  private noteEnd(hostId: string, digest: string, end: routing.ProcessEnd): void {
    const { clock, log, metrics } = this.options;
    const before = this.ledger.getStanding(digest);
    const now = clock.now();
    if (!this.ledger.recordProcessEnd(digest, end, now, now - this.ledSince >= FULL_VIEW_MS)) {
      return;
    }
    const standing = this.ledger.getStanding(digest);
    log.info({
      decision: 'suspect',
      digest,
      standing,
      upstream: end.processId,
      isEarly: end.isEarly,
      peer: hostId,
    });
    if (standing !== before) {
      metrics.count('suspects', { standing });
    }
    if (standing === 'quarantined') {
      this.recordLater(digest);
    }
    this.changed.notify();
  }

  /** Whether the log holds how often a quarantined call was sent. */
  private isRecorded(digest: string): boolean {
    const held = this.options.quarantine.find(digest);
    return held !== undefined && held.chances === this.ledger.find(digest)?.chances;
  }

  /** Puts what is held against a call into the log. */
  private async record(digest: string): Promise<void> {
    const facts = this.ledger.find(digest);
    const quarantine =
      facts === undefined
        ? ({ kind: 'cleared', digest } as const)
        : ({ kind: 'held', facts } as const);
    await this.options.propose({ quarantine });
  }

  /** The same where nobody waits for it; if it fails the hosts tell the next leader, which puts it there. */
  private recordLater(digest: string): void {
    this.record(digest).catch((err: unknown) => {
      const { message } = schemas.toError(err);
      this.options.log.warn({ step: 'record-quarantine', digest, err: message });
    });
  }

  private noteServed(hostId: string, digest: string): void {
    const { log, metrics } = this.options;
    const standing = this.ledger.getStanding(digest);
    if (this.ledger.clear(digest)) {
      log.info({ decision: 'suspect-cleared', digest, standing, peer: hostId });
      metrics.count('suspects', { standing: 'cleared' });
      if (standing === 'quarantined') {
        this.recordLater(digest);
      }
      this.changed.notify();
    }
  }
}
