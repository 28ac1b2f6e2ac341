import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import * as verdictTasks from './verdict-task.js';

/**
 * Number of process ends of a part from which calls with it are sent one after the other, until an answer begins: sent
 * at once, as after a common wait, they would end as many engines as there are calls.
 */
const MIN_TURN_ENDS = routing.MIN_PART_ENDS - 1;

/** Maximum time for which a call waits for the others that share a suspect part with it, in milliseconds. */
const MAX_TURN_MS = 1_000;

/** A call as the records of suspects know it. */
export interface RunSubject {
  readonly requestId: string;
  /** Returns the digest that identifies repetitions of the call. */
  readonly getDigest: () => string;
  /** Returns the ids of the parts of its prompt that other calls may share. */
  readonly listPartIds: () => readonly string[];
}

/** Shares suspects with the other hosts. */
export interface SuspectSharing {
  /** Reports the outcome of a run. */
  report(run: routing.SuspectRun): void;
  /** Requests a permit to send a suspect to a process; undefined if no other host answers. */
  requestPermit(req: {
    readonly digest: string;
    readonly processId: string;
    readonly mayShare: boolean;
  }): Promise<routing.Permit | undefined>;
}

/** Dependencies of the part guard. */
export interface PartGuardOptions {
  readonly ledger: routing.CrashLedger;
  readonly sharing: SuspectSharing;
  /** Time for which this host leaves the decision which part to bar to others, in milliseconds. */
  readonly patienceMs: number;
  /** Called with the parts that this host bars. */
  readonly onBarred?: (partIds: readonly string[]) => void;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** The answer to the request to send a call with barred parts. */
export interface TrialDecision {
  /** The permits for its barred parts, all of which allow it if `refused` and `isElsewhere` are not set. */
  readonly permits: readonly routing.Permit[];
  readonly refused?: routing.PermitRefusal;
  /** Whether another suspect runs on the process. */
  readonly isElsewhere: boolean;
}

/** A call with suspect parts in progress. */
interface Turn {
  readonly requestId: string;
  /** When others go on without its outcome, in milliseconds. */
  readonly endsAt: number;
  readonly ended: Promise<void>;
  readonly end: () => void;
}

/** Stops calls whose prompts share a part that crashes the engines which begin an answer on it. */
export class PartGuard {
  private readonly verdicts: verdictTasks.VerdictTask;
  /** The call in progress by suspect part; it has not begun its answer. */
  private readonly turns = new Map<string, Turn>();

  public constructor(private readonly options: PartGuardOptions) {
    const { clock, ledger, log, onBarred, patienceMs } = options;
    this.verdicts = new verdictTasks.VerdictTask({
      getLedger: () => ledger,
      clock,
      log,
      patienceMs,
      onBarred: (partIds) => {
        log.info({ decision: 'part-barred', partIds, isOwn: true });
        onBarred?.(partIds);
      },
    });
  }

  /** Returns the refusal of a call by the barred parts of its prompt. */
  public findRefusal(subject: RunSubject): routing.PermitRefusal | undefined {
    const { clock, ledger } = this.options;
    return ledger.hasParts ? ledger.findPartRefusal(subject.listPartIds(), clock.now()) : undefined;
  }

  /** Returns the barred parts of a call's prompt; the call may only be sent as a trial of them. */
  public listBarred(subject: RunSubject): string[] {
    const { ledger } = this.options;
    return ledger.hasParts ? ledger.listBarred(subject.listPartIds()) : [];
  }

  /**
   * Waits until no other call with the same suspect parts is without an answer, and no decision on them is due; then it
   * is the turn of this call, until `endTurn`. Doesn't wait for long, since the parts may be sound.
   */
  public async awaitTurn(subject: RunSubject): Promise<void> {
    const { clock, ledger } = this.options;
    if (!ledger.hasParts) {
      return;
    }
    const endsAt = clock.now() + MAX_TURN_MS;
    for (;;) {
      const partIds = this.listTurnParts(subject);
      const turn = this.findTurn(partIds);
      const ended = turn?.ended ?? this.findDecision(partIds);
      const waitMs = Math.min(endsAt, turn?.endsAt ?? endsAt) - clock.now();
      if (ended === undefined || waitMs <= 0) {
        this.beginTurn(subject, partIds);
        return;
      }
      await Promise.race([ended, clock.sleep(waitMs)]);
    }
  }

  /** Ends the turn of a call: its answer has begun, or its run has ended. */
  public endTurn({ requestId }: RunSubject): void {
    if (this.turns.size === 0) {
      return;
    }
    [...this.turns]
      .filter(([, turn]) => turn.requestId === requestId)
      .forEach(([partId, turn]) => {
        this.turns.delete(partId);
        turn.end();
      });
  }

  /** Requests a trial of the barred parts of a call on a process. */
  public async requestTrial(
    subject: RunSubject,
    processId: string,
    mayShare: boolean,
  ): Promise<TrialDecision> {
    const { clock, ledger, sharing } = this.options;
    const refused = this.findRefusal(subject);
    if (refused !== undefined) {
      return { permits: [], refused, isElsewhere: false };
    }
    const permits: routing.Permit[] = [];
    for (const digest of this.listBarred(subject)) {
      const permit =
        (await sharing.requestPermit({ digest, processId, mayShare })) ??
        ledger.permitWithoutLeader(digest, processId, mayShare, clock.now());
      if (permit.kind === 'refused') {
        return { permits, refused: permit, isElsewhere: false };
      }
      permits.push(permit);
      if (permit.kind !== 'go') {
        return { permits, isElsewhere: true };
      }
    }
    return { permits, isElsewhere: false };
  }

  /** Records that a process exited before a call had written its answer for long. */
  public recordEnd(subject: RunSubject, processId: string): void {
    const { clock, ledger, sharing } = this.options;
    const calls = [subject.getDigest()];
    subject.listPartIds().forEach((digest) => {
      const end = { processId, isEarly: true, wasAlone: false, calls };
      ledger.recordProcessEnd(digest, end, clock.now());
      sharing.report({ kind: 'ended', digest, end });
    });
    this.verdicts.schedule();
  }

  /** Bars parts when that is due, after other hosts have reported process ends. */
  public decideLater(): void {
    this.verdicts.schedule();
  }

  /** Records that an engine wrote an answer on the parts of a call's prompt, so that none of them is the cause. */
  public recordAnswer(subject: RunSubject): void {
    const { ledger, log, sharing } = this.options;
    if (!ledger.hasParts) {
      return;
    }
    subject
      .listPartIds()
      .filter((digest) => ledger.has(digest))
      .forEach((digest) => {
        if (ledger.getStanding(digest) === 'quarantined') {
          log.info({ decision: 'part-freed', request: subject.requestId, digest });
        }
        ledger.clear(digest);
        sharing.report({ kind: 'served', digest });
      });
  }

  /** Records that a trial ended without a conclusion. */
  public recordInconclusive(subject: RunSubject, processId: string): void {
    const { ledger, sharing } = this.options;
    this.listBarred(subject).forEach((digest) => {
      ledger.recordInconclusiveRun(digest, processId);
      sharing.report({ kind: 'over', digest, processId });
    });
  }

  private listTurnParts(subject: RunSubject): string[] {
    const { ledger } = this.options;
    return subject
      .listPartIds()
      .filter((id) => (ledger.find(id)?.ends.length ?? 0) >= MIN_TURN_ENDS)
      .filter((id) => ledger.getStanding(id) !== 'quarantined');
  }

  private findDecision(partIds: readonly string[]): Promise<void> | undefined {
    const { ledger } = this.options;
    const isOpen = partIds.some((id) => routing.isSufficient(ledger.find(id)?.ends ?? []));
    return isOpen ? this.verdicts.findDecision() : undefined;
  }

  private findTurn(partIds: readonly string[]): Turn | undefined {
    const now = this.options.clock.now();
    const turns = partIds.flatMap((id) => this.turns.get(id) ?? []);
    return turns.find(({ endsAt }) => endsAt > now);
  }

  private beginTurn({ requestId }: RunSubject, partIds: readonly string[]): void {
    const endsAt = this.options.clock.now() + MAX_TURN_MS;
    let end = () => {};
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    partIds.forEach((partId) => this.turns.set(partId, { requestId, endsAt, ended, end }));
  }
}
