/**
 * Runs a task with a signal that is aborted after a time, in milliseconds. The timer is held while the task runs: that of
 * `AbortSignal.timeout` may be collected before it is due once only combined signals refer to it.
 */
export async function withTimeLimit<T>(
  ms: number,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const limit = new AbortController();
  const timer = setTimeout(() => limit.abort(new Error(`not done within ${ms} ms`)), ms);
  try {
    return await run(limit.signal);
  } finally {
    clearTimeout(timer);
  }
}
