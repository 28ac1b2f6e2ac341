import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import type * as telemetry from '@bramleyridge/telemetry';

import type * as procedures from './core-procedures.js';

/**
 * Time after which a new leader has a record of all runs of suspects, in milliseconds: those that its predecessor
 * permitted have ended by then.
 */
const COMPLETE_VIEW_MS = 2_000;

/** Dependencies of the suspect registry. */
export interface SuspectRegistryOptions {
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly metrics: telemetry.MetricSink;
  /**
   * Quarantined calls in the replicated log, and the function that proposes entries; it resolves once a majority has
   * the entry.
   */
  readonly quarantine: routing.QuarantineState;
  readonly propose: (entry: routing.QuarantineEntry) => Promise<unknown>;
}

/** The leader's registry of calls and parts of prompts during whose runs upstreams crashed, for all hosts. */
export class SuspectRegistry {
  /** Notifies when there are updates for the hosts. */
  public readonly changed = new schemas.ChangeSignal();
  private ledger = new routing.CrashLedger();
  private term = -1;
  private leadingSince = 0;
  private readonly verdicts: requests.VerdictTask;

  public constructor(private readonly options: SuspectRegistryOptions) {
    this.verdicts = new requests.VerdictTask({
      getLedger: () => this.ledger,
      clock: options.clock,
      log: options.log,
      patienceMs: 0,
      onBarred: (partIds) => this.shareBarred(partIds),
    });
  }

  /**
   * Starts a term as the leader with the entries of the replicated log; has no effect if the term has already started.
   * Entries of a former leadership are dropped, since they may have been cleared meanwhile, and the hosts send theirs.
   */
  public startLeading(term: number): void {
    if (this.term !== term) {
      this.term = term;
      this.leadingSince = this.options.clock.now();
      this.ledger = new routing.CrashLedger();
      this.merge(this.options.quarantine.list());
    }
  }

  /** Records the runs that a host reports. */
  public report({ hostId, runs }: procedures.SuspectReport): void {
    runs.forEach((run) => {
      if (run.kind === 'ended') {
        this.recordProcessEnd(hostId, run.digest, run.end);
      } else if (run.kind === 'served') {
        this.recordServed(hostId, run.digest);
      } else {
        this.ledger.recordInconclusiveRun(run.digest, run.processId);
      }
    });
  }

  /** Merges the suspects that a host sends, such as all of its own at its first contact with this leader. */
  public merge(all: readonly routing.SuspectFacts[]): void {
    if (!this.ledger.merge(all, this.options.clock.now())) {
      return;
    }
    this.changed.notify();
    this.verdicts.schedule();
    const loggedDigests = new Set(this.options.quarantine.list().map(({ digest }) => digest));
    all
      .map(({ digest }) => digest)
      .filter(
        (digest) => this.ledger.getStanding(digest) === 'quarantined' && !loggedDigests.has(digest),
      )
      .forEach((digest) => this.recordInBackground(digest));
  }

  /** Decides whether a suspect may be sent to an upstream. */
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
      // The additional send is committed to the log before the call is sent, so that the next leader does not permit it
      // again.
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

  /**
   * Like `permit`, and states whether another suspect runs on the process. The host reports that with the end of the
   * run, in case another host leads by then.
   */
  public async permitWithIsolation(req: procedures.SuspectPermitReq): Promise<routing.Permit> {
    return this.ledger.addIsolation(await this.permit(req), req.digest);
  }

  /** Returns the updates that a host lacks; a host whose last updates are of another term gets all suspects. */
  public findUpdates(
    cursor: procedures.SuspectCursor,
    term: number,
  ): procedures.SuspectUpdates | undefined {
    if (cursor.term !== term) {
      return { term, changes: this.ledger.listChangesSince(-1) };
    }
    const isCurrent = cursor.revision === this.ledger.getRevision();
    return isCurrent ? undefined : { term, changes: this.ledger.listChangesSince(cursor.revision) };
  }

  private recordProcessEnd(hostId: string, digest: string, end: routing.ProcessEnd): void {
    const { clock, log, metrics } = this.options;
    const before = this.ledger.getStanding(digest);
    const now = clock.now();
    if (
      !this.ledger.recordProcessEnd(digest, end, now, now - this.leadingSince >= COMPLETE_VIEW_MS)
    ) {
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
      this.recordInBackground(digest);
    }
    this.changed.notify();
    this.verdicts.schedule();
  }

  private shareBarred(partIds: readonly string[]): void {
    const { log, metrics } = this.options;
    partIds.forEach((digest) => {
      const ends = this.ledger.find(digest)?.ends.map(({ processId }) => processId);
      log.info({ decision: 'part-barred', digest, ends });
      metrics.count('suspects', { standing: 'quarantined' });
      this.recordInBackground(digest);
    });
    this.changed.notify();
  }

  /** Returns whether the log has the current number of additional sends of a quarantined call. */
  private isRecorded(digest: string): boolean {
    const held = this.options.quarantine.find(digest);
    return held !== undefined && held.chances === this.ledger.find(digest)?.chances;
  }

  /** Proposes an entry to the log: the facts about a call, or that the call is cleared. */
  private async record(digest: string): Promise<void> {
    const facts = this.ledger.find(digest);
    const quarantine =
      facts === undefined
        ? ({ kind: 'cleared', digest } as const)
        : ({ kind: 'held', facts } as const);
    await this.options.propose({ quarantine });
  }

  /** Calls `record` without waiting for it. If it fails, the hosts send the facts to the next leader, which proposes them. */
  private recordInBackground(digest: string): void {
    this.record(digest).catch((err: unknown) => {
      const { message } = schemas.toError(err);
      this.options.log.warn({ step: 'record-quarantine', digest, err: message });
    });
  }

  private recordServed(hostId: string, digest: string): void {
    const { log, metrics } = this.options;
    const standing = this.ledger.getStanding(digest);
    if (this.ledger.clear(digest)) {
      log.info({ decision: 'suspect-cleared', digest, standing, peer: hostId });
      metrics.count('suspects', { standing: 'cleared' });
      if (standing === 'quarantined') {
        this.recordInBackground(digest);
        this.verdicts.decide();
      }
      this.changed.notify();
    }
  }
}
