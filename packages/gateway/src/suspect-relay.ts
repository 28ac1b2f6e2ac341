import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreGroups from './core-group.js';
import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/** How often a core host that was told of suspects looks whether a leader is back, in milliseconds. */
const CHECK_MS = 200;

/** After how long without a question what was told is forgotten, in milliseconds; a host without a seat hears no leader. */
const IDLE_MS = 5_000;

/** How long a leader may take to answer what is passed on, in milliseconds; the entry host waits a little longer. */
const PASS_ON_MS = 50;

/** What a leader does with suspects. */
type LeaderDuties = Pick<procedures.CoreHandlers, 'reportSuspects' | 'permitSuspect'>;

/** What the relay needs. */
export interface SuspectRelayOptions {
  readonly coreId: string;
  readonly findLeader: () => coreGroups.RecentLeader | undefined;
  /** What this host does as the leader. */
  readonly leaderHandlers: LeaderDuties;
  readonly mesh: coreMeshes.CorePeers;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * A core host's help for entry hosts that don't reach the leader. It passes on to the leader that it hears. While there is
 * none, it keeps what entry hosts tell of suspects for all that reach it: facts about a call merge in any order, and
 * without them every entry host would lose upstreams of its own to the same call. It keeps nothing once a leader is back,
 * since it would not learn what the leader clears.
 */
export class SuspectRelay {
  private readonly changed = new schemas.ChangeSignal();
  private ledger = new routing.CrashLedger();
  private epoch = 1;
  private usedAt = -Infinity;
  private isWatched = false;
  /** When the leader last failed to answer. */
  private missedAt = -Infinity;

  public constructor(private readonly options: SuspectRelayOptions) {}

  /** Takes what runs at a host have shown; gives whether the leader has it. */
  public async report(req: procedures.SuspectReport): Promise<{ readonly isTaken: boolean }> {
    const taken = await this.passOn((duties) => duties.reportSuspects(req));
    if (taken === undefined) {
      this.keep(req);
    }
    return { isTaken: taken !== undefined };
  }

  /** Whether a suspect may be sent to an upstream: by the leader's word, or as far as the hosts that reach this one know. */
  public async permit(req: procedures.SuspectPermitReq): Promise<routing.Permit> {
    return (await this.passOn((duties) => duties.permitSuspect(req))) ?? this.permitHere(req);
  }

  /** Answers a host: at once when there is news and no leader, else when its wait is over. */
  public async awaitChanges(
    req: procedures.RelayedUpdatesReq,
  ): Promise<procedures.RelayedUpdatesRes> {
    const { clock } = this.options;
    this.use();
    const end = clock.now() + req.waitMs;
    while ((this.hearsLeader() || !this.hasNews(req)) && clock.now() < end) {
      await this.changed.wait(clock, Math.min(CHECK_MS, end - clock.now()));
    }
    if (this.hearsLeader()) {
      return { relayed: undefined };
    }
    const since = req.epoch === this.epoch ? req.revision : -1;
    return { relayed: { epoch: this.epoch, changes: this.ledger.listChangesSince(since) } };
  }

  private keep({ hostId, runs }: procedures.SuspectReport): void {
    const { clock, log } = this.options;
    this.use();
    runs.forEach((run) => {
      const { digest, kind } = run;
      if (kind === 'ended') {
        this.ledger.recordProcessEnd(digest, run.end, clock.now());
      } else if (kind === 'served') {
        this.ledger.clear(digest);
      } else {
        this.ledger.recordInconclusiveRun(digest, run.processId);
      }
      const standing = this.ledger.getStanding(digest);
      log.info({ decision: 'suspect-relayed', digest, kind, standing, peer: hostId });
    });
    this.changed.notify();
  }

  private permitHere(req: procedures.SuspectPermitReq): routing.Permit {
    const { digest, facts, hostId, mayShare, processId } = req;
    const { clock, log } = this.options;
    this.use();
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

  private hearsLeader(): boolean {
    return this.findLeader() !== undefined;
  }

  /** A leader that failed to answer counts again when it is next heard. */
  private findLeader(): string | undefined {
    const leader = this.options.findLeader();
    return leader !== undefined && leader.lastContactAt > this.missedAt ? leader.coreId : undefined;
  }

  /** Asks the leader; nothing where none is heard or it does not answer. */
  private async passOn<T>(question: (duties: LeaderDuties) => Promise<T>): Promise<T | undefined> {
    const { clock, coreId, leaderHandlers: duties, log } = this.options;
    const leader = this.findLeader();
    if (leader === undefined) {
      return undefined;
    }
    try {
      return await question(leader === coreId ? duties : this.createRemoteDuties(leader));
    } catch (err) {
      this.missedAt = clock.now();
      this.changed.notify();
      log.info({ event: 'leader-missed', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }

  private createRemoteDuties(leader: string): LeaderDuties {
    const api = this.options.mesh.get(leader);
    const options = { context: { deadlineMs: PASS_ON_MS } };
    return {
      reportSuspects: (req) => api.reportSuspects.mutate(req, options),
      permitSuspect: (req) => api.permitSuspect.mutate(req, options),
    };
  }

  private hasNews({ epoch, revision }: procedures.RelayedUpdatesReq): boolean {
    return epoch === this.epoch ? revision < this.ledger.getRevision() : this.ledger.size > 0;
  }

  private use(): void {
    this.usedAt = this.options.clock.now();
    void this.forgetInTime();
  }

  private async forgetInTime(): Promise<void> {
    if (this.isWatched) {
      return;
    }
    const { clock } = this.options;
    this.isWatched = true;
    while (!this.hearsLeader() && clock.now() - this.usedAt < IDLE_MS) {
      await clock.sleep(CHECK_MS);
    }
    this.isWatched = false;
    this.ledger = new routing.CrashLedger();
    this.epoch += 1;
  }
}
