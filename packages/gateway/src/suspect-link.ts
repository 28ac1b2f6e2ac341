import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** How long the leader may take to answer, in milliseconds: a call waits for it. */
const ANSWER_MS = 60;

/**
 * How long a suspect waits for the leave of a leader that does not answer, in milliseconds; an election takes about as
 * long. Sent without it, the call would not be known to have run apart from other suspects, and need an upstream more
 * until it is quarantined.
 */
const PERMIT_MS = 1_000;

/**
 * How long one answer to the question for a leave may take, in milliseconds. An answer that comes too late has counted as a
 * run all the same, and a quarantined call has few of them left to be cleared by.
 */
const PERMIT_ANSWER_MS = 500;

/** The pause before something that the leader did not take is told again, in milliseconds. */
const AGAIN_MS = 100;

/** How many reports are kept for a leader that does not answer; the oldest goes first. */
const MOST_REPORTS = 1_000;

/** Stands for the term of a leader where none was heard yet. */
export const NO_TERM = -1;

/** What the link needs. */
export interface SuspectLinkOptions {
  readonly mesh: coreMeshes.CorePeers;
  readonly findLeader: () => string | undefined;
  readonly hostId: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Shares what this host knows of suspects with all others, by way of the leader. A new leader knows nothing: it is told
 * everything first, and only then is its word taken, so that what was known outlives every leader.
 */
export class SuspectLink {
  private ledger: routing.CrashLedger | undefined;
  private reports: procedures.SuspectRun[] = [];
  private informedTerm = NO_TERM;
  private known = { term: NO_TERM, revision: -1 };
  private sending: Promise<boolean> | undefined;
  private isWaiting = false;
  private isStopped = false;

  public constructor(private readonly options: SuspectLinkOptions) {}

  /** Says what this host knows by, before anything is shared. */
  public attach(ledger: routing.CrashLedger): void {
    this.ledger = ledger;
  }

  /** What this host has last learned. */
  public getKnown(): procedures.KnownSuspects {
    return this.known;
  }

  /** Takes what a leader tells of all hosts' suspects. */
  public take({ changes, term }: procedures.SuspectNews): void {
    if (this.informedTerm === NO_TERM && this.ledger?.size === 0) {
      // A host that has just started has nothing to tell. It is ready with this answer, and must know by then.
      this.informedTerm = term;
    }
    if (term !== this.informedTerm) {
      void this.inform(term);
      return;
    }
    const now = this.options.clock.now();
    this.ledger?.apply(changes, now);
    // What the leader has not heard yet stays.
    this.reports.forEach((run) => {
      if (run.kind === 'ended') {
        this.ledger?.noteEnd(run.digest, run.end, now);
      }
    });
    this.known = { term, revision: changes.revision };
  }

  /** Takes what is quarantined in the log, before this host has heard a leader. */
  public takeQuarantined(all: readonly routing.SuspectFacts[]): void {
    this.ledger?.merge(all, this.options.clock.now());
  }

  /** Tells the leader what a run has shown; again and again until some leader has it. */
  public report(run: procedures.SuspectRun): void {
    this.reports = [...this.reports, run].slice(-MOST_REPORTS);
    void this.send();
  }

  /** Whether a suspect may be sent to an upstream; nothing where no leader answers that knows what this host knows. */
  public async askPermit(
    req: Omit<procedures.SuspectPermitReq, 'hostId'>,
  ): Promise<routing.Permit | undefined> {
    const { clock } = this.options;
    const end = clock.now() + PERMIT_MS;
    for (;;) {
      const permit = await this.askPermitOnce(req);
      if (permit !== undefined || this.isStopped || clock.now() + AGAIN_MS > end) {
        return permit;
      }
      await clock.sleep(AGAIN_MS);
    }
  }

  /** Ends every task. */
  public stop(): void {
    this.isStopped = true;
  }

  private async askPermitOnce(
    req: Omit<procedures.SuspectPermitReq, 'hostId'>,
  ): Promise<routing.Permit | undefined> {
    const { hostId } = this.options;
    while (this.reports.length > 0) {
      if (!(await this.send())) {
        return undefined;
      }
    }
    return this.ask((api) =>
      api.permitSuspect.mutate({ ...req, hostId }, { context: { deadlineMs: PERMIT_ANSWER_MS } }),
    );
  }

  /** Tells a leader all that is known here. */
  private async inform(term: number): Promise<void> {
    const { hostId } = this.options;
    const suspects = this.ledger?.listSuspects() ?? [];
    const res = await this.ask((api) =>
      api.shareSuspects.mutate({ hostId, suspects }, { context: { deadlineMs: ANSWER_MS } }),
    );
    if (res?.term === term) {
      this.informedTerm = term;
    }
  }

  private send(): Promise<boolean> {
    this.sending ??= this.sendReports().finally(() => {
      this.sending = undefined;
    });
    return this.sending;
  }

  private async sendReports(): Promise<boolean> {
    const { hostId } = this.options;
    const runs = this.reports;
    const res = await this.ask((api) =>
      api.reportSuspects.mutate({ hostId, runs }, { context: { deadlineMs: ANSWER_MS } }),
    );
    if (res !== undefined) {
      const sent = new Set(runs);
      this.reports = this.reports.filter((run) => !sent.has(run));
      return true;
    }
    void this.sendAgain();
    return false;
  }

  /** One at a time: each call of a suspect tries to send as well, and a cut may last for minutes. */
  private async sendAgain(): Promise<void> {
    if (this.isWaiting) {
      return;
    }
    this.isWaiting = true;
    await this.options.clock.sleep(AGAIN_MS);
    this.isWaiting = false;
    if (!this.isStopped && this.reports.length > 0) {
      await this.send();
    }
  }

  private async ask<T>(question: (api: coreMeshes.CoreApi) => Promise<T>): Promise<T | undefined> {
    const { findLeader, log, mesh } = this.options;
    const leader = findLeader();
    if (leader === undefined || this.isStopped) {
      return undefined;
    }
    try {
      return await question(mesh.get(leader));
    } catch (err) {
      log.debug({ step: 'suspects', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
