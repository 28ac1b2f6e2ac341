import type * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

import type * as copyKeepers from './migration-manager.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** How long a stream waits for a changed list before its engine is looked at all the same, in milliseconds. */
const CHECK_MS = 2_000;

/** What the watch needs. */
export interface AbortOnEngineRestartOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly clock: schemas.Clock;
}

/**
 * Ends a stream whose engine has started again: behind a cut its connection is silent, not reset, and the caller would
 * wait for events of a run that is gone.
 */
export async function abortOnEngineRestart(
  { clock, directory }: AbortOnEngineRestartOptions,
  run: copyKeepers.MigratableRun,
  answer: requests.UpstreamAnswer,
): Promise<void> {
  while (run.isOpen) {
    await directory.changed.wait(clock, CHECK_MS);
    if (run.isOpen && directory.hasRestarted(run.engine)) {
      answer.body.destroy(new Error('the engine has started again'));
    }
  }
}
