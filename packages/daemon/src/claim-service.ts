import type * as members from '@bramleyridge/members';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as peerMeshes from './peer-mesh.js';
import * as runRounds from './run-rounds.js';

/** Time for which one request waits for the end of a claimed call at its owner, in milliseconds. */
const OUTCOME_WAIT_MS = 2_000;

/** Number of failed requests to the owner of a claimed call after which the call counts as lost. */
const MAX_OUTCOME_FAILURES = 3;

/** Longest interval between two removals of expired claims, in milliseconds. */
const EXPIRY_INTERVAL_MS = 30_000;

/** Pause after a failed change of the acceptors, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;

/** The claim of a key, and the state of the claimed call as far as it can be determined. */
export interface ClaimedCall {
  readonly value: requests.ClaimValue;
  readonly state: requests.CallState;
}

/** Dependencies of the claim service. */
export interface ClaimServiceOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly incarnation: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly store: members.ConfigurationStore;
  readonly mesh: peerMeshes.PeerMesh;
  readonly calls: requests.CallRegistry;
  readonly random: () => number;
  /** Number of claims from which new keys are refused. */
  readonly maxClaims?: number;
}

/**
 * Claims calls for this daemon, runs its claim acceptor, and looks up the state of claimed calls.
 */
export class ClaimService {
  public readonly acceptor: requests.ClaimAcceptor;
  private readonly proposer: requests.ClaimProposer;
  private isStopped = false;

  public constructor(private readonly options: ClaimServiceOptions) {
    const { cfg, clock, incarnation, log, mesh, random, store } = options;
    const context = { deadlineMs: cfg.timings.claimDeadlineMs };
    const transport: requests.ClaimTransport = {
      claim: async (daemonId, req) => {
        if (daemonId === cfg.daemonId) {
          return this.acceptor.handleClaim(req);
        }
        const answer = await mesh.get(daemonId).claim.mutate(req, { context });
        return schemas.parse(requests.claimRes, answer, 'read-claim');
      },
      // A page of claims is read as a whole: a call whose claim was left out could run twice.
      recover: async (daemonId, req) => {
        const answer = await mesh.get(daemonId).recover.mutate(req, { context });
        return schemas.parse(requests.recoverRes, answer, 'read-claims');
      },
    };
    const { daemonId } = cfg;
    this.acceptor = new requests.ClaimAcceptor({
      daemonId,
      incarnation,
      clock,
      log,
      transport,
      maxClaims: options.maxClaims,
    });
    this.proposer = new requests.ClaimProposer({
      daemonId: `${daemonId}@${incarnation}`,
      transport,
      clock,
      random,
      getAcceptors: () => store.get().claimSeats,
    });
  }

  /** Applies changes of the claim acceptors and removes expired claims, until stopped. */
  public async run(): Promise<void> {
    const { clock, store } = this.options;
    await runRounds.runRounds({
      ...this.options,
      step: 'configure-claims',
      isStopped: () => this.isStopped,
      failurePauseMs: FAILURE_PAUSE_MS,
      round: async () => {
        const { claimSeats, claimFounders } = store.get();
        this.acceptor.configure(claimSeats, claimFounders);
        this.acceptor.expire();
        await store.changed.wait(clock, EXPIRY_INTERVAL_MS);
      },
    });
  }

  /** Stops the task and the acceptor, whose recovery would otherwise go on. */
  public stop(): void {
    this.isStopped = true;
    this.acceptor.configure([], []);
    this.options.store.changed.notify();
  }

  /**
   * Returns the claim key of a team's call; only this digest leaves the daemon, never the caller's
   * key.
   */
  public createKey(team: string, key: string, attempt: number): string {
    return schemas.getSha256(`${team}\n${key}\n${attempt}`).slice(0, 40);
  }

  /** Claims a key for a call of this daemon; resolves to the claim that holds the key. */
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

  /**
   * Resolves to the claim that holds a key and the state of its call; undefined when the key is
   * free.
   */
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

  /** Requests the state of a claimed call from its owner until the call is no longer `running`. */
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
