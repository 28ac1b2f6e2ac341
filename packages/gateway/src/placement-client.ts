import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as upstreamPickers from './upstream-picker.js';

/**
 * How long the leader's answer may take beyond the time that it may hold the question, in milliseconds: some ten
 * times the way there and back. After it this host chooses alone, so a leader that dies costs each call that long.
 */
const ANSWER_MS = 60;

/** How long after a question without an answer this host chooses alone, in milliseconds. */
const ALONE_MS = 500;

/** How long the question whether a run is to be handed over stays open at the leader, in milliseconds. */
const HAND_OVER_WAIT_MS = 2_000;

/** What the client needs. */
export interface PlacementClientOptions {
  readonly mesh: coreMeshes.CoreMesh;
  readonly findLeader: () => string | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

interface Running {
  readonly service: string;
  readonly need: routing.PlacementSpec;
  readonly engineId: string;
  readonly startedAt: number;
}

/** Asks the leader where generations go, and keeps it informed of what runs here. */
export class PlacementClient implements upstreamPickers.GenerationPlacer {
  private readonly running = new Map<string, Running>();
  private aloneUntil = -Infinity;
  private informed: string | undefined;

  public constructor(private readonly options: PlacementClientOptions) {}

  /** Where a generation goes; nothing when the leader does not answer, and this host has to choose alone. */
  public async place(
    service: string,
    need: routing.PlacementSpec,
    wait: upstreamPickers.PlacementWait,
  ): Promise<procedures.PlaceRes | undefined> {
    return this.ask((api) =>
      api.place.mutate(
        { service, need, ...wait },
        { context: { deadlineMs: wait.patienceMs + ANSWER_MS } },
      ),
    );
  }

  /** Which engine takes a run over when that comes up meanwhile; nothing when nobody answers. */
  public async awaitMigration(
    service: string,
    run: procedures.MigrationOffer,
  ): Promise<procedures.MigrationRes | undefined> {
    const patienceMs = HAND_OVER_WAIT_MS;
    const context = { deadlineMs: patienceMs + ANSWER_MS };
    return this.ask((api) =>
      api.awaitHandOver.mutate({ service, ...run, patienceMs }, { context }),
    );
  }

  /** Notes what became of a generation that runs here. */
  public noteRun(callId: string, event: procedures.GenerationEvent['event']): void {
    const { findLeader, mesh } = this.options;
    const known = this.running.get(callId);
    const leader = findLeader();
    if (known !== undefined && leader !== undefined) {
      const note = { service: known.service, callId, event };
      this.tell(mesh.get(leader).noteRun.mutate(note), 'note-run');
    }
  }

  /** Asks the leader for a retry beyond this host's own share. */
  public async requestRetry(service: string): Promise<boolean> {
    const context = { deadlineMs: ANSWER_MS };
    const res = await this.ask((api) => api.borrowRetry.mutate({ service }, { context }));
    return res?.isLent ?? false;
  }

  /** Notes that a generation runs here, wherever that was decided. */
  public registerRun(service: string, need: routing.PlacementSpec, engineId: string): void {
    const startedAt = this.options.clock.now() - need.ranMs;
    this.running.set(need.callId, { service, need, engineId, startedAt });
  }

  /** Notes that it runs no longer. */
  public unregisterRun(callId: string, hasFailed: boolean): void {
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

  /** Asks the leader; one that does not answer is left alone for a while. */
  private async ask<T>(question: (api: coreMeshes.CoreApi) => Promise<T>): Promise<T | undefined> {
    const { clock, findLeader, log, mesh } = this.options;
    const leader = findLeader();
    if (leader === undefined || clock.now() < this.aloneUntil) {
      return undefined;
    }
    this.inform(leader);
    try {
      return await question(mesh.get(leader));
    } catch (err) {
      // Whoever leads next, or this one again, has to be told what runs here: one that lost the lead has forgotten.
      this.informed = undefined;
      // A question that was open at a former leader says nothing of the one that leads now.
      if (findLeader() === leader) {
        this.aloneUntil = clock.now() + ALONE_MS;
      }
      log.warn({ event: 'pool-owner-lost', peer: leader, err: schemas.toError(err).message });
      return undefined;
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
      const told = { fixedEngineId: engineId, isUnderWay: true, wantsCopy: false };
      const known = { ...need, ...told, ranMs: now - startedAt };
      const req = { service, need: known, patienceMs: 0, dueInMs: 0, rank: 0 };
      this.tell(mesh.get(leader).place.mutate(req), 'inform');
    });
  }

  private tell(told: Promise<unknown>, step: string): void {
    told.catch((err: unknown) => {
      // The account drops what is overdue, so a message that is lost costs room for a while and nothing else.
      this.options.log.debug({ step, err: schemas.toError(err).message });
    });
  }
}
