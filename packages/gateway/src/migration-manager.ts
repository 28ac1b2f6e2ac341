import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as routedJobs from './routed-job.js';
import type * as runBackups from './run-backup.js';
import type * as upstreamDirectories from './upstream-directory.js';
import type * as upstreamPickers from './upstream-picker.js';

/**
 * Pause after a migration attempt without a result, in milliseconds: the leader did not answer or the target engine
 * refused. Short, because a leaving engine serves for only one to two seconds.
 */
const RETRY_PAUSE_MS = 100;

/**
 * Timeout for copying a KV cache, in milliseconds. Copying 0.5 GB takes 0.2 s, and twice that across availability
 * zones.
 */
const COPY_TIMEOUT_MS = 2_500;

/** Dependencies of the migration manager. */
export interface MigrationManagerOptions {
  readonly engines: ports.EngineControl;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly picker: upstreamPickers.UpstreamPicker;
  readonly findBudget: (service: string) => requests.GrantingRetrySource;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Whether an order has stopped a run; `unknown` if nothing received says so. */
export type RunStop = 'stopped' | 'not-stopped' | 'unknown';

/** A run that can continue on another engine when its own engine leaves. */
export interface MigratableRun {
  readonly engine: upstreamDirectories.KnownUpstream;
  /** When it was sent to its engine, on this host's clock in milliseconds. */
  readonly sentAt: number;
  readonly backup: runBackups.RunBackup;
  isOpen: boolean;
  /** Whether it ended with a failure; its backup is needed then. */
  hasFailed: boolean;
  /** Whether the retry that it needs to continue elsewhere has already been taken from the budget. */
  hasRetryGranted: boolean;
  /**
   * Settles with whether the run was stopped, when the rest of its KV cache is copied; undefined before the stop is
   * ordered. The stream may end before this settles.
   */
  finalBackup: Promise<RunStop> | undefined;
}

/**
 * Migrates a long run when the leader requests it, because its engine is leaving and no other engine holds a backup.
 * Copies the KV cache while the run continues, then stops the run and copies the remainder, so that the run continues
 * on the target engine after a pause of a few events.
 */
export class MigrationManager {
  public constructor(private readonly options: MigrationManagerOptions) {}

  /** Serves migration requests for a run until it ends, then drops its backup if it is not needed. */
  public async run(job: routedJobs.RoutedJob, run: MigratableRun): Promise<void> {
    const { clock, picker } = this.options;
    const fullEngineIds: string[] = [];
    while (run.isOpen && !(await this.isStopped(job, run))) {
      const { target, isAnswered } = await picker.awaitMigrationTarget(
        job.call,
        run.engine.upstreamId,
        fullEngineIds,
      );
      if (target !== undefined && run.isOpen) {
        await this.migrate(job, run, target, fullEngineIds);
      } else if (!isAnswered) {
        await clock.sleep(RETRY_PAUSE_MS);
      }
    }
    await run.finalBackup;
    while (run.isOpen) {
      await clock.sleep(RETRY_PAUSE_MS);
    }
    await this.dropUnusedBackup(job, run);
  }

  /** Returns whether a run was stopped, or may have been. If its engine has ignored the order, it is moved again. */
  private async isStopped(job: routedJobs.RoutedJob, run: MigratableRun): Promise<boolean> {
    const stop = await run.finalBackup;
    if (stop === 'not-stopped') {
      this.options.picker.reportEvent(job.call, 'turn-over');
      await this.options.clock.sleep(RETRY_PAUSE_MS);
      run.finalBackup = undefined;
      return false;
    }
    return stop !== undefined;
  }

  /** Copies the KV cache, then stops the run. An engine without capacity is excluded from further attempts. */
  private async migrate(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    target: upstreamDirectories.KnownUpstream,
    fullEngineIds: string[],
  ): Promise<void> {
    const { clock, findBudget, log, picker } = this.options;
    const result = await this.copyWhileRunning(job, run, target);
    if (!run.isOpen) {
      return;
    }
    // Continuing elsewhere counts as a retry. Without one the run is not stopped, since it may still finish on its
    // engine.
    if (result === 'made' && !run.hasRetryGranted) {
      run.hasRetryGranted = await findBudget(job.call.service.name).takeGranted();
    }
    if (!run.isOpen) {
      return;
    }
    if (result === 'made' && run.hasRetryGranted) {
      run.finalBackup = this.stopAndCopyRest(job, run, target);
      return;
    }
    if (result === 'no-room') {
      fullEngineIds.push(target.upstreamId);
    } else if (result === 'made') {
      const request = job.call.facts.requestId;
      log.warn({ decision: 'hand-over-refused', request, reason: 'retry-budget' });
    }
    picker.reportEvent(job.call, 'turn-over');
    await clock.sleep(RETRY_PAUSE_MS);
  }

  /** Drops a copy that was ordered for a migration and will not be used; its engine would keep it for 5 s or more. */
  private async dropUnusedBackup(
    job: routedJobs.RoutedJob,
    { backup, hasFailed }: MigratableRun,
  ): Promise<void> {
    const mayContinue = hasFailed && !job.abort.signal.aborted;
    const reference = backup.find()?.reference;
    if (mayContinue || reference?.kind !== 'ordered') {
      return;
    }
    await this.drop(job, reference);
  }

  private async drop(
    job: routedJobs.RoutedJob,
    { handle, sourceAddress }: ports.OrderedCopyReference,
  ): Promise<void> {
    const { engines, log } = this.options;
    try {
      await engines.dropKvCache(sourceAddress, handle, AbortSignal.timeout(COPY_TIMEOUT_MS));
    } catch (err) {
      // The engine was leaving and may be gone; the copy expires on its own.
      const { message } = schemas.toError(err);
      log.info({ decision: 'drop-failed', request: job.call.facts.requestId, err: message });
    }
  }

  /** Orders a copy of the KV cache while the run continues. */
  private async copyWhileRunning(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    target: upstreamDirectories.KnownUpstream,
  ): Promise<ports.KvCacheCopyResult['kind']> {
    const { clock, engines, log } = this.options;
    const order = createOrder(job, run, target, false);
    const { requestId: request, sourceAddress } = order;
    const details = { request, upstream: run.engine.upstreamId, copyAt: target.upstreamId };
    const askedAt = clock.now();
    try {
      const result = await engines.copyKvCache(order, AbortSignal.timeout(COPY_TIMEOUT_MS));
      if (result.kind === 'made') {
        const reference = { kind: 'ordered', sourceAddress, handle: result.handle } as const;
        log.info({ decision: 'copy', ...details });
        // A run that has ended may be going on from its former copy already.
        if (run.isOpen) {
          run.backup.replace({ at: target, reference }, askedAt);
        } else {
          await this.drop(job, reference);
        }
      } else {
        log.info({ decision: 'copy-failed', ...details, err: result.kind });
      }
      return result.kind;
    } catch (err) {
      log.info({ decision: 'copy-failed', ...details, err: schemas.toError(err).message });
      return 'no-run';
    }
  }

  /** Stops the run and orders a copy of the rest of its KV cache; if that fails, the earlier copy is used. */
  private async stopAndCopyRest(
    job: routedJobs.RoutedJob,
    run: MigratableRun,
    target: upstreamDirectories.KnownUpstream,
  ): Promise<RunStop> {
    const { clock, engines, log, picker } = this.options;
    const order = createOrder(job, run, target, true);
    const { requestId: request, sourceAddress } = order;
    const details = { request, upstream: run.engine.upstreamId, copyAt: target.upstreamId };
    const askedAt = clock.now();
    // The stream may wait for the result, but not after its caller has left or its time is over. The timer is held here: one
    // that only a combined signal refers to may be collected before it is due.
    const limit = new AbortController();
    const abort = () => limit.abort(new Error('the order was not answered in time'));
    const timer = setTimeout(abort, COPY_TIMEOUT_MS);
    job.abort.signal.addEventListener('abort', abort);
    try {
      const result = await engines.copyKvCache(order, limit.signal);
      // If the target engine has no capacity, the stopped run stays on its own engine and can be resumed there until
      // that engine exits.
      const backupEngine = result.kind === 'made' ? target : run.engine;
      const handle = findHandle(result);
      if (handle !== undefined) {
        const reference = { kind: 'ordered', sourceAddress, handle } as const;
        run.backup.replace({ at: backupEngine, reference }, askedAt);
      }
      log.info({ decision: 'hand-over', ...details, result: result.kind });
      return this.getStop(run, result);
    } catch (err) {
      picker.reportEvent(job.call, 'turn-over');
      log.info({ decision: 'hand-over-failed', ...details, err: schemas.toError(err).message });
      return 'unknown';
    } finally {
      clearTimeout(timer);
      job.abort.signal.removeEventListener('abort', abort);
    }
  }

  private getStop({ engine, sentAt }: MigratableRun, result: ports.KvCacheCopyResult): RunStop {
    if (findHandle(result) !== undefined) {
      return 'stopped';
    }
    // A process that has taken the engine's place does not have the run either.
    const isSameProcess = !this.options.directory.hasEndedSince(engine, sentAt);
    const isRefused = result.kind === 'busy' || (result.kind === 'no-run' && isSameProcess);
    return isRefused ? 'not-stopped' : 'unknown';
  }
}

/** Returns the handle of the copy; an engine names one only for a copy that it made or a run that it stopped. */
function findHandle(result: ports.KvCacheCopyResult): string | undefined {
  return result.kind === 'made' || result.kind === 'no-room' ? result.handle : undefined;
}

function createOrder(
  { call }: routedJobs.RoutedJob,
  { engine }: MigratableRun,
  target: upstreamDirectories.KnownUpstream,
  isLast: boolean,
): ports.KvCacheCopyOrder {
  return {
    sourceAddress: engine.listed.address,
    requestId: call.facts.requestId,
    targetAddress: target.listed.address,
    isLast,
  };
}
