import * as consensus from '@bramleyridge/consensus';
import * as intents from '@bramleyridge/intents';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as coreHostRegistries from './core-host-registry.js';
import * as membershipManagers from './membership-manager.js';

/**
 * Election timeout, in milliseconds. The group elects a new leader within about twice this time, so an order that is
 * sent while the leader fails is acknowledged well within the 4 s that deployments allow. A slow disk's sync (150 ms)
 * between two heartbeats does not depose the leader.
 */
const ELECTION_TIMEOUT_MS = 600;

/** Time for which a leader is certain to be the only one after a majority has answered, in milliseconds. */
const LEASE_MS = 400;

/** Number of log entries after which a snapshot replaces them; each entry may hold a document of 100 KB. */
const SNAPSHOT_EVERY_ENTRIES = 256;

/** Delay before a voter is reopened after its disk failed, in milliseconds. */
const REOPEN_DELAY_MS = 500;

/** Options of `CoreGroup`. */
export interface CoreGroupOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly founders: readonly string[];
  readonly voterSlotCount: number;
  readonly openFiles: () => Promise<consensus.FileStorage>;
  readonly mesh: coreMeshes.CorePeers;
  readonly registry: coreHostRegistries.CoreHostRegistry;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** The current leader and the time of the last contact with it, on this host's clock. */
export interface RecentLeader {
  readonly coreId: string;
  readonly lastContactAt: number;
}

/**
 * The declared document's fields with all other state beside them, so that hosts of the previous version can read it.
 */
interface CoreSnapshot extends Partial<intents.DeclaredDocument> {
  readonly quarantine?: readonly routing.SuspectFacts[];
  readonly evacuations?: intents.EvacuatedZones;
}

/** This host's member of the consensus group: its identity, its voter and, on the leader, the group's membership. */
export class CoreGroup {
  public readonly state = new intents.DeclaredState();
  public readonly quarantine = new routing.QuarantineState();
  public readonly evacuations = new intents.EvacuationState();
  public readonly membership: membershipManagers.MembershipManager;
  public voter: consensus.Voter | undefined;
  private identity: consensus.Genesis | undefined;
  private founding: consensus.Founding | undefined;
  private readonly stopping = new AbortController();

  public constructor(private readonly options: CoreGroupOptions) {
    this.membership = new membershipManagers.MembershipManager({
      ...options,
      findVoter: () => this.voter,
      isLeading: () => this.isLeading(),
    });
  }

  /** Runs this host's voter until stopped. A voter whose disk failed is reopened from what the disk holds. */
  public async run(): Promise<void> {
    const { signal } = this.stopping;
    const { log } = this.options;
    schemas.runInBackground(() => this.membership.run(signal), { log, step: 'membership' });
    while (!signal.aborted) {
      try {
        await this.runVoter();
      } catch (err) {
        const { message } = schemas.toError(err);
        log.warn({ event: 'disk-lost', step: 'open-log', err: message });
      }
      await this.options.clock.sleep(REOPEN_DELAY_MS, signal).catch(() => {});
    }
  }

  /** Stops all tasks. */
  public stop(): void {
    this.stopping.abort(new Error('stopping'));
    this.voter?.stop();
  }

  /**
   * Returns the voter ID of this data folder and the founding voters if they are agreed; throws before the folder is
   * open.
   */
  public getIdentity(): consensus.Genesis {
    if (this.identity === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'identity' });
    }
    return this.identity;
  }

  /** Answers a proposal for the initial voters; rejects before the data folder is open. */
  public async handleFounding(req: consensus.FoundingReq): Promise<consensus.FoundingRes> {
    if (this.founding === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'found-log' });
    }
    return this.founding.handle(req);
  }

  /** Returns this host's voter; throws before the log is open. */
  public getVoter(): consensus.Voter {
    if (this.voter === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'voter' });
    }
    return this.voter;
  }

  /** Returns the leadership; throws on a host that does not lead. */
  public getLeadership(): consensus.Leadership {
    const leadership = this.voter?.leadership;
    if (leadership === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'leader' });
    }
    return leadership;
  }

  /** Returns whether this host leads, its lease holds and all entries of earlier terms are applied. */
  public isLeading(): boolean {
    const leadership = this.voter?.leadership;
    return leadership !== undefined && leadership.isLeaseHeld() && leadership.hasCommittedInTerm();
  }

  /** Returns the leader, if this host leads or had contact with the leader within the election timeout. */
  public findRecentLeader(): RecentLeader | undefined {
    const { clock, coreId } = this.options;
    const now = clock.now();
    if (this.isLeading()) {
      return { coreId, lastContactAt: now };
    }
    const { lastLeaderContactAt: lastContactAt = -Infinity, leader, leadership } = this.voter ?? {};
    const hasContact =
      leader !== undefined && leadership === undefined && now - lastContactAt < ELECTION_TIMEOUT_MS;
    return hasContact ? { coreId: leader, lastContactAt } : undefined;
  }

  /** Returns whether the state applied here was confirmed as the newest by a leader within the election timeout. */
  public isCurrent(): boolean {
    const { voter } = this;
    if (voter === undefined || voter.stopped || !voter.hasSlot()) {
      return false;
    }
    const behindMs = this.options.clock.now() - voter.caughtUpAt;
    return this.isLeading() || (voter.leader !== undefined && behindMs < ELECTION_TIMEOUT_MS);
  }

  private getSnapshot(): CoreSnapshot | null {
    const document = this.state.getSnapshot();
    const quarantine = this.quarantine.list();
    const evacuations = this.evacuations.get();
    const isEmpty = document === null && quarantine.length === 0 && evacuations.revision === 0;
    return isEmpty ? null : { ...document, quarantine, evacuations };
  }

  private restore(snapshot: CoreSnapshot | null): void {
    const { evacuations, quarantine, text, version } = snapshot ?? {};
    if (version !== undefined && text !== undefined) {
      this.state.restore({ version, text });
    }
    this.quarantine.restore(quarantine ?? []);
    if (evacuations !== undefined) {
      this.evacuations.restore(evacuations);
    }
  }

  private async runVoter(): Promise<void> {
    const { clock, coreId, founders, log, mesh, random, registry } = this.options;
    const { signal } = this.stopping;
    await this.founding?.close();
    const files = await this.options.openFiles();
    const identity = await consensus.openIdentity(files, founders);
    this.identity = identity;
    const agreement = new consensus.Founding(files, identity);
    this.founding = agreement;
    this.identity = await consensus.agreeGenesis({
      files,
      identity,
      daemonId: coreId,
      founders: identity.founders ?? [],
      listPeers: () => registry.listOthers(),
      fetchGenesis: async (peer) => mesh.get(peer).genesis.mutate(),
      founding: { agreement, send: (peer, req) => sendFounding(mesh, peer, req) },
      clock,
      signal,
    });
    const voter = await consensus.Voter.create({
      daemonId: coreId,
      genesis: this.identity,
      wal: new consensus.Wal(files),
      machine: this.createMachine(),
      transport: createTransport(mesh),
      clock,
      log,
      timings: { electionMs: ELECTION_TIMEOUT_MS, leaseMs: LEASE_MS },
      random,
      snapshotEvery: SNAPSHOT_EVERY_ENTRIES,
    });
    this.voter = voter;
    log.info({
      event: 'log-opened',
      term: voter.term,
      lastIndex: voter.entries.lastIndex,
      isSeated: voter.hasSlot(),
      seats: voter.entries.getVoters().map((slot) => slot.daemonId),
    });
    await consensus.runElections(voter, signal);
    await files.close?.();
  }

  private apply(data: unknown): unknown {
    if (routing.isQuarantineEntry(data)) {
      return this.quarantine.apply(data);
    }
    if (intents.isEvacuationEntry(data)) {
      return this.evacuations.apply(data);
    }
    return this.state.apply(data as intents.DeclaredDocument);
  }

  private createMachine(): consensus.StateMachine {
    return {
      apply: ({ data }) => this.apply(data),
      getSnapshot: () => this.getSnapshot(),
      restore: (snapshot) => this.restore(snapshot as CoreSnapshot | null),
    };
  }
}

async function sendFounding(
  mesh: coreMeshes.CorePeers,
  peer: string,
  req: consensus.FoundingReq,
): Promise<consensus.FoundingRes> {
  const answer = await mesh.get(peer).found.mutate(req);
  return schemas.parse(consensus.foundingRes, answer, 'found-log');
}

function createTransport(mesh: coreMeshes.CorePeers): consensus.Transport {
  return {
    vote: (peer, req) => mesh.get(peer).vote.mutate(req),
    append: (peer, req, extraMs) => mesh.get(peer).append.mutate(req, { context: { extraMs } }),
    snapshot: (peer, req, extraMs) => mesh.get(peer).snapshot.mutate(req, { context: { extraMs } }),
  };
}
