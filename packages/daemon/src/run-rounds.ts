import * as schemas from '@bramleyridge/schemas';

/** A task in rounds. */
export interface RoundsOptions {
  readonly log: schemas.Log;
  readonly clock: schemas.Clock;
  /** What the task does. */
  readonly step: string;
  readonly isStopped: () => boolean;
  /** Pause after a failed round, which may not have paused itself, in milliseconds. */
  readonly failurePauseMs: number;
  readonly round: () => Promise<void>;
}

/** Runs rounds until stopped. A failed round is logged and the next one follows: without it, the task would just end. */
export async function runRounds(options: RoundsOptions): Promise<void> {
  const { clock, failurePauseMs, isStopped, log, round, step } = options;
  while (!isStopped()) {
    const hasSucceeded = await schemas.runRound(() => round().then(() => true), { log, step });
    if (hasSucceeded !== true) {
      await clock.sleep(failurePauseMs);
    }
  }
}
