import * as describeErrors from './describe-error.js';
import type * as logs from './log.js';

/** What the log says of a task that failed. */
export interface BackgroundTask {
  readonly log: logs.Log;
  /** What the task does. */
  readonly step: string;
  readonly peer?: string | undefined;
}

/**
 * Runs a task that nobody waits for. An error that it does not handle itself is logged and ends this task alone;
 * without a handler, it would end the process with every call on it.
 */
export function runInBackground(
  run: () => Promise<unknown>,
  { log, peer, step }: BackgroundTask,
): void {
  const start = async () => run();
  start().catch((err: unknown) => {
    const description = describeErrors.describeError(err);
    log.error({
      ...description,
      event: 'task-failed',
      task: step,
      peer: description.peer ?? peer,
    });
  });
}
