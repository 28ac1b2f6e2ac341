import * as os from 'node:os';
import * as workers from 'node:worker_threads';

/** Runs jobs on one worker thread for each core but one; returns the results in the order of the jobs. */
export async function runJobs<J, R>(program: URL, jobs: readonly J[]): Promise<R[]> {
  const results: R[] = new Array<R>(jobs.length);
  let next = 0;
  const runWorker = async (): Promise<void> => {
    const worker = new workers.Worker(program);
    for (;;) {
      const index = next;
      next += 1;
      if (index >= jobs.length) {
        break;
      }
      results[index] = await new Promise<R>((resolve, reject) => {
        const settle = (result: R) => {
          worker.off('error', reject);
          resolve(result);
        };
        worker.once('message', settle);
        worker.once('error', reject);
        worker.postMessage(jobs[index]);
      });
    }
    await worker.terminate();
  };
  const count = Math.min(jobs.length, Math.max(1, os.cpus().length - 1));
  await Promise.all(Array.from({ length: count }, runWorker));
  return results;
}
