import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';

/**
 * Time for which a core host holds a poll open while there are no updates, in milliseconds. Together with the answer
 * time it is under a third of the 3 s within which a host must be up to date after a partition heals, so a silent
 * connection is detected and replaced in time.
 */
const HOLD_MS = 500;

/** Time that the answer may take beyond the hold time, in milliseconds. */
const ANSWER_MARGIN_MS = 400;

/** Time for which a core host that failed is skipped, in milliseconds. */
const SKIP_FAILED_MS = 1_000;

/**
 * Bounds of the backoff after a poll that failed or that was answered by a host without a leader, in milliseconds. The
 * backoff doubles up to the maximum and is jittered: after a power loss of all hosts, hundreds of them look for a
 * leader at once.
 */
const MIN_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 250;

/** Minimum time between two polls, in milliseconds; a burst of updates must not saturate the connection. */
const MIN_POLL_INTERVAL_MS = 10;

/**
 * Time for which an entry host that has just started waits for a core host whose state is current, in milliseconds,
 * before it serves with the state that it has received. In a partitioned zone no newer state arrives.
 */
const TRUST_ANY_AFTER_MS = 3_000;

/** Options of `UpdatePoller`. */
export interface UpdatePollerOptions {
  readonly mesh: coreMeshes.CoreMesh;
  readonly listSeeds: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  readonly createRequest: (waitMs: number) => procedures.UpdatesReq;
  /** Handles an answer; `isTrusted` says whether the host may serve with this state. */
  readonly onUpdates: (updates: procedures.UpdatesRes, isTrusted: boolean) => void;
}

/** Keeps an entry host up to date: long-polls the leader, or another core host that answers. */
export class UpdatePoller {
  /** Signals that the leader became reachable or unreachable. */
  public readonly leaderChanged = new schemas.ChangeSignal();
  private readonly failedAt = new Map<string, number>();
  private cores: readonly string[] = [];
  private leader: string | undefined;
  private lastTarget: string | undefined;
  private isLost = false;
  /** Whether the last answer came from a host whose state is current; `undefined` before the first answer. */
  private isCurrent: boolean | undefined;
  private isStopped = false;
  /** Number of consecutive polls that failed or were answered by a host without a leader. */
  private failedPolls = 0;
  private readonly startedAt: number;

  public constructor(private readonly options: UpdatePollerOptions) {
    this.startedAt = options.clock.now();
  }

  /** Polls until stopped. */
  public async run(): Promise<void> {
    const { clock, log } = this.options;
    while (!this.isStopped) {
      const polledAt = clock.now();
      const wasLeaderReachable = this.reachesLeader();
      const isAnswered = await schemas.runRound(() => this.poll(), { log, step: 'poll-core' });
      const isCurrentAnswer = isAnswered === true && this.isCurrent === true;
      if (this.reachesLeader() !== wasLeaderReachable) {
        this.leaderChanged.notify();
      }
      this.failedPolls = isCurrentAnswer ? 0 : this.failedPolls + 1;
      await clock.sleep(Math.max(0, this.getDelayMs() - (clock.now() - polledAt)));
    }
  }

  /** Returns the leader that the last answer named; `undefined` if the last poll failed. */
  public findLeader(): string | undefined {
    return this.isLost ? undefined : this.leader;
  }

  /** Returns whether the last answer came from the leader itself; also true until the first answer or failure. */
  public reachesLeader(): boolean {
    if (this.isCurrent === undefined) {
      return !this.isLost;
    }
    return !this.isLost && this.isCurrent && this.lastTarget === this.leader;
  }

  /** Lists all known core hosts by name. */
  public listCores(): string[] {
    return [...new Set([...this.cores, ...this.options.listSeeds()])];
  }

  /** Lists all known core hosts, first the leader and the host that answered last. */
  public listCoresByPreference(): string[] {
    const all = this.listCores();
    const preferred = [this.findLeader(), this.lastTarget].filter((id) => id !== undefined);
    return [...new Set([...preferred, ...all])];
  }

  /** Stops polling. */
  public stop(): void {
    this.isStopped = true;
  }

  private getDelayMs(): number {
    if (this.failedPolls === 0) {
      return MIN_POLL_INTERVAL_MS;
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (this.failedPolls - 1));
    return backoffMs * (0.5 + this.options.random());
  }

  private async poll(): Promise<boolean> {
    const { clock, createRequest, log, mesh } = this.options;
    const target = this.chooseTarget();
    if (target === undefined) {
      return false;
    }
    try {
      const req = createRequest(target === this.lastTarget ? HOLD_MS : 0);
      const context = { deadlineMs: req.waitMs + ANSWER_MARGIN_MS };
      const answer = await mesh.get(target).news.mutate(req, { context });
      this.handleAnswer(target, schemas.parse(procedures.updatesRes, answer, 'read-updates'));
      return true;
    } catch (err) {
      this.failedAt.set(target, clock.now());
      if (!this.isLost) {
        log.warn({ event: 'core-lost', peer: target, err: schemas.toError(err).message });
      }
      this.isLost = true;
      this.lastTarget = undefined;
      return false;
    }
  }

  private handleAnswer(target: string, updates: procedures.UpdatesRes): void {
    const { clock, log } = this.options;
    // A switch between core hosts is not logged: a host that has just started may switch a hundred times a second until
    // a leader is elected.
    if (this.isLost || this.isCurrent !== updates.isCurrent) {
      log.info({ event: 'core-regained', peer: target, isCurrent: updates.isCurrent });
    }
    this.isCurrent = updates.isCurrent;
    this.isLost = false;
    this.lastTarget = target;
    this.cores = updates.cores;
    this.leader = updates.leader;
    // The state of a core host without contact with a leader may be stale, and another core host may have a newer one.
    if (!updates.isCurrent) {
      this.failedAt.set(target, clock.now());
    }
    const mayTrustAny = clock.now() - this.startedAt > TRUST_ANY_AFTER_MS;
    this.options.onUpdates(updates, updates.isCurrent || mayTrustAny);
  }

  /** Chooses the leader while it answers, then the host that answered last, then any host that has not just failed. */
  private chooseTarget(): string | undefined {
    const { clock, random } = this.options;
    const all = this.listCores();
    const isUsable = (coreId: string) =>
      clock.now() - (this.failedAt.get(coreId) ?? -Infinity) > SKIP_FAILED_MS;
    const usable = all.filter(isUsable);
    if (this.leader !== undefined && usable.includes(this.leader)) {
      return this.leader;
    }
    if (this.lastTarget !== undefined && usable.includes(this.lastTarget)) {
      return this.lastTarget;
    }
    const candidates = usable.length > 0 ? usable : all;
    return candidates[Math.floor(random() * candidates.length)];
  }
}
