import * as describeErrors from './describe-error.js';
import type * as backgroundTasks from './run-in-background.js';

/**
 * Runs one round of a loop and returns its result. An error that the round does not handle itself is logged, and the
 * result is `undefined`: the loop goes on after its usual pause, which therefore must not be part of the round.
 */
export async function runRound<T>(
  round: () => T | Promise<T>,
  { log, peer, step }: backgroundTasks.BackgroundTask,
): Promise<T | undefined> {
  try {
    return await round();
  } catch (err) {
    const description = describeErrors.describeError(err);
    log.error({
      ...description,
      event: 'round-failed',
      task: step,
      peer: description.peer ?? peer,
    });
    return undefined;
  }
}
