import type * as http from 'node:http';

/** A call that reached an upstream. */
export interface Run {
  readonly path: string;
  isAnswered: boolean;
  /** Whether its connection closed before its answer was written. */
  isCut: boolean;
}

/** An upstream that answers each call after a time, and notes which of them were cut. */
export class SlowUpstream {
  public readonly runs: Run[] = [];

  public constructor(private readonly getRunMs: (path: string) => number) {}

  /** Serves one call. */
  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    const path = req.url ?? '';
    const headers = { 'call-id': String(req.headers['call-id'] ?? '') };
    if (!path.startsWith('/plain/') && !path.startsWith('/once/')) {
      res.writeHead(200, headers).end();
      return;
    }
    const run: Run = { path, isAnswered: false, isCut: false };
    this.runs.push(run);
    const timer = setTimeout(() => {
      run.isAnswered = true;
      res.writeHead(200, headers).end('done');
    }, this.getRunMs(path));
    res.once('close', () => {
      clearTimeout(timer);
      run.isCut = !run.isAnswered;
    });
  }

  /** Lists the calls with a path that arrived. */
  public list(path: string): readonly Run[] {
    return this.runs.filter((run) => run.path === path);
  }
}
