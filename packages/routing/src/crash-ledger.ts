import * as suspects from './suspect.js';

/** How many calls are remembered. Each has cost an upstream its process, so a caller can't make them up at will. */
const MOST_CALLS = 1_000;

/** How many cleared suspects are remembered for hosts that ask what has changed; hosts further behind get all suspects. */
const MOST_CLEARED = 500;

/**
 * How long other suspects are kept away from where one runs, in milliseconds. One that is bad ends its upstream when
 * it begins to run, after a wait for a place and the reading of its prompt.
 */
const TRIAL_MS = 1_500;

/**
 * After which times a quarantined call is sent once more, in milliseconds. Another bad call, which may have made a good one
 * look bad, is known at all hosts by the first; by the second, engines that went at the same time are back. Each costs a
 * bad call's upstream with all that runs there, so there are no more.
 */
const CHANCES_MS = [3_000, 10_000] as const;

/** What a caller is told to wait whose call is never sent again, in milliseconds. */
const NEVER_RETRY_MS = 300_000;

/** What has changed since a host last asked. */
export interface SuspectChanges {
  readonly revision: number;
  /** Whether these are all there are, so that the host drops what it knew. */
  readonly isWhole: boolean;
  readonly suspects: readonly suspects.SuspectFacts[];
  readonly cleared: readonly string[];
}

/**
 * Whether a call that is a suspect may be sent to an upstream; `isAlone` tells, where it is known, that no other suspect runs
 * there.
 */
export type Permit =
  | { readonly kind: 'go'; readonly isAlone?: boolean }
  /** Another suspect runs there: if the upstream ended nobody could tell under which. */
  | { readonly kind: 'elsewhere' }
  /** Another run of it is under way there. At one upstream it can end no more than that, and a good one is not refused. */
  | { readonly kind: 'there'; readonly processId: string; readonly isAlone?: boolean }
  | PermitRefusal;

/** A quarantined call must not be sent now. */
export interface PermitRefusal {
  readonly kind: 'refused';
  /** When it may be asked again, in milliseconds. */
  readonly retryMs: number;
}

/** A run of a suspect that is watched. */
interface Trial {
  readonly processId: string;
  readonly until: number;
  readonly permitId: string | undefined;
  /** Whether no other suspect runs there. */
  isAlone: boolean;
}

/** What is known of one call. */
interface Entry {
  facts: suspects.SuspectFacts;
  /** When it was quarantined, or sent since then, on this host's clock. */
  heldAt: number | undefined;
  trial: Trial | undefined;
  /** The question that allowed a run which is over; a copy of it that comes late allows no other. */
  usedPermitId: string | undefined;
  /** Of its last change that hosts are told; 0 while it is only watched. */
  revision: number;
}

/**
 * The account of calls under which upstreams ended. All that an upstream runs ends with it, most of it innocent, so one end
 * makes a suspect and no more: from then on each run of it is kept apart from other suspects, so that the next end shows
 * whose fault it is, and a whole answer at any time clears it. A call that ended a second upstream while no other suspect
 * ran there, or three in any company, is quarantined. It is sent twice more, to be cleared if it is good, and then never again.
 */
export class CrashLedger {
  /** The one that changed last comes last. */
  private readonly entries = new Map<string, Entry>();
  private cleared: { readonly digest: string; readonly revision: number }[] = [];
  private revision = 0;

  /** How many calls are remembered. */
  public get size(): number {
    return this.entries.size;
  }

  /** Whether anything is held against a call. */
  public has(digest: string): boolean {
    return this.entries.has(digest);
  }

  /** What is held against a call. */
  public find(digest: string): suspects.SuspectFacts | undefined {
    return this.entries.get(digest)?.facts;
  }

  /** How it stands with a call. */
  public getStanding(digest: string): suspects.Standing {
    const entry = this.entries.get(digest);
    return entry === undefined ? 'free' : suspects.getStanding(entry.facts);
  }

  /**
   * Notes that a process ended under a call; told twice it counts once. Gives whether it was news. `knowsAllRuns` tells
   * that for some time no suspect was sent without a permit of this ledger.
   */
  public recordProcessEnd(
    digest: string,
    end: suspects.ProcessEnd,
    now: number,
    knowsAllRuns = false,
  ): boolean {
    const entry = this.entries.get(digest) ?? createEntry(digest);
    const { trial } = entry;
    const wasTried = trial?.processId === end.processId;
    // Others may have been sent there after the host was told that none was.
    const wasAlone = wasTried
      ? trial.isAlone
      : end.wasAlone || (knowsAllRuns && this.hasRunAlone(entry.facts, end.processId, now));
    const facts = suspects.addEnds(entry.facts, [{ ...end, wasAlone }]);
    endTrial(entry, end.processId);
    return this.change(entry, facts, now);
  }

  /** Clears a call: it was answered in full. */
  public clear(digest: string): boolean {
    const entry = this.entries.get(digest);
    if (entry === undefined) {
      return false;
    }
    this.entries.delete(digest);
    if (entry.revision > 0) {
      this.revision += 1;
      this.cleared.push({ digest, revision: this.revision });
      this.cleared = this.cleared.slice(-MOST_CLEARED);
    }
    return true;
  }

  /** Notes that a run of a suspect at a process is over and shows nothing. */
  public recordInconclusiveRun(digest: string, processId: string): void {
    const entry = this.entries.get(digest);
    if (entry !== undefined) {
      endTrial(entry, processId);
    }
  }

  /**
   * Whether a call may be sent to a process now; `mayShare` where there is no other upstream for it. `permitId` names the
   * question, and is the same when it is asked again because no answer came.
   */
  public permit(
    digest: string,
    processId: string,
    mayShare: boolean,
    now: number,
    permitId?: string,
  ): Permit {
    const entry = this.entries.get(digest);
    if (entry === undefined || suspects.getStanding(entry.facts) === 'watched') {
      return { kind: 'go' };
    }
    // The answer was lost. A refusal now would use up a send that never took place.
    const isAskedAgain = permitId !== undefined && entry.facts.permitId === permitId;
    const isHeld = isQuarantined(entry) && !isAskedAgain;
    if (permitId !== undefined && entry.usedPermitId === permitId && !isHeld) {
      return { kind: 'go' };
    }
    const refusal = isHeld ? findRefusal(entry, now) : undefined;
    if (refusal !== undefined) {
      return refusal;
    }
    if (entry.trial !== undefined && entry.trial.until > now) {
      const isThere = entry.trial.processId === processId;
      return isThere ? { kind: 'go' } : { kind: 'there', processId: entry.trial.processId };
    }
    const others = this.listTrialsAt(processId, now);
    if (others.length > 0 && !mayShare) {
      return { kind: 'elsewhere' };
    }
    others.forEach((trial) => {
      trial.isAlone = false;
    });
    entry.trial = { processId, until: now + TRIAL_MS, permitId, isAlone: others.length === 0 };
    entry.heldAt = isQuarantined(entry) ? now : entry.heldAt;
    if (isHeld) {
      this.change(entry, { ...entry.facts, chances: entry.facts.chances + 1, permitId }, now);
    }
    return { kind: 'go' };
  }

  /** A permit with what is known of other suspects at its process. */
  public addIsolation(permit: Permit, digest: string): Permit {
    if (permit.kind !== 'go' && permit.kind !== 'there') {
      return permit;
    }
    return { ...permit, isAlone: this.entries.get(digest)?.trial?.isAlone ?? false };
  }

  /** The refusal of a quarantined call; nothing for others, and where it may be sent once more. */
  public findQuarantineRefusal(digest: string, now: number): PermitRefusal | undefined {
    const entry = this.entries.get(digest);
    return entry !== undefined && isQuarantined(entry) ? findRefusal(entry, now) : undefined;
  }

  /** Whether a call may be sent to a process while nobody leads; quarantined calls wait for the log. */
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
   * Whether a host that hears no leader may send a call. It knows of no other host's runs, and if each host sent a
   * quarantined call once more by itself it would be sent as often as there are hosts.
   */
  public permitUnlessQuarantined(digest: string): Permit {
    const entry = this.entries.get(digest);
    return entry !== undefined && isQuarantined(entry)
      ? { kind: 'refused', retryMs: CHANCES_MS[0] }
      : { kind: 'go' };
  }

  /** Takes what another host knows; what is known here of the same call stays. */
  public merge(all: readonly suspects.SuspectFacts[], now: number): boolean {
    return all
      .map((facts) => {
        const entry = this.entries.get(facts.digest) ?? createEntry(facts.digest);
        return this.change(entry, suspects.mergeFacts(entry.facts, facts), now);
      })
      .includes(true);
  }

  /** Takes what a leader says has changed. */
  public apply({ cleared, isWhole, suspects: all }: SuspectChanges, now: number): void {
    if (isWhole) {
      const kept = new Set(all.map(({ digest }) => digest));
      [...this.entries]
        .filter(([digest, entry]) => isSuspect(entry) && !kept.has(digest))
        .forEach(([digest]) => this.entries.delete(digest));
    }
    cleared.forEach((digest) => this.entries.delete(digest));
    this.merge(all, now);
  }

  /** All suspects. */
  public listSuspects(): suspects.SuspectFacts[] {
    return [...this.entries.values()].filter(isSuspect).map(({ facts }) => facts);
  }

  /**
   * What has changed of suspects since a revision; all of it where that is too long ago. Calls that are only watched are
   * many, one for each run that an upstream takes with it, and no host does anything about them.
   */
  public listChangesSince(revision: number): SuspectChanges {
    const oldest = this.cleared.length < MOST_CLEARED ? 0 : (this.cleared[0]?.revision ?? 0);
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

  /** The number of the last change. */
  public getRevision(): number {
    return this.revision;
  }

  /**
   * Whether a suspect ended a process on which no other one ran. The run had no permit, since its host did not know yet
   * that it was a suspect; what is known of the others tells it as well.
   */
  private hasRunAlone(facts: suspects.SuspectFacts, processId: string, now: number): boolean {
    const hasEnd = (ends: readonly suspects.ProcessEnd[]) =>
      ends.some((end) => end.processId === processId);
    if (suspects.getStanding(facts) === 'watched' || hasEnd(facts.ends)) {
      return false;
    }
    const hasOther = [...this.entries.values()].some(
      (other) =>
        other.facts.digest !== facts.digest &&
        other.facts.ends.length > 1 &&
        hasEnd(other.facts.ends),
    );
    return !hasOther && this.listTrialsAt(processId, now).length === 0;
  }

  private change(entry: Entry, facts: suspects.SuspectFacts, now: number): boolean {
    if (suspects.areSame(entry.facts, facts)) {
      return false;
    }
    entry.facts = facts;
    if (isSuspect(entry)) {
      this.revision += 1;
      entry.revision = this.revision;
    }
    if (isQuarantined(entry)) {
      entry.heldAt ??= now;
    }
    this.entries.delete(facts.digest);
    this.entries.set(facts.digest, entry);
    this.dropOverflow();
    return true;
  }

  /** Those with the least held against them go first, so that new suspects don't push quarantined calls out. */
  private dropOverflow(): void {
    if (this.entries.size <= MOST_CALLS) {
      return;
    }
    const all = [...this.entries.values()].map(({ facts }) => facts);
    const [first] = all.sort((a, b) => suspects.getWeight(a) - suspects.getWeight(b));
    this.clear(first!.digest);
  }

  private listTrialsAt(processId: string, now: number): Trial[] {
    return [...this.entries.values()].flatMap(({ trial }) =>
      trial !== undefined && trial.processId === processId && trial.until > now ? [trial] : [],
    );
  }
}

function endTrial(entry: Entry, processId: string): void {
  if (entry.trial?.processId === processId) {
    entry.usedPermitId = entry.trial.permitId;
    entry.trial = undefined;
  }
}

function isSuspect({ facts }: Entry): boolean {
  return suspects.getStanding(facts) !== 'watched';
}

function isQuarantined({ facts }: Entry): boolean {
  return suspects.getStanding(facts) === 'quarantined';
}

/** Why a quarantined call must not be sent now; nothing where it may be sent once more. */
function findRefusal({ facts, heldAt }: Entry, now: number): PermitRefusal | undefined {
  const waitMs = CHANCES_MS[facts.chances];
  if (waitMs === undefined) {
    return { kind: 'refused', retryMs: NEVER_RETRY_MS };
  }
  const retryMs = (heldAt ?? now) + waitMs - now;
  return retryMs > 0 ? { kind: 'refused', retryMs } : undefined;
}

function createEntry(digest: string): Entry {
  return {
    facts: { digest, ends: [], chances: 0 },
    heldAt: undefined,
    trial: undefined,
    usedPermitId: undefined,
    revision: 0,
  };
}
