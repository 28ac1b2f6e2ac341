import type * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

import type * as migrationManagers from './migration-manager.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** Maximum pause between two checks of a stream's engine, in milliseconds; a changed list triggers a check earlier. */
const CHECK_INTERVAL_MS = 2_000;

/** Dependencies of the check. */
export interface AbortOnEngineRestartOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly clock: schemas.Clock;
}

/**
 * Aborts a stream whose engine has restarted. During a network partition its connection is silent instead of reset, and
 * the caller would wait for events of a run that no longer exists.
 */
export async function abortOnEngineRestart(
  { clock, directory }: AbortOnEngineRestartOptions,
  run: migrationManagers.MigratableRun,
  answer: requests.UpstreamAnswer,
): Promise<void> {
  while (run.isOpen) {
    await directory.changed.wait(clock, CHECK_INTERVAL_MS);
    if (run.isOpen && directory.hasRestarted(run.engine)) {
      answer.body.destroy(new Error('the engine has started again'));
    }
  }
}
