import type * as schemas from '@bramleyridge/schemas';

/**
 * Starts attempts one after the other, each as soon as the former has failed or has run for `staggerMs`, and returns
 * the first result. Later results are passed to `discard`. Rejects with the last error if all fail.
 */
export function getFirstSuccess<T>(
  attempts: readonly (() => Promise<T>)[],
  staggerMs: number,
  clock: schemas.Clock,
  discard: (result: T) => void,
): Promise<T> {
  return new Promise((resolve, reject) => {
    let started = 0;
    let failed = 0;
    let isSettled = false;
    const startNext = () => {
      const attempt = attempts[started];
      if (isSettled || attempt === undefined) {
        return;
      }
      started += 1;
      const own = started;
      attempt().then(
        (result) => {
          if (isSettled) {
            discard(result);
            return;
          }
          isSettled = true;
          resolve(result);
        },
        (err: Error) => {
          failed += 1;
          if (failed === attempts.length) {
            isSettled = true;
            reject(err);
          } else if (own === started) {
            startNext();
          }
        },
      );
      const startAfterPause = () => {
        if (own === started) {
          startNext();
        }
      };
      clock.sleep(staggerMs).then(startAfterPause).catch(reject);
    };
    if (attempts.length === 0) {
      reject(new Error('there is nothing to try'));
      return;
    }
    startNext();
  });
}
