import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as migrationManagers from './migration-manager.js';
import type * as ports from './ports.js';
import type * as runBackups from './run-backup.js';

/** Longest wait for the answer to the order, in milliseconds; an engine that is gone doesn't answer. */
const STOP_TIMEOUT_MS = 400;

/** Time after which the order is given up, in milliseconds; a late answer names a copy that would be kept unused. */
const ORDER_TIMEOUT_MS = 2_500;

/** Dependencies of `stopSilentRun`. */
export interface SilentRunStopOptions {
  readonly engines: ports.EngineControl;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Orders the engine of a run that has been silent to stop it, before it goes on from its copy. Not every engine drops a run
 * when its connection closes. The rest of the memory is copied to the engine of the copy, which then replaces it; what is
 * copied too late is dropped.
 */
export async function stopSilentRun(
  { clock, engines, log }: SilentRunStopOptions,
  requestId: string,
  { backup, engine }: migrationManagers.MigratableRun,
  copy: runBackups.KvCacheBackup,
): Promise<void> {
  const sourceAddress = engine.listed.address;
  const targetAddress = copy.at.listed.address;
  const order = { sourceAddress, requestId, targetAddress, isLast: true };
  const askedAt = clock.now();
  const { upstreamId: upstream } = engine;
  const details = { request: requestId, upstream, copyAt: copy.at.upstreamId };
  const asked = requests.withTimeLimit(ORDER_TIMEOUT_MS, (signal) =>
    engines.copyKvCache(order, signal),
  );
  const drop = async () => {
    const result = await asked.catch(() => undefined);
    if (result !== undefined && 'handle' in result && result.handle !== undefined) {
      const { handle } = result;
      log.info({ decision: 'drop-late-copy', ...details, result: result.kind });
      await requests.withTimeLimit(ORDER_TIMEOUT_MS, (signal) =>
        engines.dropKvCache(sourceAddress, handle, signal),
      );
    }
  };
  try {
    const result = await waitFor(asked, clock);
    if (result.kind === 'made') {
      const reference = { kind: 'ordered', sourceAddress, handle: result.handle } as const;
      backup.replace({ at: copy.at, reference }, askedAt);
    } else {
      schemas.runInBackground(drop, { log, step: 'drop-copy', peer: upstream });
    }
    log.info({ decision: 'stop-silent-run', ...details, result: result.kind });
  } catch (err) {
    schemas.runInBackground(drop, { log, step: 'drop-copy', peer: upstream });
    log.info({ decision: 'stop-silent-run', ...details, err: schemas.toError(err).message });
  }
}

/** Waits for the answer to the order; rejects if it is late. */
async function waitFor(
  asked: Promise<ports.KvCacheCopyResult>,
  clock: schemas.Clock,
): Promise<ports.KvCacheCopyResult> {
  const answered = new AbortController();
  const late = clock.sleep(STOP_TIMEOUT_MS, answered.signal).then(() => {
    throw new Error(`not answered within ${STOP_TIMEOUT_MS} ms`);
  });
  try {
    return await Promise.race([asked, late]);
  } finally {
    answered.abort();
    late.catch(() => {});
  }
}
