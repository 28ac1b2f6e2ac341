import * as workers from 'node:worker_threads';

/** Time after which work that takes seconds counts as endless, in milliseconds. */
const ENDLESS_MS = 60_000;

/**
 * Runs the body of an async function in a thread of its own and returns what it has passed to `report`, also if it does
 * not end: on this thread, it could not be interrupted.
 */
export async function runApart(body: string): Promise<string[]> {
  const code = `
    const { parentPort } = require('node:worker_threads');
    const report = (text) => parentPort.postMessage(text);
    (async () => { ${body} })().finally(() => parentPort.close());
  `;
  const worker = new workers.Worker(code, { eval: true });
  const reported: string[] = [];
  worker.on('message', (text: string) => reported.push(text));
  const deadline = AbortSignal.timeout(ENDLESS_MS);
  try {
    await new Promise<void>((resolve, reject) => {
      worker.once('exit', () => resolve());
      worker.once('error', reject);
      deadline.addEventListener('abort', () => resolve());
    });
  } finally {
    await worker.terminate();
  }
  return reported;
}
