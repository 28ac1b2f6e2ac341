import * as consensus from '@bramleyridge/consensus';
import * as intents from '@bramleyridge/intents';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as coreTables from './core-host-registry.js';
import * as seatKeepers from './membership-manager.js';

/**
 * The election timeout, in milliseconds. The group has a new leader within about twice that, so an order sent
 * while the leader dies is acknowledged well inside the 4 s that the deployments allow; a sync of a slow disk
 * (150 ms) between two heartbeats does not unseat a leader.
 */
const ELECTION_MS = 600;

/** How long a leader is sure to be the only one after a majority's answer, in milliseconds. */
const LEASE_MS = 400;

/** How many entries are kept before a snapshot takes their place; each may hold a document of 100 KB. */
const SNAPSHOT_EVERY = 256;

/** The pause before a voter whose disk failed is tried anew, in milliseconds. */
const REOPEN_MS = 500;

/** What takes part in the log needs. */
export interface CoreGroupOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly founders: readonly string[];
  readonly voterSlotCount: number;
  readonly openFiles: () => Promise<consensus.FileStorage>;
  readonly mesh: coreMeshes.CorePeers;
  readonly registry: coreTables.CoreHostRegistry;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** Who leads, and when that was last heard, on this host's clock. */
export interface RecentLeader {
  readonly coreId: string;
  readonly lastContactAt: number;
}

/** The document itself with all else beside it, so that hosts of the version before find what they know. */
interface CoreSnapshot extends Partial<intents.DeclaredDocument> {
  readonly quarantine?: readonly routing.SuspectFacts[];
  readonly evacuations?: intents.EvacuatedZones;
}

/** This host's part in the replicated log: its identity, its voter, and as the leader the seats. */
export class CoreGroup {
  public readonly state = new intents.DeclaredState();
  public readonly quarantine = new routing.QuarantineState();
  public readonly evacuations = new intents.EvacuationState();
  public readonly membership: seatKeepers.MembershipManager;
  public voter: consensus.Voter | undefined;
  private identity: consensus.Genesis | undefined;
  private readonly stopping = new AbortController();

  public constructor(private readonly options: CoreGroupOptions) {
    this.membership = new seatKeepers.MembershipManager({
      ...options,
      findVoter: () => this.voter,
      isLeading: () => this.isLeading(),
    });
  }

  /** Takes part until stopped; a voter whose disk failed is opened anew from what the disk holds. */
  public async run(): Promise<void> {
    const { signal } = this.stopping;
    void this.membership.run(signal);
    while (!signal.aborted) {
      try {
        await this.runVoter();
      } catch (err) {
        const { message } = schemas.toError(err);
        this.options.log.warn({ event: 'disk-lost', step: 'open-log', err: message });
      }
      await this.options.clock.sleep(REOPEN_MS, signal).catch(() => {});
    }
  }

  /** Ends every task. */
  public stop(): void {
    this.stopping.abort(new Error('stopping'));
    this.voter?.stop();
  }

  /** This data folder's number and the first voters, as far as they are agreed. */
  public getIdentity(): consensus.Genesis {
    if (this.identity === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'identity' });
    }
    return this.identity;
  }

  /** This host's voter, or an error before the log is open. */
  public getVoter(): consensus.Voter {
    if (this.voter === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'voter' });
    }
    return this.voter;
  }

  /** The leadership, or an error where this host does not lead. */
  public getLeadership(): consensus.Leadership {
    const leadership = this.voter?.leadership;
    if (leadership === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'leader' });
    }
    return leadership;
  }

  /** Whether this host leads and a majority has lately confirmed it. */
  public isLeading(): boolean {
    const leadership = this.voter?.leadership;
    return leadership !== undefined && leadership.isLeaseHeld() && leadership.hasCommittedInTerm();
  }

  /** Who leads, as far as this host leads itself or has lately heard from the leader. */
  public findRecentLeader(): RecentLeader | undefined {
    const { clock, coreId } = this.options;
    const now = clock.now();
    if (this.isLeading()) {
      return { coreId, lastContactAt: now };
    }
    const { lastLeaderContactAt: heardAt = -Infinity, leader, leadership } = this.voter ?? {};
    const isHeard = leader !== undefined && leadership === undefined && now - heardAt < ELECTION_MS;
    return isHeard ? { coreId: leader, lastContactAt: heardAt } : undefined;
  }

  /** Whether what is applied here is the newest, as far as a leader's word of late vouches for it. */
  public isCurrent(): boolean {
    const { voter } = this;
    if (voter === undefined || voter.stopped || !voter.hasSlot()) {
      return false;
    }
    const behindMs = this.options.clock.now() - voter.caughtUpAt;
    return this.isLeading() || (voter.leader !== undefined && behindMs < ELECTION_MS);
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
    const { clock, coreId, founders, log, mesh, random, registry: table } = this.options;
    const { signal } = this.stopping;
    const files = await this.options.openFiles();
    const identity = await consensus.openIdentity(files, founders);
    this.identity = identity;
    this.identity = await consensus.agreeGenesis({
      files,
      identity,
      daemonId: coreId,
      founders: identity.founders ?? [],
      listPeers: () => table.listOthers(),
      fetchGenesis: (peer) => mesh.get(peer).genesis.mutate(),
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
      timings: { electionMs: ELECTION_MS, leaseMs: LEASE_MS },
      random,
      snapshotEvery: SNAPSHOT_EVERY,
    });
    this.voter = voter;
    log.info({
      event: 'log-opened',
      term: voter.term,
      lastIndex: voter.entries.lastIndex,
      isSeated: voter.hasSlot(),
      seats: voter.entries.getVoters().map((seat) => seat.daemonId),
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

function createTransport(mesh: coreMeshes.CorePeers): consensus.Transport {
  return {
    vote: (peer, req) => mesh.get(peer).vote.mutate(req),
    append: (peer, req) => mesh.get(peer).append.mutate(req),
    snapshot: (peer, req) => mesh.get(peer).snapshot.mutate(req),
  };
}
