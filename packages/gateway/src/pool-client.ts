import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';

/**
 * How long the leader's answer may take beyond the time that it may hold the question, in milliseconds: some ten
 * times the way there and back. After it this host chooses alone, so a leader that dies costs each call that long.
 */
const ANSWER_MS = 60;

/** How long after a question without an answer this host chooses alone, in milliseconds. */
const ALONE_MS = 500;

/** What the client needs. */
export interface PoolClientOptions {
  readonly mesh: coreMeshes.CoreMesh;
  readonly findLeader: () => string | undefined;
  readonly hostId: string;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

interface Running {
  readonly service: string;
  readonly need: routing.PlaceNeed;
  readonly engineId: string;
  readonly startedAt: number;
}

/** Asks the leader where generations go, and keeps it informed of what runs here. */
export class PoolClient {
  private readonly running = new Map<string, Running>();
  private aloneUntil = -Infinity;
  private informed: string | undefined;

  public constructor(private readonly options: PoolClientOptions) {}

  /** Where a generation goes; nothing when the leader does not answer, and this host has to choose alone. */
  public async place(
    service: string,
    need: Omit<routing.PlaceNeed, 'hostId'>,
    patienceMs: number,
  ): Promise<procedures.PlaceRes | undefined> {
    const { clock, findLeader, hostId, log, mesh } = this.options;
    const leader = findLeader();
    if (leader === undefined || clock.now() < this.aloneUntil) {
      return undefined;
    }
    this.inform(leader);
    try {
      const context = { deadlineMs: patienceMs + ANSWER_MS };
      const req = { service, need: { ...need, hostId }, patienceMs };
      return await mesh.get(leader).place.mutate(req, { context });
    } catch (err) {
      this.aloneUntil = clock.now() + ALONE_MS;
      this.informed = undefined;
      log.warn({ event: 'pool-owner-lost', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }

  /** Notes that a generation runs here, wherever that was decided. */
  public enter(service: string, need: Omit<routing.PlaceNeed, 'hostId'>, engineId: string): void {
    const { clock, hostId } = this.options;
    const startedAt = clock.now() - need.ranMs;
    this.running.set(need.callId, { service, need: { ...need, hostId }, engineId, startedAt });
  }

  /** Notes that it runs no longer. */
  public leave(callId: string, hasFailed: boolean): void {
    const { findLeader, mesh } = this.options;
    const known = this.running.get(callId);
    const leader = findLeader();
    this.running.delete(callId);
    if (known !== undefined && leader !== undefined) {
      this.tell(
        mesh.get(leader).release.mutate({ service: known.service, callId, hasFailed }),
        'release',
      );
    }
  }

  /** Tells a leader that has just risen, or was lost for a while, what runs here. */
  private inform(leader: string): void {
    const { clock, mesh } = this.options;
    if (this.informed === leader) {
      return;
    }
    this.informed = leader;
    const now = clock.now();
    this.running.forEach(({ engineId, need, service, startedAt }) => {
      const known = { ...need, fixedEngineId: engineId, wantsCopy: false, ranMs: now - startedAt };
      this.tell(mesh.get(leader).place.mutate({ service, need: known, patienceMs: 0 }), 'inform');
    });
  }

  private tell(told: Promise<unknown>, step: string): void {
    told.catch((err: unknown) => {
      // The account drops what is overdue, so a message that is lost costs room for a while and nothing else.
      this.options.log.debug({ step, err: schemas.toError(err).message });
    });
  }
}
