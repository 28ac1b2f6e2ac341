import type * as http from 'node:http';

/**
 * Returns whether the end of the connection would pass for that of an answer that has begun and not ended, as it does for
 * callers by HTTP/1.0.
 */
export function isUnmarked(res: http.ServerResponse): boolean {
  return res.headersSent && !res.writableFinished && res.req.httpVersion === '1.0';
}

/** Breaks off an answer visibly: where the end of the connection would pass for that of the answer, it is reset. */
export function breakOff(res: http.ServerResponse): void {
  const { socket } = res;
  // A connection whose end is under way can't be reset, and would stay open.
  if (socket === null || socket.writableEnded || !isUnmarked(res)) {
    res.destroy();
    return;
  }
  socket.resetAndDestroy();
}
