import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import * as procedures from './core-procedures.js';

/** Timeout of a request to one core host, in milliseconds; short, because a call waits for the answer. */
const REQUEST_TIMEOUT_MS = 60;

/** How long a core host holds a request for updates, in milliseconds. */
const POLL_WAIT_MS = 500;

/** Additional time for the answer to such a request, in milliseconds. */
const POLL_MARGIN_MS = 300;

/** Pause after a core host did not answer, or has a leader that this host does not reach, in milliseconds. */
const RETRY_PAUSE_MS = 25;

/** Interval at which the loss of the leader is checked for without a notification, in milliseconds. */
const LEADER_CHECK_MS = 2_000;

/** Dependencies of the relay client. */
export interface SuspectRelayClientOptions {
  readonly mesh: coreMeshes.CorePeers;
  readonly hostId: string;
  readonly listCores: () => readonly string[];
  readonly reachesLeader: () => boolean;
  /** Notifies when a leader is lost or found. */
  readonly leaderChanged: schemas.ChangeSignal;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Exchanges suspects with other hosts through the core hosts that can be reached while the leader cannot. */
export class SuspectRelayClient {
  private readonly reported = new WeakSet<routing.SuspectRun>();
  /** Those that a core host has forwarded to the leader. */
  private readonly forwarded = new WeakSet<routing.SuspectRun>();
  /** Ends when the report under way does. */
  private sending: Promise<unknown> = Promise.resolve();
  private cursor = { epoch: 0, revision: -1 };
  private failures = 0;
  private isStopped = false;

  public constructor(private readonly options: SuspectRelayClientOptions) {}

  /** Polls for the suspects that other hosts have reported while the leader cannot be reached, until stopped. */
  public async run(onChanges: (changes: routing.SuspectChanges) => void): Promise<void> {
    const { clock, reachesLeader, leaderChanged, log } = this.options;
    while (!this.isStopped) {
      if (reachesLeader()) {
        await leaderChanged.wait(clock, LEADER_CHECK_MS);
      } else {
        const isHandled = await schemas.runRound(
          async () => {
            await this.poll(onChanges);
            return true;
          },
          { log, step: 'apply-relayed' },
        );
        if (isHandled !== true) {
          await clock.sleep(RETRY_PAUSE_MS);
        }
      }
    }
  }

  /** Stops the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /**
   * Reports runs to every core host, each run once; returns whether they were forwarded to the leader. One report after the
   * other: a run that is reported again may end the next run of its call there.
   */
  public report(runs: readonly routing.SuspectRun[]): Promise<boolean> {
    const sent = this.sending.then(async () => {
      await this.sendReport(runs.filter((run) => !this.reported.has(run)));
      return runs.length > 0 && runs.every((run) => this.forwarded.has(run));
    });
    this.sending = sent.catch(() => {});
    return sent;
  }

  /**
   * Requests a permit from the core hosts, in an order that is the same on every entry host, so that hosts which reach
   * the same core hosts use the same one first. Returns undefined if none answers.
   */
  public async requestPermit(
    req: procedures.SuspectPermitReq,
  ): Promise<routing.Permit | undefined> {
    const context = { deadlineMs: REQUEST_TIMEOUT_MS };
    for (const coreId of schemas.rankByKey(req.digest, this.options.listCores())) {
      const permit = await this.request(coreId, (api) => api.relayPermit.mutate(req, { context }));
      if (permit !== undefined) {
        return permit;
      }
    }
    return undefined;
  }

  private async sendReport(runs: routing.SuspectRun[]): Promise<void> {
    const { hostId, listCores } = this.options;
    if (runs.length === 0) {
      return;
    }
    const context = { deadlineMs: REQUEST_TIMEOUT_MS };
    const answers = await Promise.all(
      listCores().map((coreId) =>
        this.request(coreId, (api) => api.relaySuspects.mutate({ hostId, runs }, { context })),
      ),
    );
    if (answers.some((answer) => answer !== undefined)) {
      runs.forEach((run) => this.reported.add(run));
    }
    if (answers.some((answer) => answer?.isTaken === true)) {
      runs.forEach((run) => this.forwarded.add(run));
    }
  }

  private async poll(onChanges: (changes: routing.SuspectChanges) => void): Promise<void> {
    const { clock, hostId, listCores } = this.options;
    const cores = schemas.rankByKey(hostId, listCores());
    const target = cores[this.failures % Math.max(1, cores.length)];
    const context = { deadlineMs: POLL_WAIT_MS + POLL_MARGIN_MS };
    const res =
      target === undefined
        ? undefined
        : await this.request(target, async (api) => {
            const req = { hostId, ...this.cursor, waitMs: POLL_WAIT_MS };
            const answer = await api.awaitRelayed.mutate(req, { context });
            return schemas.parse(procedures.relayedUpdatesRes, answer, 'read-relayed');
          });
    if (res?.relayed !== undefined) {
      const { changes, epoch } = res.relayed;
      this.cursor = { epoch, revision: changes.revision };
      onChanges(changes);
      return;
    }
    this.cursor = { epoch: 0, revision: -1 };
    this.failures += res === undefined ? 1 : 0;
    await clock.sleep(RETRY_PAUSE_MS);
  }

  private async request<T>(
    coreId: string,
    send: (api: coreMeshes.CoreApi) => Promise<T>,
  ): Promise<T | undefined> {
    const { log, mesh } = this.options;
    try {
      return await send(mesh.get(coreId));
    } catch (err) {
      log.debug({ step: 'relay-suspects', peer: coreId, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
