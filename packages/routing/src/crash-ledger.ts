import * as clearedEnds from './cleared-ends.js';
import * as partVerdicts from './part-verdict.js';
import * as suspects from './suspect.js';

/**
 * Maximum number of calls recorded. Each has cost an upstream its process, so a caller cannot fill
 * the ledger cheaply.
 */
const MAX_CALLS = 1_000;

/**
 * Maximum number of cleared suspects kept for hosts that ask for changes. Hosts that are further
 * behind receive the whole list.
 */
const MAX_CLEARED = 500;

/**
 * How long other suspects are kept away from a process on which a suspect runs, in milliseconds. A
 * faulty call ends its upstream when it starts to run, that is after queuing for a slot and after
 * its prefill.
 */
const TRIAL_MS = 1_500;

/**
 * Delays after which a quarantined call may be retried once, in milliseconds. By the first delay
 * all hosts know of any other faulty call that may have made a good one look faulty; by the second,
 * engines that failed at the same time have restarted. Each retry of a faulty call costs an
 * upstream and everything that runs on it, so there are no further ones.
 */
const RETRY_DELAYS_MS = [3_000, 10_000] as const;

/**
 * The same delays for a barred part of prompts. The first trial at once is only for a part that may have been at the
 * ends by chance, because another barred part explains them.
 */
const PART_TRIAL_DELAYS_MS = [0, 1_500, 10_000] as const;

/** Number of trials that a part has used up when it is barred as the best explanation of the ends. */
const BAD_PART_CHANCES = 1;

/** Number of process ends from which a part that is not barred makes the trial of another one inconclusive. */
const MIXED_TRIAL_ENDS = 2;

/**
 * Time from the third process end of a part until the part may be barred, in milliseconds. Meanwhile all hosts report
 * the calls that they lost there, and the answers that are written on other parts.
 */
const VERDICT_DELAY_MS = 250;

/**
 * Additional delay before a call with other suspect parts is sent as the trial of a barred part, in milliseconds: its
 * end would show nothing about either part.
 */
const MIXED_TRIAL_DELAY_MS = 3_000;

/** Retry delay reported for a call that will not be sent again, in milliseconds. */
const PERMANENT_REFUSAL_RETRY_MS = 300_000;

/** The changes since the revision that a host already has. */
export interface SuspectChanges {
  readonly revision: number;
  /** Whether `suspects` is the complete list, so that the host discards any suspect not in it. */
  readonly isWhole: boolean;
  readonly suspects: readonly suspects.SuspectFacts[];
  readonly cleared: readonly string[];
}

/**
 * Whether a suspect call may be sent to an upstream. `isAlone` says, where it is known, that no
 * other suspect runs there.
 */
export type Permit =
  | { readonly kind: 'go'; readonly isAlone?: boolean }
  /**
   * Another suspect runs there: if the upstream ended, the cause could not be attributed to either.
   */
  | { readonly kind: 'elsewhere' }
  /**
   * Another run of this call is in progress there. On a single upstream a faulty call can end no
   * more than that one, and a good call is not refused.
   */
  | { readonly kind: 'there'; readonly processId: string; readonly isAlone?: boolean }
  | PermitRefusal;

/** A quarantined call that must not be sent now. */
export interface PermitRefusal {
  readonly kind: 'refused';
  /** Delay after which the caller may try again, in milliseconds. */
  readonly retryMs: number;
}

/** A run of a suspect under observation. */
interface Trial {
  readonly processId: string;
  readonly expiresAt: number;
  readonly permitId: string | undefined;
  /** Whether no other suspect runs on the process. */
  isAlone: boolean;
}

/** The state of one call. */
interface Entry {
  facts: suspects.SuspectFacts;
  /** When the call was quarantined or last sent since then, on this host's clock. */
  retryBaseAt: number | undefined;
  trial: Trial | undefined;
  /**
   * Id of the permit request that allowed a finished run; a delayed duplicate of that request does
   * not start a new trial.
   */
  finishedPermitId: string | undefined;
  /** When the part may be barred, on this host's clock; undefined while it was at too few ends, and for calls. */
  verdictAt: number | undefined;
  /** Revision of the last change published to hosts; 0 while the call is only watched. */
  revision: number;
}

/**
 * Records the calls, and the parts of prompts, during whose runs upstream processes ended. Everything
 * that runs on an upstream ends with it, and most of those calls are not the cause, so a single end
 * only makes a call a suspect. From then on its runs are kept apart from other suspects, so that the
 * next end can be attributed, and a complete answer clears it at any time. A call is quarantined
 * after two ends if no other suspect ran during at least one of them, and after three ends in any
 * case. A quarantined call is sent twice more, so that a good call can be cleared, and never again
 * after that. An end late in a run counts half.
 *
 * A part of prompts is recorded at the ends of calls that had not written an answer for long, and
 * cleared by any answer that is written on it. Calls with a suspect part are sent as others are. The
 * part that explains the ends best is barred, and no call with it is sent except for two trials.
 */
export class CrashLedger {
  /** Ordered by last change, the most recent last. */
  private readonly entries = new Map<string, Entry>();
  private cleared: { readonly digest: string; readonly revision: number }[] = [];
  private readonly clearedEnds = new clearedEnds.ClearedEnds();
  /** Number of parts among the entries. */
  private partCount = 0;
  private revision = 0;

  /** Number of calls and parts recorded. */
  public get size(): number {
    return this.entries.size;
  }

  /** Whether any call is recorded. */
  public get hasCalls(): boolean {
    return this.entries.size > this.partCount;
  }

  /** Whether any part of prompts is recorded. */
  public get hasParts(): boolean {
    return this.partCount > 0;
  }

  /** Whether the ledger has an entry for a call. */
  public has(digest: string): boolean {
    return this.entries.has(digest);
  }

  /** Returns the recorded facts of a call. */
  public find(digest: string): suspects.SuspectFacts | undefined {
    return this.entries.get(digest)?.facts;
  }

  /** Returns the standing of a call. */
  public getStanding(digest: string): suspects.Standing {
    const entry = this.entries.get(digest);
    return entry === undefined ? 'free' : suspects.getStanding(entry.facts);
  }

  /**
   * Records that a process ended during a call. A repeated report counts once. Returns whether
   * anything changed. `knowsAllRuns` says that for some time every suspect has been sent with a
   * permit of this ledger.
   */
  public recordProcessEnd(
    digest: string,
    end: suspects.ProcessEnd,
    now: number,
    knowsAllRuns = false,
  ): boolean {
    const entry = this.entries.get(digest) ?? createEntry(digest);
    if (suspects.isPartId(digest)) {
      return this.recordPartEnd(entry, end, now);
    }
    const { trial } = entry;
    const isTrialEnd = trial?.processId === end.processId;
    // Another suspect may have been permitted there after the host received a permit that said there
    // was none.
    const wasAlone = isTrialEnd
      ? trial.isAlone
      : end.wasAlone || (knowsAllRuns && this.wasOnlySuspect(entry.facts, end.processId, now));
    const facts = suspects.addEnds(entry.facts, [{ ...end, wasAlone }]);
    endTrial(entry, end.processId);
    return this.update(entry, facts, now);
  }

  /**
   * Removes a call from the ledger because it was answered completely, or a part of prompts on which
   * an answer was written. Returns whether it had an entry.
   */
  public clear(digest: string): boolean {
    const entry = this.entries.get(digest);
    if (entry === undefined) {
      return false;
    }
    this.forget(digest);
    if (entry.revision > 0) {
      this.revision += 1;
      this.cleared.push({ digest, revision: this.revision });
      this.cleared = this.cleared.slice(-MAX_CLEARED);
    }
    return true;
  }

  /** Records that a run of a suspect on a process is over without any conclusion. */
  public recordInconclusiveRun(digest: string, processId: string): void {
    const entry = this.entries.get(digest);
    if (entry !== undefined) {
      endTrial(entry, processId);
    }
  }

  /**
   * Decides whether a call may be sent to a process now. `mayShare` is set if no other upstream is
   * available for it. `permitId` identifies the request and stays the same when the request is
   * repeated after a lost answer.
   */
  public permit(
    digest: string,
    processId: string,
    mayShare: boolean,
    now: number,
    permitId?: string,
  ): Permit {
    const entry = this.entries.get(digest);
    if (entry === undefined || !needsPermit(entry)) {
      return { kind: 'go' };
    }
    // The answer to this request was lost. Refusing it now would use up a retry that never took
    // place.
    const isRepeatedRequest = permitId !== undefined && entry.facts.permitId === permitId;
    const isNewRetry = isQuarantined(entry) && !isRepeatedRequest;
    if (permitId !== undefined && entry.finishedPermitId === permitId && !isNewRetry) {
      return { kind: 'go' };
    }
    const refusal = isNewRetry ? findRefusal(entry, now) : undefined;
    if (refusal !== undefined) {
      return refusal;
    }
    if (entry.trial !== undefined && entry.trial.expiresAt > now) {
      const isSameProcess = entry.trial.processId === processId;
      return isSameProcess ? { kind: 'go' } : { kind: 'there', processId: entry.trial.processId };
    }
    const others = this.listTrialsAt(processId, now);
    if (others.length > 0 && !mayShare) {
      return { kind: 'elsewhere' };
    }
    others.forEach((trial) => {
      trial.isAlone = false;
    });
    entry.trial = { processId, expiresAt: now + TRIAL_MS, permitId, isAlone: others.length === 0 };
    entry.retryBaseAt = isQuarantined(entry) ? now : entry.retryBaseAt;
    if (isNewRetry) {
      this.update(entry, { ...entry.facts, chances: entry.facts.chances + 1, permitId }, now);
    }
    return { kind: 'go' };
  }

  /** Adds to a permit whether the suspect is the only one on the process. */
  public addIsolation(permit: Permit, digest: string): Permit {
    if (permit.kind !== 'go' && permit.kind !== 'there') {
      return permit;
    }
    return { ...permit, isAlone: this.entries.get(digest)?.trial?.isAlone ?? false };
  }

  /**
   * Returns the refusal of a quarantined call; `undefined` for other calls and when a retry is due.
   */
  public findQuarantineRefusal(digest: string, now: number): PermitRefusal | undefined {
    const entry = this.entries.get(digest);
    return entry !== undefined && isQuarantined(entry) ? findRefusal(entry, now) : undefined;
  }

  /**
   * Returns the refusal of a call by the barred parts of its prompt; `undefined` if none is barred, or
   * if the call may be sent as a trial of those that are. `partIds` names the shared parts of its
   * prompt.
   */
  public findPartRefusal(partIds: readonly string[], now: number): PermitRefusal | undefined {
    const entries = partIds.flatMap((id) => this.entries.get(id) ?? []);
    const barred = entries.filter(isQuarantined);
    const refusals = barred.flatMap((entry) => findRefusal(entry, now) ?? []);
    const [longest] = refusals.sort((a, b) => b.retryMs - a.retryMs);
    const mixed = entries.filter(
      (entry) => isQuarantined(entry) || entry.facts.ends.length >= MIXED_TRIAL_ENDS,
    );
    if (longest !== undefined || mixed.length <= 1) {
      return longest;
    }
    const waits = barred.map((entry) => getTrialAt(entry, now) + MIXED_TRIAL_DELAY_MS - now);
    const retryMs = Math.max(0, ...waits);
    return retryMs > 0 ? { kind: 'refused', retryMs } : undefined;
  }

  /** Whether a part was cleared after all process ends that another host has recorded of it. */
  public isCleared(facts: suspects.SuspectFacts): boolean {
    return this.clearedEnds.hasAll(facts.digest, listProcessIds(facts));
  }

  /** Returns which parts of a prompt are barred. */
  public listBarred(partIds: readonly string[]): string[] {
    return partIds.filter((id) => this.getStanding(id) === 'quarantined');
  }

  /**
   * Bars the parts of prompts that explain process ends best, and those that were at as many ends for which another
   * barred part is the better explanation: several parts may be bad at once, and where engines end faster than they
   * answer, only a trial shows which. Returns their ids.
   */
  public barParts(now: number): string[] {
    const barred: string[] = [];
    for (;;) {
      const found = partVerdicts.findBadPart(this.listParts());
      const entry = found && this.entries.get(found.digest);
      if (entry === undefined || !isVerdictDue(entry, now)) {
        break;
      }
      const chances = Math.max(entry.facts.chances, BAD_PART_CHANCES);
      this.update(entry, { ...entry.facts, isBarred: true, chances }, now);
      barred.push(entry.facts.digest);
    }
    const others = this.listParts().flatMap(({ digest, ends, isBarred }) => {
      const entry = this.entries.get(digest)!;
      const isDue = isBarred !== true && isVerdictDue(entry, now);
      return isDue && partVerdicts.isSufficient(ends) ? [entry] : [];
    });
    others.forEach((entry) => this.update(entry, { ...entry.facts, isBarred: true }, now));
    return [...barred, ...others.map(({ facts }) => facts.digest)];
  }

  /** Returns when the first part of prompts may be barred after a given time; `undefined` if none is about to be. */
  public findVerdictTime(after: number): number | undefined {
    const times = [...this.entries.values()].flatMap(({ verdictAt }) =>
      verdictAt !== undefined && verdictAt > after ? [verdictAt] : [],
    );
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /**
   * Decides whether a call may be sent to a process while there is no leader. Quarantined calls are
   * refused, since their retries must be recorded in the replicated log first.
   */
  public permitWithoutLeader(
    digest: string,
    processId: string,
    mayShare: boolean,
    now: number,
  ): Permit {
    const permit = this.permitUnlessQuarantined(digest);
    return permit.kind === 'refused' ? permit : this.permit(digest, processId, mayShare, now);
  }

  /**
   * Permits every call that is not quarantined, on a host without contact with a leader. The host
   * does not know the runs of other hosts, and if each host retried a quarantined call by itself,
   * the call would be sent as many times as there are hosts.
   */
  public permitUnlessQuarantined(digest: string): Permit {
    const entry = this.entries.get(digest);
    return entry !== undefined && isQuarantined(entry)
      ? { kind: 'refused', retryMs: RETRY_DELAYS_MS[0] }
      : { kind: 'go' };
  }

  /**
   * Merges the facts of another host into the ledger; facts already recorded here are kept. Returns
   * whether anything changed.
   */
  public merge(all: readonly suspects.SuspectFacts[], now: number): boolean {
    return all
      .map((facts) => {
        if (this.isCleared(facts)) {
          return false;
        }
        const entry = this.entries.get(facts.digest) ?? createEntry(facts.digest);
        return this.update(entry, suspects.mergeFacts(entry.facts, facts), now);
      })
      .includes(true);
  }

  /** Applies the changes that a leader reports. */
  public apply({ cleared, isWhole, suspects: all }: SuspectChanges, now: number): void {
    if (isWhole) {
      const listed = new Set(all.map(({ digest }) => digest));
      [...this.entries]
        .filter(([digest, entry]) => isSuspect(entry) && !listed.has(digest))
        .forEach(([digest]) => this.remove(digest));
    }
    cleared.forEach((digest) => this.forget(digest));
    this.merge(all, now);
  }

  /** Returns all suspects, including quarantined calls. */
  public listSuspects(): suspects.SuspectFacts[] {
    return [...this.entries.values()].filter(isSuspect).map(({ facts }) => facts);
  }

  /**
   * Returns the changes to suspects since a revision, or all suspects if the revision is too old or
   * unknown. Calls that are only watched are left out: there is one for each run that ends with its
   * upstream, and hosts take no action on them.
   */
  public listChangesSince(revision: number): SuspectChanges {
    const oldest = this.cleared.length < MAX_CLEARED ? 0 : (this.cleared[0]?.revision ?? 0);
    const isWhole = revision < oldest || revision > this.revision;
    const since = isWhole ? -1 : revision;
    return {
      revision: this.revision,
      isWhole,
      suspects: [...this.entries.values()]
        .filter((entry) => entry.revision > since && isSuspect(entry))
        .map(({ facts }) => facts),
      cleared: this.cleared.filter((item) => item.revision > since).map(({ digest }) => digest),
    };
  }

  /** Returns the revision of the last change. */
  public getRevision(): number {
    return this.revision;
  }

  /**
   * Whether a suspect ended a process on which no other suspect ran. The run had no permit, because
   * its host did not know yet that the call was a suspect; the entries of the other calls show it
   * instead.
   */
  private wasOnlySuspect(facts: suspects.SuspectFacts, processId: string, now: number): boolean {
    const hasEnd = (ends: readonly suspects.ProcessEnd[]) =>
      ends.some((end) => end.processId === processId);
    if (suspects.getStanding(facts) === 'watched' || hasEnd(facts.ends)) {
      return false;
    }
    const hasOther = [...this.entries.values()].some(
      (other) =>
        other.facts.digest !== facts.digest &&
        !isPart(other.facts) &&
        other.facts.ends.length > 1 &&
        hasEnd(other.facts.ends),
    );
    return !hasOther && this.listTrialsAt(processId, now).length === 0;
  }

  private listParts(): suspects.SuspectFacts[] {
    return [...this.entries.values()].map(({ facts }) => facts).filter(isPart);
  }

  private recordPartEnd(entry: Entry, end: suspects.ProcessEnd, now: number): boolean {
    const { digest } = entry.facts;
    if (this.clearedEnds.hasAll(digest, [end.processId])) {
      return false;
    }
    const facts = suspects.addEnds(entry.facts, [end]);
    endTrial(entry, end.processId);
    return this.update(entry, facts, now);
  }

  private remove(digest: string): void {
    if (this.entries.delete(digest) && suspects.isPartId(digest)) {
      this.partCount -= 1;
    }
  }

  /** Removes a call or part that was cleared. */
  private forget(digest: string): void {
    const entry = this.entries.get(digest);
    this.remove(digest);
    if (entry !== undefined && isPart(entry.facts)) {
      this.clearedEnds.add(digest, listProcessIds(entry.facts));
    }
  }

  private update(entry: Entry, facts: suspects.SuspectFacts, now: number): boolean {
    if (suspects.areSame(entry.facts, facts)) {
      return false;
    }
    if (isPart(facts) && facts.chances > entry.facts.chances) {
      entry.retryBaseAt = now;
    }
    entry.facts = facts;
    if (isSuspect(entry)) {
      this.revision += 1;
      entry.revision = this.revision;
    }
    if (isQuarantined(entry)) {
      entry.retryBaseAt ??= now;
    }
    if (isPart(facts) && facts.ends.length >= partVerdicts.MIN_PART_ENDS) {
      // A part that was not barred at its verdict is judged again after each further end.
      const isPending = entry.verdictAt !== undefined && entry.verdictAt > now;
      entry.verdictAt = isPending ? entry.verdictAt : now + VERDICT_DELAY_MS;
    }
    this.remove(facts.digest);
    this.entries.set(facts.digest, entry);
    this.partCount += isPart(facts) ? 1 : 0;
    this.evictOverflow();
    return true;
  }

  /**
   * Drops the call with the lowest weight first, so that new suspects do not displace quarantined
   * calls.
   */
  private evictOverflow(): void {
    if (this.entries.size <= MAX_CALLS) {
      return;
    }
    const all = [...this.entries.values()].map(({ facts }) => facts);
    const [first] = all.sort((a, b) => suspects.getWeight(a) - suspects.getWeight(b));
    this.clear(first!.digest);
  }

  private listTrialsAt(processId: string, now: number): Trial[] {
    return [...this.entries.values()].flatMap(({ trial }) =>
      trial !== undefined && trial.processId === processId && trial.expiresAt > now ? [trial] : [],
    );
  }
}

function endTrial(entry: Entry, processId: string): void {
  if (entry.trial?.processId === processId) {
    entry.finishedPermitId = entry.trial.permitId;
    entry.trial = undefined;
  }
}

function isSuspect({ facts }: Entry): boolean {
  return suspects.getStanding(facts) !== 'watched';
}

function isQuarantined({ facts }: Entry): boolean {
  return suspects.getStanding(facts) === 'quarantined';
}

function listProcessIds({ ends }: suspects.SuspectFacts): string[] {
  return ends.map(({ processId }) => processId);
}

function isPart({ digest }: suspects.SuspectFacts): boolean {
  return suspects.isPartId(digest);
}

function isVerdictDue({ verdictAt }: Entry, now: number): boolean {
  return verdictAt !== undefined && verdictAt <= now;
}

/** Whether its sends are decided one by one. Many calls share a suspect part, and go on being sent until it is barred. */
function needsPermit(entry: Entry): boolean {
  return isPart(entry.facts) ? isQuarantined(entry) : isSuspect(entry);
}

/** Returns the refusal of a quarantined call or barred part; `undefined` when a retry is due. */
function findRefusal(entry: Entry, now: number): PermitRefusal | undefined {
  const trialAt = getTrialAt(entry, now);
  if (trialAt === Infinity) {
    return { kind: 'refused', retryMs: PERMANENT_REFUSAL_RETRY_MS };
  }
  const retryMs = trialAt - now;
  return retryMs > 0 ? { kind: 'refused', retryMs } : undefined;
}

/** Returns when a quarantined call or barred part may be sent again; `Infinity` if never. */
function getTrialAt({ facts, retryBaseAt }: Entry, now: number): number {
  const delays = isPart(facts) ? PART_TRIAL_DELAYS_MS : RETRY_DELAYS_MS;
  return (retryBaseAt ?? now) + (delays[facts.chances] ?? Infinity);
}

function createEntry(digest: string): Entry {
  return {
    facts: { digest, ends: [], chances: 0 },
    retryBaseAt: undefined,
    trial: undefined,
    finishedPermitId: undefined,
    verdictAt: undefined,
    revision: 0,
  };
}
