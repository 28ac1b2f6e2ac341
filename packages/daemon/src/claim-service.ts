import type * as members from '@bramleyridge/members';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as peerMeshes from './peer-mesh.js';

/** How long the owner of a claimed call is asked to wait for its end in one go, in milliseconds. */
const OUTCOME_WAIT_MS = 2_000;

/** How often a claimed call's owner is asked before it counts as lost. */
const MAX_OUTCOME_FAILURES = 3;

/** How often expired claims are dropped, in milliseconds. */
const EXPIRY_INTERVAL_MS = 30_000;

/** Who claimed a key, and how the call stands as far as can be known. */
export interface ClaimedCall {
  readonly value: requests.ClaimValue;
  readonly state: requests.CallState;
}

/** What the desk needs. */
export interface ClaimServiceOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly incarnation: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly store: members.ConfigurationStore;
  readonly mesh: peerMeshes.PeerMesh;
  readonly calls: requests.CallRegistry;
  readonly random: () => number;
}

/** Where a daemon claims calls, and asks who holds a claim. */
export class ClaimService {
  public readonly acceptor: requests.ClaimAcceptor;
  private readonly proposer: requests.ClaimProposer;
  private isStopped = false;

  public constructor(private readonly options: ClaimServiceOptions) {
    const { cfg, clock, incarnation, log, mesh, random, store } = options;
    const context = { deadlineMs: cfg.timings.claimDeadlineMs };
    const transport: requests.ClaimTransport = {
      claim: async (daemonId, req) =>
        daemonId === cfg.daemonId
          ? this.acceptor.handleClaim(req)
          : mesh.get(daemonId).claim.mutate(req, { context }),
      recover: (daemonId, req) => mesh.get(daemonId).recover.mutate(req, { context }),
    };
    const { daemonId } = cfg;
    this.acceptor = new requests.ClaimAcceptor({ daemonId, incarnation, clock, log, transport });
    this.proposer = new requests.ClaimProposer({
      daemonId: `${daemonId}@${incarnation}`,
      transport,
      clock,
      random,
      getAcceptors: () => store.get().claimSeats,
    });
  }

  /** Follows the seats in force, and drops expired claims, until stopped. */
  public async run(): Promise<void> {
    const { clock, store } = this.options;
    while (!this.isStopped) {
      const { claimSeats, claimFounders } = store.get();
      this.acceptor.configure(claimSeats, claimFounders);
      this.acceptor.expire();
      await store.changed.wait(clock, EXPIRY_INTERVAL_MS);
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
    this.options.store.changed.notify();
  }

  /** The key of a team's call; only its digest ever leaves this daemon. */
  public createKey(team: string, key: string, attempt: number): string {
    return schemas.getSha256(`${team}\n${key}\n${attempt}`).slice(0, 40);
  }

  /** Claims a key for a call of this daemon; whoever holds it is given back. */
  public claim(
    key: string,
    call: string,
    upstreamId: string,
    requestHash: string,
  ): Promise<requests.ClaimValue> {
    const { cfg, incarnation } = this.options;
    const { daemonId, host, peerPort } = cfg;
    return this.proposer.claim(key, {
      call,
      daemonId,
      incarnation,
      host,
      peerPort,
      upstreamId,
      requestHash,
    });
  }

  /** Who holds a key and how the call stands; nothing when nobody holds it. */
  public async find(key: string, requestHash: string): Promise<ClaimedCall | undefined> {
    const value = await this.proposer.find(key);
    if (value === undefined) {
      return undefined;
    }
    if (value.requestHash !== requestHash) {
      throw new schemas.Refusal({
        id: 'keyReused',
        step: 'claim',
        status: 422,
        outcome: 'not-run',
        param: 'idempotency-key',
      });
    }
    return { value, state: await this.fetchCallState(value) };
  }

  /** Asks the daemon that claimed a call how it stands, until it has begun. */
  private async fetchCallState(value: requests.ClaimValue): Promise<requests.CallState> {
    const { cfg, calls, clock, incarnation, mesh } = this.options;
    const outcomeReq = { call: value.call, waitMs: OUTCOME_WAIT_MS };
    const context = { deadlineMs: OUTCOME_WAIT_MS + cfg.timings.peerDeadlineMs };
    if (value.daemonId === cfg.daemonId) {
      const isSameProcess = value.incarnation === incarnation;
      return isSameProcess ? calls.await(value.call, cfg.limits.queueMs) : { state: 'lost' };
    }
    let failures = 0;
    while (failures < MAX_OUTCOME_FAILURES) {
      try {
        const answer: unknown = await mesh
          .getAt(value.daemonId, value)
          .outcome.mutate(outcomeReq, { context });
        const state = requests.callState.parse(answer);
        if (state.state !== 'running') {
          return state;
        }
      } catch {
        failures += 1;
        await clock.sleep(OUTCOME_WAIT_MS / 20);
      }
    }
    return { state: 'lost' };
  }
}
