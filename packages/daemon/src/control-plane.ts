import * as path from 'node:path';

import * as consensus from '@bramleyridge/consensus';
import * as intents from '@bramleyridge/intents';
import type * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import type * as peerMeshes from './peer-mesh.js';
import type * as peerRouters from './peer-router.js';

/** Time after which a call to the leader fails with an unknown result, in milliseconds. */
const LEADER_CALL_TIMEOUT_MS = 8_000;

/** Pause between two attempts to reach the leader, in milliseconds. */
const LEADER_RETRY_PAUSE_MS = 100;

const genesis: z.ZodType<consensus.Genesis> = z.object({
  voterId: z.string(),
  voters: z.array(z.object({ daemonId: z.string(), voterId: z.string() })),
  founders: z.array(z.string()).optional(),
});

/** Dependencies of the control plane. */
export interface ControlPlaneOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly mesh: peerMeshes.PeerMesh;
  readonly store: members.ConfigurationStore;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  readonly files?: consensus.FileStorage;
}

/**
 * Runs this daemon's voter when it has one, and sends requests to the leader of the replicated log.
 */
export class ControlPlane {
  public voter: consensus.Voter | undefined;
  public readonly state = new intents.ControlState();
  private readonly stopping = new AbortController();
  private identity: consensus.Genesis | undefined;
  private leaderHint: string | undefined;

  public constructor(private readonly options: ControlPlaneOptions) {}

  /** Opens the data directory and, once the first voters are agreed, starts the voter. */
  public async start(): Promise<void> {
    const { cfg } = this.options;
    if (!cfg.voter) {
      return;
    }
    const files = this.options.files ?? (await this.openStorage());
    this.identity = await consensus.openIdentity(files);
    this.runVoter(files).catch((err: unknown) => {
      if (!this.stopping.signal.aborted) {
        this.options.log.error({ step: 'voter', err: schemas.toError(err).message });
      }
    });
  }

  /** Stops every task; a leader gives up its leadership. */
  public stop(): void {
    this.stopping.abort(new Error('stopping'));
    this.voter?.stop();
  }

  /** Returns the id of this data directory and the first voters, which are empty until agreed. */
  public getGenesis(): consensus.Genesis {
    if (this.identity === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'genesis' });
    }
    return this.identity;
  }

  /** Returns the voter; throws when this daemon has none. */
  public getVoter(): consensus.Voter {
    if (this.voter === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'voter' });
    }
    return this.voter;
  }

  /** Returns the leadership; throws when this daemon is not the leader. */
  public getLeadership(): consensus.Leadership {
    const leadership = this.voter?.leadership;
    if (leadership === undefined) {
      throw new schemas.StepError({ id: 'notLeader', step: 'leader' });
    }
    return leadership;
  }

  /** Returns the last known leader. */
  public findLeader(): string | undefined {
    return this.voter?.leader ?? this.leaderHint;
  }

  /** Stores the leader that a peer reported. */
  public setLeaderHint(leader: string | undefined): void {
    this.leaderHint = leader ?? this.leaderHint;
  }

  /** Proposes a command to the log; only valid on the leader. */
  public async proposeLocally(command: schemas.Command): Promise<schemas.CommandResult> {
    const { result } = await this.getLeadership().propose(command);
    return result as schemas.CommandResult;
  }

  /** Runs a request at the leader, locally or remotely, and retries until the timeout. */
  public async callLeader<T>(
    runLocally: () => Promise<T>,
    callRemote: (api: peerMeshes.PeerApi) => Promise<T>,
  ): Promise<T> {
    const { clock, mesh } = this.options;
    const deadline = clock.now() + LEADER_CALL_TIMEOUT_MS;
    let lastError: unknown;
    while (clock.now() < deadline) {
      for (const daemonId of this.listLeaders()) {
        try {
          return daemonId === this.options.cfg.daemonId
            ? await runLocally()
            : await callRemote(mesh.get(daemonId));
        } catch (err) {
          lastError = err;
        }
      }
      await clock.sleep(LEADER_RETRY_PAUSE_MS);
    }
    throw new schemas.StepError({ id: 'notLeader', step: 'ask-leader', cause: lastError });
  }

  private *listLeaders(): Generator<string> {
    const { cfg } = this.options;
    const hint = this.findLeader();
    if (hint !== undefined) {
      yield hint;
    }
    for (const peer of cfg.peers) {
      if (peer.voter && peer.daemonId !== hint) {
        yield peer.daemonId;
      }
    }
  }

  private async openStorage(): Promise<consensus.FileStorage> {
    const files = new consensus.DirectoryStorage(
      path.join(this.options.cfg.dataFolder ?? '', 'log'),
    );
    await files.open();
    return files;
  }

  private async runVoter(files: consensus.FileStorage): Promise<void> {
    const { cfg, clock, log, mesh, random } = this.options;
    const { signal } = this.stopping;
    const firstVoters = cfg.peers.filter((peer) => peer.voter).map((peer) => peer.daemonId);
    this.identity = await consensus.agreeGenesis({
      files,
      identity: this.getGenesis(),
      daemonId: cfg.daemonId,
      founders: firstVoters,
      listPeers: () => firstVoters,
      fetchGenesis: (peer) => this.fetchGenesis(peer),
      clock,
      signal,
    });
    this.voter = await consensus.Voter.create({
      daemonId: cfg.daemonId,
      genesis: this.identity,
      wal: new consensus.Wal(files),
      machine: this.createMachine(),
      transport: createTransport(mesh),
      clock,
      log,
      timings: cfg.timings,
      random,
    });
    this.updateStore();
    await consensus.runElections(this.voter, signal);
  }

  private async fetchGenesis(daemonId: string): Promise<consensus.Genesis> {
    const answer = await this.options.mesh.get(daemonId).genesis.mutate();
    return schemas.parse(genesis, answer, 'read-genesis');
  }

  private createMachine(): consensus.StateMachine {
    return {
      apply: (entry) => {
        const result = this.state.apply(entry.data as schemas.Command, entry.index);
        this.updateStore();
        return result;
      },
      getSnapshot: () => this.state.getSnapshot(),
      restore: (snapshot) => {
        this.state.restore(snapshot as intents.ControlSnapshot);
        this.updateStore();
      },
    };
  }

  /**
   * Called with applied entries only, so that only configurations stored by a majority come into
   * force.
   */
  private updateStore(): void {
    const { store } = this.options;
    const deltas = this.state.findDeltas(store.get().revision);
    if (deltas === undefined || !store.offerDeltas(deltas)) {
      store.offer(this.state.getConfiguration());
    }
  }

  /** Adds or removes a voter; only valid on the leader. */
  public async changeVoters(change: peerRouters.VoterChange): Promise<void> {
    const leadership = this.getLeadership();
    if (change.action === 'remove') {
      await leadership.removeVoter(change.daemonId);
      return;
    }
    const { voterId } = await this.fetchGenesis(change.daemonId);
    await leadership.addVoter({ daemonId: change.daemonId, voterId });
  }

  /** Returns the replication state of all voters, as seen by the leader. */
  public describeVoters(): schemas.StatusReport['voters'] {
    const leadership = this.getLeadership();
    const own = {
      daemonId: this.options.cfg.daemonId,
      match: this.getVoter().commitIndex,
      silentMs: 0,
    };
    return [own, ...leadership.listPeers()];
  }
}

function createTransport(mesh: peerMeshes.PeerMesh): consensus.Transport {
  return {
    vote: (peer, req) => mesh.get(peer).vote.mutate(req),
    append: (peer, req, extraMs) => mesh.get(peer).append.mutate(req, { context: { extraMs } }),
    snapshot: (peer, req, extraMs) => mesh.get(peer).snapshot.mutate(req, { context: { extraMs } }),
  };
}
