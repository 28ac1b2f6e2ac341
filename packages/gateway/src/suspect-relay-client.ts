import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** How long one core host may take to answer, in milliseconds: a call waits for it. */
const ANSWER_MS = 60;

/** How long a core host keeps the question for news open, in milliseconds. */
const WAIT_MS = 500;

/** How long its answer may take beyond that, in milliseconds. */
const LATE_MS = 300;

/** The pause after a core host did not answer, or hears a leader that this host does not, in milliseconds. */
const PAUSE_MS = 25;

/** How often it is looked whether the leader was lost where nothing told so, in milliseconds. */
const LOOK_MS = 2_000;

/** What the client needs. */
export interface SuspectRelayClientOptions {
  readonly mesh: coreMeshes.CorePeers;
  readonly hostId: string;
  readonly listCores: () => readonly string[];
  readonly reachesLeader: () => boolean;
  /** Tells that a leader was lost or found. */
  readonly leaderChanged: schemas.ChangeSignal;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Shares what is known of suspects through the core hosts that can be reached while the leader can't. */
export class SuspectRelayClient {
  private readonly told = new WeakSet<procedures.SuspectOutcome>();
  private known = { epoch: 0, revision: -1 };
  private failures = 0;
  private isStopped = false;

  public constructor(private readonly options: SuspectRelayClientOptions) {}

  /** Takes what other hosts have told while the leader can't be reached, until stopped. */
  public async run(take: (changes: routing.SuspectChanges) => void): Promise<void> {
    const { clock, reachesLeader, leaderChanged } = this.options;
    while (!this.isStopped) {
      if (reachesLeader()) {
        await leaderChanged.wait(clock, LOOK_MS);
      } else {
        await this.follow(take);
      }
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Tells every core host, each run once; gives whether one of them could pass it on to the leader. */
  public async report(runs: readonly procedures.SuspectOutcome[]): Promise<boolean> {
    const { hostId, listCores } = this.options;
    const fresh = runs.filter((run) => !this.told.has(run));
    if (fresh.length === 0) {
      return false;
    }
    const context = { deadlineMs: ANSWER_MS };
    const answers = await Promise.all(
      listCores().map((coreId) =>
        this.ask(coreId, (api) => api.relaySuspects.mutate({ hostId, runs: fresh }, { context })),
      ),
    );
    if (answers.some((answer) => answer !== undefined)) {
      fresh.forEach((run) => this.told.add(run));
    }
    return answers.some((answer) => answer?.isTaken === true);
  }

  /**
   * Asks the core hosts in an order that is the same at every entry host, so that those which reach the same core hosts ask
   * the same one first; nothing where none answers.
   */
  public async requestPermit(
    req: procedures.SuspectPermitReq,
  ): Promise<routing.Permit | undefined> {
    const context = { deadlineMs: ANSWER_MS };
    for (const coreId of schemas.rankByKey(req.digest, this.options.listCores())) {
      const permit = await this.ask(coreId, (api) => api.relayPermit.mutate(req, { context }));
      if (permit !== undefined) {
        return permit;
      }
    }
    return undefined;
  }

  private async follow(take: (changes: routing.SuspectChanges) => void): Promise<void> {
    const { clock, hostId, listCores } = this.options;
    const cores = schemas.rankByKey(hostId, listCores());
    const target = cores[this.failures % Math.max(1, cores.length)];
    const context = { deadlineMs: WAIT_MS + LATE_MS };
    const res =
      target === undefined
        ? undefined
        : await this.ask(target, (api) =>
            api.awaitRelayed.mutate({ hostId, ...this.known, waitMs: WAIT_MS }, { context }),
          );
    if (res?.relayed !== undefined) {
      const { changes, epoch } = res.relayed;
      this.known = { epoch, revision: changes.revision };
      take(changes);
      return;
    }
    this.known = { epoch: 0, revision: -1 };
    this.failures += res === undefined ? 1 : 0;
    await clock.sleep(PAUSE_MS);
  }

  private async ask<T>(
    coreId: string,
    question: (api: coreMeshes.CoreApi) => Promise<T>,
  ): Promise<T | undefined> {
    const { log, mesh } = this.options;
    try {
      return await question(mesh.get(coreId));
    } catch (err) {
      log.debug({ step: 'relay-suspects', peer: coreId, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
