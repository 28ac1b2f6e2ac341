import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/**
 * How long a core host keeps a question open while it has no news, in milliseconds. Together with the time for the
 * answer it is under a third of the 3 s within which a healed host must work by its rules again, so a
 * connection that fell silent is found out and replaced in time.
 */
const WAIT_MS = 500;

/** How long the answer may take beyond that, in milliseconds. */
const ANSWER_MS = 400;

/** How long a core host that failed is passed over, in milliseconds. */
const AVOID_MS = 1_000;

/**
 * The pause after a question that failed, or that a host without a leader answered, in milliseconds. It doubles, up to a
 * most, and is drawn anew each time: after a loss of power of all, hundreds of hosts look for a leader at once.
 */
const FIRST_PAUSE_MS = 25;
const MOST_PAUSE_MS = 250;

/** The shortest time between two questions, in milliseconds; a stream of news must not fill the link. */
const MIN_GAP_MS = 10;

/**
 * How long an entry host that has just started waits for a core host whose word is current, in milliseconds, before
 * it serves by the best that it could get. In a zone that is cut off nothing better will come.
 */
const ALONE_MS = 3_000;

/** What the link needs. */
export interface UpdatePollerOptions {
  readonly mesh: coreMeshes.CoreMesh;
  readonly listSeeds: () => readonly string[];
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  readonly createRequest: (waitMs: number) => procedures.UpdatesReq;
  /** Takes an answer; `isTrusted` tells that it may be served by. */
  readonly onUpdates: (news: procedures.UpdatesRes, isTrusted: boolean) => void;
}

/** The task that keeps an entry host up to date: one open question at the leader, or at whom answers. */
export class UpdatePoller {
  /** Tells that the leader was lost or found. */
  public readonly leaderChanged = new schemas.ChangeSignal();
  private readonly failedAt = new Map<string, number>();
  private cores: readonly string[] = [];
  private leader: string | undefined;
  private lastTarget: string | undefined;
  private isLost = false;
  /** Whether the last answer came from a host that knows what is newest; nothing before the first. */
  private isCurrent: boolean | undefined;
  private isStopped = false;
  /** Questions in a row that failed, or were answered by a host without a leader. */
  private misses = 0;
  private readonly startedAt: number;

  public constructor(private readonly options: UpdatePollerOptions) {
    this.startedAt = options.clock.now();
  }

  /** Asks until stopped. */
  public async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const askedAt = clock.now();
      const reachedLeader = this.reachesLeader();
      const isUseful = (await this.askOne()) && this.isCurrent === true;
      if (this.reachesLeader() !== reachedLeader) {
        this.leaderChanged.notify();
      }
      this.misses = isUseful ? 0 : this.misses + 1;
      await clock.sleep(Math.max(0, this.getPauseMs() - (clock.now() - askedAt)));
    }
  }

  /** The leader, as the last answer named it. */
  public findLeader(): string | undefined {
    return this.isLost ? undefined : this.leader;
  }

  /** Whether the last answer came from the leader itself; also while the first one is awaited. */
  public reachesLeader(): boolean {
    if (this.isCurrent === undefined) {
      return !this.isLost;
    }
    return !this.isLost && this.isCurrent && this.lastTarget === this.leader;
  }

  /** All core hosts that are known by name. */
  public listCores(): string[] {
    return [...new Set([...this.cores, ...this.options.listSeeds()])];
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  private getPauseMs(): number {
    if (this.misses === 0) {
      return MIN_GAP_MS;
    }
    const pauseMs = Math.min(MOST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.misses - 1));
    return pauseMs * (0.5 + this.options.random());
  }

  private async askOne(): Promise<boolean> {
    const { clock, createRequest: createAsk, log, mesh } = this.options;
    const target = this.chooseTarget();
    if (target === undefined) {
      return false;
    }
    try {
      const ask = createAsk(target === this.lastTarget ? WAIT_MS : 0);
      const context = { deadlineMs: ask.waitMs + ANSWER_MS };
      const news = await mesh.get(target).news.mutate(ask, { context });
      // By its types a call's answer went through JSON; the link's frames carry bytes as they are.
      this.take(target, news as procedures.UpdatesRes);
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

  private take(target: string, news: procedures.UpdatesRes): void {
    const { clock, log } = this.options;
    // Moving from one core host to another is no news: a host that has just started does so a hundred times a second
    // until there is a leader.
    if (this.isLost || this.isCurrent !== news.isCurrent) {
      log.info({ event: 'core-regained', peer: target, isCurrent: news.isCurrent });
    }
    this.isCurrent = news.isCurrent;
    this.isLost = false;
    this.lastTarget = target;
    this.cores = news.cores;
    this.leader = news.leader;
    // What a core host says that hears no leader may be old; another may know better.
    if (!news.isCurrent) {
      this.failedAt.set(target, clock.now());
    }
    const isAlone = clock.now() - this.startedAt > ALONE_MS;
    this.options.onUpdates(news, news.isCurrent || isAlone);
  }

  /** The leader while it answers, then the one that answered last, then any that did not just fail. */
  private chooseTarget(): string | undefined {
    const { clock, random } = this.options;
    const all = this.listCores();
    const isUsable = (coreId: string) =>
      clock.now() - (this.failedAt.get(coreId) ?? -Infinity) > AVOID_MS;
    const usable = all.filter(isUsable);
    if (this.leader !== undefined && usable.includes(this.leader)) {
      return this.leader;
    }
    if (this.lastTarget !== undefined && usable.includes(this.lastTarget)) {
      return this.lastTarget;
    }
    const pool = usable.length > 0 ? usable : all;
    return pool[Math.floor(random() * pool.length)];
  }
}
