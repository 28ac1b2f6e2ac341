import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** Interval at which a core host with reported suspects checks whether a leader is back, in milliseconds. */
const LEADER_CHECK_MS = 200;

/**
 * Time without requests after which the reported suspects are dropped, in milliseconds. A host without a voter slot
 * gets no heartbeats, so it does not notice that a leader is back.
 */
const RETENTION_MS = 5_000;

/** Timeout of a request forwarded to the leader, in milliseconds; slightly shorter than that of the entry host. */
const FORWARD_TIMEOUT_MS = 50;

/** The leader's handlers of requests about suspects. */
type LeaderHandlers = Pick<procedures.CoreHandlers, 'reportSuspects' | 'permitSuspect'>;

/** Dependencies of the suspect relay. */
export interface SuspectRelayOptions {
  readonly coreId: string;
  readonly findLeader: () => coreGroups.RecentLeader | undefined;
  /** This host's handlers for when it is the leader. */
  readonly leaderHandlers: LeaderHandlers;
  readonly mesh: coreMeshes.CorePeers;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Relays suspects on a core host for entry hosts that cannot reach the leader. Forwards requests to the leader that
 * this host is in contact with. While there is none, collects the suspects that entry hosts report and shares them with
 * all hosts that reach it. Facts about a call merge in any order, and without them every entry host would lose
 * upstreams of its own to the same call. Drops all of them once a leader is back, since this host is not
 * informed of the calls that the leader clears.
 */
export class SuspectRelay {
  private readonly changed = new schemas.ChangeSignal();
  private ledger = new routing.CrashLedger();
  /** Increases when the collected suspects are dropped; a host that polls with another epoch gets all of them. */
  private epoch = 1;
  private usedAt = -Infinity;
  private isExpiryScheduled = false;
  /** When the leader last failed to answer. */
  private leaderFailedAt = -Infinity;
  private readonly verdicts: requests.VerdictTask;

  public constructor(private readonly options: SuspectRelayOptions) {
    const { clock, log } = options;
    this.verdicts = new requests.VerdictTask({
      getLedger: () => this.ledger,
      clock,
      log,
      patienceMs: 0,
      onBarred: (partIds) => {
        log.info({ decision: 'part-barred', partIds, isRelayed: true });
        this.changed.notify();
      },
    });
  }

  /** Forwards a host's report to the leader or else records it here; returns whether the leader has received it. */
  public async report(req: procedures.SuspectReport): Promise<{ readonly isTaken: boolean }> {
    const result = await this.forward((leader) => leader.reportSuspects(req));
    if (result === undefined) {
      this.recordReport(req);
    }
    return { isTaken: result !== undefined };
  }

  /** Decides whether a suspect may be sent to an upstream: by the leader, or else by the suspects collected here. */
  public async permit(req: procedures.SuspectPermitReq): Promise<routing.Permit> {
    return (await this.forward((leader) => leader.permitSuspect(req))) ?? this.permitLocally(req);
  }

  /** Answers a request for updates: at once if there are updates and no leader, else when its wait ends. */
  public async awaitChanges(
    req: procedures.RelayedUpdatesReq,
  ): Promise<procedures.RelayedUpdatesRes> {
    const { clock } = this.options;
    this.noteUse();
    const deadlineAt = clock.now() + req.waitMs;
    while ((this.hasLeader() || !this.hasUpdates(req)) && clock.now() < deadlineAt) {
      await this.changed.wait(clock, Math.min(LEADER_CHECK_MS, deadlineAt - clock.now()));
    }
    if (this.hasLeader()) {
      return { relayed: undefined };
    }
    const since = req.epoch === this.epoch ? req.revision : -1;
    return { relayed: { epoch: this.epoch, changes: this.ledger.listChangesSince(since) } };
  }

  private recordReport({ hostId, runs }: procedures.SuspectReport): void {
    const { clock, log } = this.options;
    this.noteUse();
    runs.forEach((run) => {
      const { digest, kind } = run;
      if (kind === 'ended') {
        this.ledger.recordProcessEnd(digest, run.end, clock.now());
      } else if (kind === 'served') {
        this.ledger.clear(digest);
        this.verdicts.decide();
      } else {
        this.ledger.recordInconclusiveRun(digest, run.processId);
      }
      const standing = this.ledger.getStanding(digest);
      log.info({ decision: 'suspect-relayed', digest, kind, standing, peer: hostId });
    });
    this.changed.notify();
    this.verdicts.schedule();
  }

  private permitLocally(req: procedures.SuspectPermitReq): routing.Permit {
    const { digest, facts, hostId, mayShare, processId } = req;
    const { clock, log } = this.options;
    this.noteUse();
    const now = clock.now();
    if (facts !== undefined && this.ledger.merge([facts], now)) {
      this.changed.notify();
    }
    const permit = this.ledger.permitWithoutLeader(digest, processId, mayShare, now);
    const standing = this.ledger.getStanding(digest);
    const details = { digest, standing, peer: hostId, upstream: processId };
    log.info({ decision: 'suspect-permit', ...details, isRelayed: true, ...permit });
    return this.ledger.addIsolation(permit, digest);
  }

  private hasLeader(): boolean {
    return this.findLeader() !== undefined;
  }

  /** Returns the current leader; one that failed to answer is ignored until the next contact with it. */
  private findLeader(): string | undefined {
    const leader = this.options.findLeader();
    return leader !== undefined && leader.lastContactAt > this.leaderFailedAt
      ? leader.coreId
      : undefined;
  }

  /** Forwards a request to the leader; undefined if there is none or it does not answer. */
  private async forward<T>(send: (leader: LeaderHandlers) => Promise<T>): Promise<T | undefined> {
    const { clock, coreId, leaderHandlers, log } = this.options;
    const leader = this.findLeader();
    if (leader === undefined) {
      return undefined;
    }
    try {
      return await send(leader === coreId ? leaderHandlers : this.createRemoteHandlers(leader));
    } catch (err) {
      this.leaderFailedAt = clock.now();
      this.changed.notify();
      log.info({ event: 'leader-missed', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }

  private createRemoteHandlers(leader: string): LeaderHandlers {
    const api = this.options.mesh.get(leader);
    const options = { context: { deadlineMs: FORWARD_TIMEOUT_MS } };
    return {
      reportSuspects: (req) => api.reportSuspects.mutate(req, options),
      permitSuspect: (req) => api.permitSuspect.mutate(req, options),
    };
  }

  private hasUpdates({ epoch, revision }: procedures.RelayedUpdatesReq): boolean {
    return epoch === this.epoch ? revision < this.ledger.getRevision() : this.ledger.size > 0;
  }

  private noteUse(): void {
    this.usedAt = this.options.clock.now();
    const { log } = this.options;
    schemas.runInBackground(() => this.dropWhenUnused(), { log, step: 'drop-suspects' });
  }

  /** Drops the collected suspects when a leader is back or no entry host has sent a request for a while. */
  private async dropWhenUnused(): Promise<void> {
    if (this.isExpiryScheduled) {
      return;
    }
    const { clock } = this.options;
    this.isExpiryScheduled = true;
    while (!this.hasLeader() && clock.now() - this.usedAt < RETENTION_MS) {
      await clock.sleep(LEADER_CHECK_MS);
    }
    this.isExpiryScheduled = false;
    this.ledger = new routing.CrashLedger();
    this.epoch += 1;
  }
}
