import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as coreMeshes from './core-mesh.js';
import type * as procedures from './core-procedures.js';
import type * as upstreamPickers from './upstream-picker.js';

/**
 * Time that the leader's answer may take beyond the time that it may hold the request, in milliseconds; about ten round
 * trips. After that the host uses fallback placement, so a failed leader delays a call by this much.
 */
const ANSWER_MARGIN_MS = 60;

/** How long fallback placement is used after a request without an answer, in milliseconds. */
const FALLBACK_MS = 500;

/** How long the leader may hold a request for a migration, in milliseconds. */
const MIGRATION_WAIT_MS = 2_000;

/** Dependencies of the placement client. */
export interface PlacementClientOptions {
  readonly hostId: string;
  readonly mesh: coreMeshes.CoreMesh;
  readonly findLeader: () => string | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

interface RunningGeneration {
  readonly service: string;
  readonly spec: routing.PlacementSpec;
  readonly engineId: string;
  readonly startedAt: number;
}

/** Requests placements from the leader and reports the generations of this host to it. */
export class PlacementClient implements upstreamPickers.GenerationPlacer {
  private readonly running = new Map<string, RunningGeneration>();
  private fallbackUntil = -Infinity;
  private informedLeader: string | undefined;

  public constructor(private readonly options: PlacementClientOptions) {}

  /** Requests a placement; undefined if the leader does not answer and this host has to use fallback placement. */
  public async place(
    service: string,
    spec: routing.PlacementSpec,
    wait: upstreamPickers.PlacementWait,
  ): Promise<procedures.PlaceRes | undefined> {
    return this.request((api) =>
      api.place.mutate(
        { service, need: spec, ...wait },
        { context: { deadlineMs: wait.patienceMs + ANSWER_MARGIN_MS } },
      ),
    );
  }

  /**
   * Waits until a run is to be migrated and returns the target engine, if any; undefined if the leader does not answer.
   */
  public async awaitMigration(
    service: string,
    run: procedures.MigrationOffer,
  ): Promise<procedures.MigrationRes | undefined> {
    const patienceMs = MIGRATION_WAIT_MS;
    const context = { deadlineMs: patienceMs + ANSWER_MARGIN_MS };
    return this.request((api) =>
      api.awaitHandOver.mutate({ service, ...run, patienceMs }, { context }),
    );
  }

  /** Reports an event of a generation that runs here. */
  public reportEvent(callId: string, event: procedures.GenerationEvent['event']): void {
    const { findLeader, mesh } = this.options;
    const known = this.running.get(callId);
    const leader = findLeader();
    if (known !== undefined && leader !== undefined) {
      const note = { service: known.service, callId, event };
      this.send(mesh.get(leader).noteRun.mutate(note), 'note-run');
    }
  }

  /** Reports the pace of a stream that runs here; nothing waits for the leader's answer. */
  public reportPace(callId: string, engineId: string, pace: routing.StreamPace): void {
    const { findLeader, mesh } = this.options;
    const known = this.running.get(callId);
    const leader = findLeader();
    if (known !== undefined && leader !== undefined) {
      const report = { service: known.service, callId, engineId, ...pace };
      this.send(mesh.get(leader).reportPace.mutate(report), 'report-pace');
    }
  }

  /** Requests a retry beyond this host's own share from the leader. */
  public async requestRetry(service: string): Promise<boolean> {
    const context = { deadlineMs: ANSWER_MARGIN_MS };
    const res = await this.request((api) => api.borrowRetry.mutate({ service }, { context }));
    return res?.isLent ?? false;
  }

  /** Registers a generation that runs here, whether the leader or this host placed it. */
  public registerRun(service: string, spec: routing.PlacementSpec, engineId: string): void {
    const startedAt = this.options.clock.now() - spec.ranMs;
    this.running.set(spec.callId, { service, spec, engineId, startedAt });
  }

  /** Unregisters a generation that has ended, and reports that to the leader. */
  public unregisterRun(callId: string, hasFailed: boolean, hasAnswered?: boolean): void {
    const { findLeader, hostId, mesh } = this.options;
    const known = this.running.get(callId);
    const leader = findLeader();
    this.running.delete(callId);
    if (known !== undefined && leader !== undefined) {
      const req = { service: known.service, callId, hasFailed, hostId, hasAnswered };
      this.send(mesh.get(leader).release.mutate(req), 'release');
    }
  }

  /** Sends a request to the leader; after one that was not answered, sends none for a while. */
  private async request<T>(send: (api: coreMeshes.CoreApi) => Promise<T>): Promise<T | undefined> {
    const { clock, findLeader, log, mesh } = this.options;
    const leader = findLeader();
    if (leader === undefined || clock.now() < this.fallbackUntil) {
      return undefined;
    }
    this.reportRuns(leader);
    try {
      return await send(mesh.get(leader));
    } catch (err) {
      // The next leader, or this one after a re-election, needs the runs of this host: a host that loses the lead drops
      // them.
      this.informedLeader = undefined;
      // A failed request to a former leader says nothing about the current one.
      if (findLeader() === leader) {
        this.fallbackUntil = clock.now() + FALLBACK_MS;
      }
      log.warn({ event: 'pool-owner-lost', peer: leader, err: schemas.toError(err).message });
      return undefined;
    }
  }

  /** Reports the runs of this host to a leader that is new or did not answer for a while. */
  private reportRuns(leader: string): void {
    const { clock, mesh } = this.options;
    if (this.informedLeader === leader) {
      return;
    }
    this.informedLeader = leader;
    const now = clock.now();
    this.running.forEach(({ engineId, spec, service, startedAt }) => {
      const registration = { fixedEngineId: engineId, isUnderWay: true, wantsCopy: false };
      const need = { ...spec, ...registration, ranMs: now - startedAt };
      const req = { service, need, patienceMs: 0, dueInMs: 0, rank: 0 };
      this.send(mesh.get(leader).place.mutate(req), 'inform');
    });
  }

  private send(pending: Promise<unknown>, step: string): void {
    pending.catch((err: unknown) => {
      // The leader's ledger drops overdue runs, so a lost message only occupies capacity for a while.
      this.options.log.debug({ step, err: schemas.toError(err).message });
    });
  }
}
