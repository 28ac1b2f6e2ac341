import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as routedJobs from './routed-job.js';
import type * as upstreamDirectories from './upstream-directory.js';
import type * as upstreamPickers from './upstream-picker.js';

/**
 * The pause after an answer that led to nothing, in milliseconds: the leader is lost for a moment, or an engine refused.
 * A leaving engine has one to two seconds.
 */
const RETRY_MS = 100;

/** How long an engine may take over a copy, in milliseconds: 0.2 s for 0.5 GB, twice that across zones. */
const COPY_MS = 2_500;

/** The copy of a run, and at which engine. */
export interface KvCacheBackup {
  readonly at: upstreamDirectories.KnownUpstream;
  readonly reference: ports.KvCacheReference;
}

/** What the keeper needs. */
export interface MigrationManagerOptions {
  readonly engines: ports.EngineControl;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly picker: upstreamPickers.UpstreamPicker;
  readonly findBudget: (service: string) => requests.GrantingRetrySource;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** A run that is to go on when its engine leaves. */
export interface MigratableRun {
  readonly engine: upstreamDirectories.KnownUpstream;
  backup: KvCacheBackup | undefined;
  isOpen: boolean;
  /** Whether it ended otherwise than well; its copy is needed then. */
  hasFailed: boolean;
  /** Whether the retry by which it goes on was taken already. */
  hasRetryGranted: boolean;
  /** Settles when the last part of its copy is made; its stream has ended already. */
  finalBackup: Promise<void> | undefined;
}

/**
 * Hands a long run over when the leader says so: its engine leaves, and no other engine keeps a copy. The memory is
 * copied while the run goes on, then the run is stopped, the little that was made meanwhile follows, and it goes on at
 * the other engine after a pause of a few events.
 */
export class MigrationManager {
  public constructor(private readonly options: MigrationManagerOptions) {}

  /** Sees to it until the run is over. */
  public async run(job: routedJobs.RoutedJob, run: MigratableRun): Promise<void> {
    const { clock, picker } = this.options;
    const full: string[] = [];
    while (run.isOpen && run.finalBackup === undefined) {
      const { target: taker, isAnswered: wasAsked } = await picker.awaitMigrationTarget(
        job.call,
        run.engine.upstreamId,
        full,
      );
      if (taker !== undefined && run.isOpen) {
        await this.handOver(job, run, taker, full);
      } else if (!wasAsked) {
        await clock.sleep(RETRY_MS);
      }
    }
    await run.finalBackup;
    while (run.isOpen) {
      await clock.sleep(RETRY_MS);
    }
    await this.dropUnused(job, run);
  }

  /** Copies the run and stops it; an engine without room is not asked again. */
  private async handOver(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    at: upstreamDirectories.KnownUpstream,
    full: string[],
  ): Promise<void> {
    const { clock, findBudget, log, picker } = this.options;
    const kind = await this.copy(job, run, at);
    // Going on counts as a retry. Without one the run is not stopped: it may yet end where it is.
    const mayGoOn = kind === 'made' && (await findBudget(job.call.service.name).takeGranted());
    if (mayGoOn) {
      run.hasRetryGranted = true;
      run.finalBackup = this.stop(job, run, at);
      return;
    }
    if (kind === 'no-room') {
      full.push(at.upstreamId);
    } else if (kind === 'made') {
      const request = job.call.facts.requestId;
      log.warn({ decision: 'hand-over-refused', request, reason: 'retry-budget' });
    }
    picker.noteRun(job.call, 'turn-over');
    await clock.sleep(RETRY_MS);
  }

  /** Frees a copy that was made on order when nothing will go on from it; its engine would keep it for 5 s and more. */
  private async dropUnused(
    job: routedJobs.RoutedJob,
    { backup: copy, hasFailed }: MigratableRun,
  ): Promise<void> {
    const mayGoOn = hasFailed && !job.abort.signal.aborted;
    if (mayGoOn || copy?.reference.kind !== 'ordered') {
      return;
    }
    const { engines, log } = this.options;
    const { handle, sourceAddress: runner } = copy.reference;
    try {
      await engines.dropKvCache(runner, handle, AbortSignal.timeout(COPY_MS));
    } catch (err) {
      // The engine was leaving and may be gone, and the copy goes when its time is over.
      const { message } = schemas.toError(err);
      log.info({ decision: 'drop-failed', request: job.call.facts.requestId, err: message });
    }
  }

  /** Has the memory of the run copied while it goes on. */
  private async copy(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    at: upstreamDirectories.KnownUpstream,
  ): Promise<ports.KvCacheCopyResult['kind']> {
    const { engines, log } = this.options;
    const order = createOrder(job, run, at, false);
    const { requestId: request, sourceAddress: runner } = order;
    const details = { request, upstream: run.engine.upstreamId, copyAt: at.upstreamId };
    try {
      const result = await engines.copyKvCache(order, AbortSignal.timeout(COPY_MS));
      if (result.kind === 'made') {
        run.backup = {
          at,
          reference: { kind: 'ordered', sourceAddress: runner, handle: result.handle },
        };
        log.info({ decision: 'copy', ...details });
      } else {
        log.info({ decision: 'copy-failed', ...details, err: result.kind });
      }
      return result.kind;
    } catch (err) {
      log.info({ decision: 'copy-failed', ...details, err: schemas.toError(err).message });
      return 'no-run';
    }
  }

  /** Stops the run and has the rest of its memory copied; where that fails the copy made before stands. */
  private async stop(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    at: upstreamDirectories.KnownUpstream,
  ): Promise<void> {
    const { engines, log, picker } = this.options;
    const order = createOrder(job, run, at, true);
    const { requestId: request, sourceAddress: runner } = order;
    const details = { request, upstream: run.engine.upstreamId, copyAt: at.upstreamId };
    try {
      const result = await engines.copyKvCache(order, AbortSignal.timeout(COPY_MS));
      // A run that was stopped and found no room is kept by its own engine, and may go on there while that stays.
      const holder = result.kind === 'made' ? at : run.engine;
      const handle = result.kind === 'no-run' ? undefined : result.handle;
      if (handle !== undefined) {
        run.backup = { at: holder, reference: { kind: 'ordered', sourceAddress: runner, handle } };
      }
      log.info({ decision: 'hand-over', ...details, result: result.kind });
    } catch (err) {
      picker.noteRun(job.call, 'turn-over');
      log.info({ decision: 'hand-over-failed', ...details, err: schemas.toError(err).message });
    }
  }
}

function createOrder(
  { call }: routedJobs.RoutedJob,
  { engine }: MigratableRun,
  at: upstreamDirectories.KnownUpstream,
  isLast: boolean,
): ports.KvCacheCopyOrder {
  return {
    sourceAddress: engine.listed.address,
    requestId: call.facts.requestId,
    targetAddress: at.listed.address,
    isLast,
  };
}
