import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as routedJobs from './routed-job.js';
import type * as upstreamDirectories from './upstream-directory.js';
import type * as upstreamPickers from './upstream-picker.js';

/** How long it is waited for a changed list before a run is looked at all the same, in milliseconds. */
const CHECK_MS = 1_000;

/** The pause after a round in which no engine could take a copy, in milliseconds; a leaving engine has about 1 s. */
const RETRY_MS = 150;

/** How long an engine may take over a copy, in milliseconds: 0.2 s for 1 GB, behind a few others. */
const COPY_MS = 2_500;

/**
 * The pause before a copy is brought up to date, in milliseconds. What is lacking when the engine dies is read again by
 * the one that goes on, behind that of the engine's other runs.
 */
const REFRESH_MS = 150;

/** The copy of a run, and at which engine. */
export interface RunCopy {
  readonly at: upstreamDirectories.KnownUpstream;
  readonly reference: ports.CopyReference;
}

/** What the keeper needs. */
export interface CopyKeeperOptions {
  readonly engines: ports.EngineOrders;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly picker: upstreamPickers.UpstreamPicker;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** A run whose copy is to be kept. */
export interface KeptRun {
  readonly engine: upstreamDirectories.KnownUpstream;
  copy: RunCopy | undefined;
  isOpen: boolean;
  /** Whether it ended otherwise than well; its copy is needed then. */
  hasFailed: boolean;
}

/**
 * Sees to it that a long run has a copy when its engine leaves. The engine that kept the first one may have been
 * reclaimed before it: six of ten drafts that were cut had lost their copy so. Copies are ordered only then; ordered
 * for every run without one they set aside 1.8 million token seconds a day for nobody and had ten runs preempted.
 */
export class CopyKeeper {
  public constructor(private readonly options: CopyKeeperOptions) {}

  /** Keeps a copy until the run is over. */
  public async run(job: routedJobs.RoutedJob, run: KeptRun): Promise<void> {
    const { clock, directory } = this.options;
    while (run.isOpen) {
      if (run.copy?.reference.kind === 'ordered' && !this.isDue(run)) {
        await clock.sleep(REFRESH_MS);
        await this.refresh(job, run, run.copy.at);
      } else if (!this.isDue(run)) {
        await directory.changed.wait(clock, CHECK_MS);
      } else if (!(await this.orderAnywhere(job, run))) {
        await clock.sleep(RETRY_MS);
      }
    }
    await this.dropUnused(job, run);
  }

  /** Frees a copy that was made on order when nothing will go on from it; its engine would keep it for 5 s and more. */
  private async dropUnused(job: routedJobs.RoutedJob, { copy, hasFailed }: KeptRun): Promise<void> {
    const mayGoOn = hasFailed && !job.abort.signal.aborted;
    if (mayGoOn || copy?.reference.kind !== 'ordered') {
      return;
    }
    const { engines, log } = this.options;
    const { handle, runner } = copy.reference;
    try {
      await engines.drop(runner, handle, AbortSignal.timeout(COPY_MS));
    } catch (err) {
      // The engine was leaving and may be gone, and the copy goes when its time is over.
      const { message } = schemas.toError(err);
      log.info({ decision: 'drop-failed', request: job.call.facts.requestId, err: message });
    }
  }

  private isDue({ copy, engine }: KeptRun): boolean {
    const { directory } = this.options;
    const hasCopy = copy !== undefined && directory.isLive(copy.at.upstreamId);
    return !directory.isLive(engine.upstreamId) && !hasCopy;
  }

  /** Orders a copy at one engine after another, until one has room or there is no other. */
  private async orderAnywhere(job: routedJobs.RoutedJob, run: KeptRun): Promise<boolean> {
    const { picker } = this.options;
    const full: string[] = [];
    while (run.isOpen) {
      const at = await picker.pickCopy(job.call, run.engine.upstreamId, full);
      if (at === undefined) {
        return false;
      }
      const kind = run.isOpen ? await this.order(job, run, at) : 'no-run';
      if (kind !== 'no-room') {
        return kind === 'made';
      }
      full.push(at.upstreamId);
    }
    return false;
  }

  private async order(
    job: routedJobs.RoutedJob,
    run: KeptRun,
    at: upstreamDirectories.KnownUpstream,
  ): Promise<ports.CopyResult['kind']> {
    const { engines, log } = this.options;
    const { requestId } = job.call.facts;
    const runner = run.engine.listed.address;
    const details = { request: requestId, upstream: run.engine.upstreamId, copyAt: at.upstreamId };
    try {
      const signal = AbortSignal.timeout(COPY_MS);
      const result = await engines.copy(runner, requestId, at.listed.address, signal);
      if (result.kind === 'made') {
        run.copy = { at, reference: { kind: 'ordered', runner, handle: result.handle } };
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

  /** Orders a copy again, which brings it up to date; where that fails the one that was made before stands. */
  private async refresh(
    job: routedJobs.RoutedJob,
    run: KeptRun,
    at: upstreamDirectories.KnownUpstream,
  ): Promise<void> {
    if (!run.isOpen) {
      return;
    }
    const { engines, log } = this.options;
    const { requestId } = job.call.facts;
    const runner = run.engine.listed.address;
    try {
      const signal = AbortSignal.timeout(COPY_MS);
      const result = await engines.copy(runner, requestId, at.listed.address, signal);
      if (result.kind === 'made') {
        run.copy = { at, reference: { kind: 'ordered', runner, handle: result.handle } };
      }
    } catch (err) {
      log.debug({ step: 'refresh-copy', request: requestId, err: schemas.toError(err).message });
    }
  }
}
