import * as crypto from 'node:crypto';

import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as suspectRelayClients from './suspect-relay-client.js';

/** Timeout of a report or a synchronization with the leader, in milliseconds; short, because calls wait for reports. */
const REQUEST_TIMEOUT_MS = 60;

/** How long a suspect waits for a leader that does not answer, in milliseconds; about as long as an election. */
const PERMIT_TIMEOUT_MS = 1_000;

/** Pause before an unanswered permit request is sent again, in milliseconds. */
const PERMIT_RETRY_MS = 200;

/** Maximum number of permit requests without a usable answer that are kept; the oldest is dropped first. */
const MAX_UNANSWERED = 1_000;

/** Pause before reports that no leader has received are sent again, in milliseconds. */
const REPORT_RETRY_MS = 100;

/** Maximum number of reports kept for a leader that does not answer; the oldest is dropped first. */
const MAX_REPORTS = 1_000;

/** The term value before the first contact with a leader. */
export const NO_TERM = -1;

/** A permit request: the digest of the call and the id of the request. */
interface PermitRequest {
  readonly digest: string;
  readonly permitId: string;
}

/** Dependencies of the suspect client. */
export interface SuspectClientOptions {
  readonly mesh: coreMeshes.CorePeers;
  readonly findLeader: () => string | undefined;
  readonly hostId: string;
  /**
   * Exchanges suspects with other hosts while there is no leader; if omitted, this host uses only its own ledger then.
   */
  readonly relays?: suspectRelayClients.SuspectRelayClient;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Shares this host's suspects with all others through the leader. A new leader may lack them, so this host sends all of
 * its suspects before it applies that leader's updates. Thus suspects survive every change of the leader.
 */
export class SuspectClient {
  private ledger: routing.CrashLedger | undefined;
  private reports: routing.SuspectRun[] = [];
  private synchronizedTerm = NO_TERM;
  private cursor = { term: NO_TERM, revision: -1 };
  /** Ids of permit requests without a usable answer, by call digest. */
  private readonly unansweredIds = new Map<string, string>();
  /** The request that each permit answers. */
  private readonly requestsByPermit = new WeakMap<routing.Permit, PermitRequest>();
  private sendingReports: Promise<boolean> | undefined;
  private isRetryScheduled = false;
  private isStopped = false;

  public constructor(private readonly options: SuspectClientOptions) {}

  /** Sets the ledger of this host's suspects, before anything is shared, and starts the relay client. */
  public attach(ledger: routing.CrashLedger): void {
    const { clock, log, relays } = this.options;
    this.ledger = ledger;
    // One core host may not have all suspects, so its changes never remove entries that it lacks.
    const apply = (changes: routing.SuspectChanges) =>
      ledger.apply({ ...changes, isWhole: false }, clock.now());
    schemas.runInBackground(async () => relays?.run(apply), { log, step: 'relay-suspects' });
  }

  /** Returns the term and revision of the last updates applied. */
  public getCursor(): procedures.SuspectCursor {
    return this.cursor;
  }

  /** Applies a leader's updates about the suspects of all hosts. */
  public applyUpdates({ changes, term }: procedures.SuspectUpdates): void {
    if (this.synchronizedTerm === NO_TERM && this.ledger?.size === 0) {
      // A host that has just started has no suspects to send. It becomes ready with this answer, so it must apply it
      // now.
      this.synchronizedTerm = term;
    }
    if (term !== this.synchronizedTerm) {
      const { log } = this.options;
      schemas.runInBackground(() => this.sendSuspects(term), { log, step: 'share-suspects' });
      return;
    }
    const now = this.options.clock.now();
    this.ledger?.apply(changes, now);
    // The leader has not received these process ends yet, so its changes may have removed them from the ledger.
    this.reports.forEach((run) => {
      if (run.kind === 'ended') {
        this.ledger?.recordProcessEnd(run.digest, run.end, now);
      }
    });
    this.cursor = { term, revision: changes.revision };
  }

  /** Merges the calls that are quarantined in the replicated log, before the first contact with a leader. */
  public applyQuarantined(all: readonly routing.SuspectFacts[]): void {
    this.ledger?.merge(all, this.options.clock.now());
  }

  /** Reports the outcome of a run to the leader; repeats it until a leader has received it. */
  public report(run: routing.SuspectRun): void {
    this.reports = [...this.reports, run].slice(-MAX_REPORTS);
    const { log } = this.options;
    schemas.runInBackground(() => this.flushReports(), { log, step: 'report-suspects' });
  }

  /**
   * Requests a permit to send a suspect to an upstream; undefined if neither the leader nor a relay answers. A request
   * that is repeated after a missing answer keeps its id, since the leader may already have counted the send.
   */
  public async requestPermit(
    req: Pick<procedures.SuspectPermitReq, 'digest' | 'mayShare' | 'processId'>,
  ): Promise<routing.Permit | undefined> {
    const { digest } = req;
    const permitId = this.unansweredIds.get(digest) ?? crypto.randomUUID();
    this.unansweredIds.delete(digest);
    const { hostId } = this.options;
    const facts = this.ledger?.find(digest);
    const permit = await this.requestUntilAnswered({ ...req, hostId, permitId, facts });
    if (permit === undefined || permit.kind === 'refused') {
      this.keepRequest({ digest, permitId });
    } else {
      this.requestsByPermit.set(permit, { digest, permitId });
    }
    return permit;
  }

  /** Drops an unanswered request, because its call is sent without the leader's permit. */
  public dropPermitRequest(digest: string): void {
    this.unansweredIds.delete(digest);
  }

  /**
   * Keeps the id of a permit whose call reached no upstream for the next request, since the leader has counted the
   * send.
   */
  public keepUnusedPermit(permit: routing.Permit): void {
    const request = this.requestsByPermit.get(permit);
    this.requestsByPermit.delete(permit);
    if (request !== undefined) {
      this.keepRequest(request);
    }
  }

  /** Stops all tasks. */
  public stop(): void {
    this.isStopped = true;
    this.options.relays?.stop();
  }

  private keepRequest({ digest, permitId }: PermitRequest): void {
    this.unansweredIds.delete(digest);
    this.unansweredIds.set(digest, permitId);
    if (this.unansweredIds.size > MAX_UNANSWERED) {
      const [oldest] = this.unansweredIds.keys();
      this.unansweredIds.delete(oldest!);
    }
  }

  /**
   * Repeats the request to the leader, and sends it to the relays when the leader does not answer; returns the first
   * answer.
   */
  private async requestUntilAnswered(
    req: procedures.SuspectPermitReq,
  ): Promise<routing.Permit | undefined> {
    const { clock } = this.options;
    const deadlineAt = clock.now() + PERMIT_TIMEOUT_MS;
    const pending: Promise<routing.Permit | undefined>[] = [];
    for (;;) {
      pending.push(this.requestFromLeader(req, deadlineAt - clock.now()));
      const pause = clock.sleep(PERMIT_RETRY_MS);
      const permit = (await findAnswer(pending, pause)) ?? (await this.requestFromRelays(req));
      if (permit !== undefined || this.isStopped) {
        return permit;
      }
      await pause;
      if (clock.now() + PERMIT_RETRY_MS > deadlineAt) {
        return undefined;
      }
    }
  }

  /** Sends the reports first; without them a relay would take a run that has ended for a current one. */
  private async requestFromRelays(
    req: procedures.SuspectPermitReq,
  ): Promise<routing.Permit | undefined> {
    const { relays } = this.options;
    await relays?.report(this.reports);
    return relays?.requestPermit(req);
  }

  private async requestFromLeader(
    req: procedures.SuspectPermitReq,
    deadlineMs: number,
  ): Promise<routing.Permit | undefined> {
    while (this.reports.length > 0) {
      if (!(await this.flushReports())) {
        return undefined;
      }
    }
    return this.request((api) => api.permitSuspect.mutate(req, { context: { deadlineMs } }));
  }

  /** Sends all suspects of this host to a new leader. */
  private async sendSuspects(term: number): Promise<void> {
    const { hostId } = this.options;
    const suspects = this.ledger?.listSuspects() ?? [];
    const res = await this.request((api) =>
      api.shareSuspects.mutate(
        { hostId, suspects },
        { context: { deadlineMs: REQUEST_TIMEOUT_MS } },
      ),
    );
    if (res?.term === term) {
      this.synchronizedTerm = term;
    }
  }

  private flushReports(): Promise<boolean> {
    this.sendingReports ??= this.sendReports().finally(() => {
      this.sendingReports = undefined;
    });
    return this.sendingReports;
  }

  private async sendReports(): Promise<boolean> {
    const { hostId } = this.options;
    const runs = this.reports;
    const res = await this.request((api) =>
      api.reportSuspects.mutate({ hostId, runs }, { context: { deadlineMs: REQUEST_TIMEOUT_MS } }),
    );
    const isTaken = res !== undefined || (await this.options.relays?.report(runs)) === true;
    if (isTaken) {
      const sent = new Set(runs);
      this.reports = this.reports.filter((run) => !sent.has(run));
      return true;
    }
    const { log } = this.options;
    schemas.runInBackground(() => this.scheduleRetry(), { log, step: 'report-suspects' });
    return false;
  }

  /**
   * Schedules at most one retry at a time: each permit request sends reports as well, and a network partition may last
   * for minutes.
   */
  private async scheduleRetry(): Promise<void> {
    if (this.isRetryScheduled) {
      return;
    }
    this.isRetryScheduled = true;
    await this.options.clock.sleep(REPORT_RETRY_MS);
    this.isRetryScheduled = false;
    if (!this.isStopped && this.reports.length > 0) {
      await this.flushReports();
    }
  }

  private async request<T>(send: (api: coreMeshes.CoreApi) => Promise<T>): Promise<T | undefined> {
    const { findLeader, log, mesh } = this.options;
    const leader = findLeader();
    if (leader === undefined || this.isStopped) {
      return undefined;
    }
    try {
      return await send(mesh.get(leader));
    } catch (err) {
      log.debug({ step: 'suspects', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }
}

/** Returns the first answer; undefined if the pause ends before one arrives or all requests have failed. */
async function findAnswer<T>(
  pending: readonly Promise<T | undefined>[],
  pause: Promise<void>,
): Promise<T | undefined> {
  const answers = pending.map(async (request) => {
    const answer = await request;
    if (answer === undefined) {
      throw new Error('no answer');
    }
    return answer;
  });
  // A failed request was logged where it was sent.
  const first = Promise.any(answers).catch(() => undefined);
  return Promise.race([first, pause.then(() => undefined)]);
}
