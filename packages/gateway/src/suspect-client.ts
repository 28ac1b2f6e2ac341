import * as crypto from 'node:crypto';

import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as relayClients from './suspect-relay-client.js';

/** How long the leader may take to answer, in milliseconds: a call waits for it. */
const ANSWER_MS = 60;

/**
 * How long a suspect waits for a leader that does not answer, in milliseconds; an election takes about as long.
 */
const PERMIT_MS = 1_000;

/** The pause before a question that was not answered yet is asked again, in milliseconds. */
const ASK_AGAIN_MS = 200;

/** How many questions without a usable answer are remembered; the oldest goes first. */
const MOST_QUESTIONS = 1_000;

/** The pause before something that the leader did not take is told again, in milliseconds. */
const AGAIN_MS = 100;

/** How many reports are kept for a leader that does not answer; the oldest goes first. */
const MOST_REPORTS = 1_000;

/** Stands for the term of a leader where none was heard yet. */
export const NO_TERM = -1;

/** A question for a permit: the call, and the question's own id. */
interface PermitQuestion {
  readonly digest: string;
  readonly permitId: string;
}

/** What the link needs. */
export interface SuspectClientOptions {
  readonly mesh: coreMeshes.CorePeers;
  readonly findLeader: () => string | undefined;
  readonly hostId: string;
  /** Reaches other hosts while there is no leader; left out, each host is by itself then. */
  readonly relays?: relayClients.SuspectRelayClient;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Shares what this host knows of suspects with all others, by way of the leader. A new leader knows nothing: it is told
 * everything first, and only then is its word taken, so that what was known outlives every leader.
 */
export class SuspectClient {
  private ledger: routing.CrashLedger | undefined;
  private reports: procedures.SuspectOutcome[] = [];
  private informedTerm = NO_TERM;
  private known = { term: NO_TERM, revision: -1 };
  /** The ids of questions for a permit that had no usable answer, by the call's digest. */
  private readonly unanswered = new Map<string, string>();
  /** The question that each permit answers. */
  private readonly granted = new WeakMap<routing.Permit, PermitQuestion>();
  private sending: Promise<boolean> | undefined;
  private isWaiting = false;
  private isStopped = false;

  public constructor(private readonly options: SuspectClientOptions) {}

  /** Says what this host knows by, before anything is shared. */
  public attach(ledger: routing.CrashLedger): void {
    const { clock, relays } = this.options;
    this.ledger = ledger;
    // What one core host has been told need not be all there is, so nothing that is known here goes.
    void relays?.run((changes) => ledger.apply({ ...changes, isWhole: false }, clock.now()));
  }

  /** What this host has last learned. */
  public getReceivedRevision(): procedures.SuspectCursor {
    return this.known;
  }

  /** Takes what a leader tells of all hosts' suspects. */
  public applyUpdates({ changes, term }: procedures.SuspectUpdates): void {
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
        this.ledger?.recordProcessEnd(run.digest, run.end, now);
      }
    });
    this.known = { term, revision: changes.revision };
  }

  /** Takes what is quarantined in the log, before this host has heard a leader. */
  public applyQuarantined(all: readonly routing.SuspectFacts[]): void {
    this.ledger?.merge(all, this.options.clock.now());
  }

  /** Tells the leader what a run has shown; again and again until some leader has it. */
  public report(run: procedures.SuspectOutcome): void {
    this.reports = [...this.reports, run].slice(-MOST_REPORTS);
    void this.send();
  }

  /**
   * Whether a suspect may be sent to an upstream; nothing where nobody answers that may know of other hosts' runs. Asked
   * again after no answer came, the question has the same id: the leader may have counted the send already.
   */
  public async requestPermit(
    req: Pick<procedures.SuspectPermitReq, 'digest' | 'mayShare' | 'processId'>,
  ): Promise<routing.Permit | undefined> {
    const { digest } = req;
    const permitId = this.unanswered.get(digest) ?? crypto.randomUUID();
    this.unanswered.delete(digest);
    const { hostId } = this.options;
    const facts = this.ledger?.find(digest);
    const permit = await this.askUntilAnswered({ ...req, hostId, permitId, facts });
    if (permit === undefined || permit.kind === 'refused') {
      this.keepQuestion({ digest, permitId });
    } else {
      this.granted.set(permit, { digest, permitId });
    }
    return permit;
  }

  /** Forgets a question without an answer: its call is sent all the same. */
  public dropPermitRequest(digest: string): void {
    this.unanswered.delete(digest);
  }

  /** Keeps a permit that reached no upstream for the next question: the leader has counted its send. */
  public keepUnusedPermit(permit: routing.Permit): void {
    const question = this.granted.get(permit);
    this.granted.delete(permit);
    if (question !== undefined) {
      this.keepQuestion(question);
    }
  }

  /** Ends every task. */
  public stop(): void {
    this.isStopped = true;
    this.options.relays?.stop();
  }

  private keepQuestion({ digest, permitId }: PermitQuestion): void {
    this.unanswered.delete(digest);
    this.unanswered.set(digest, permitId);
    if (this.unanswered.size > MOST_QUESTIONS) {
      const [oldest] = this.unanswered.keys();
      this.unanswered.delete(oldest!);
    }
  }

  /** Asks the leader again and again, and beside it whoever else can tell; the first answer counts. */
  private async askUntilAnswered(
    req: procedures.SuspectPermitReq,
  ): Promise<routing.Permit | undefined> {
    const { clock } = this.options;
    const end = clock.now() + PERMIT_MS;
    const asked: Promise<routing.Permit | undefined>[] = [];
    for (;;) {
      asked.push(this.askLeader(req, end - clock.now()));
      const pause = clock.sleep(ASK_AGAIN_MS);
      const permit = (await findAnswer(asked, pause)) ?? (await this.askRelays(req));
      if (permit !== undefined || this.isStopped) {
        return permit;
      }
      await pause;
      if (clock.now() + ASK_AGAIN_MS > end) {
        return undefined;
      }
    }
  }

  /** Reports go first; without them a relay takes a run that is over for one under way. */
  private async askRelays(req: procedures.SuspectPermitReq): Promise<routing.Permit | undefined> {
    const { relays } = this.options;
    await relays?.report(this.reports);
    return relays?.requestPermit(req);
  }

  private async askLeader(
    req: procedures.SuspectPermitReq,
    deadlineMs: number,
  ): Promise<routing.Permit | undefined> {
    while (this.reports.length > 0) {
      if (!(await this.send())) {
        return undefined;
      }
    }
    return this.ask((api) => api.permitSuspect.mutate(req, { context: { deadlineMs } }));
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
    const isTaken = res !== undefined || (await this.options.relays?.report(runs)) === true;
    if (isTaken) {
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

/** The first answer; nothing when the pause is over before one came, or all questions have failed. */
async function findAnswer<T>(
  asked: readonly Promise<T | undefined>[],
  pause: Promise<void>,
): Promise<T | undefined> {
  const answers = asked.map(async (question) => {
    const answer = await question;
    if (answer === undefined) {
      throw new Error('no answer');
    }
    return answer;
  });
  // A question that failed was logged where it was asked.
  const first = Promise.any(answers).catch(() => undefined);
  return Promise.race([first, pause.then(() => undefined)]);
}
