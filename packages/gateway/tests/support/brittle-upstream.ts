import type * as http from 'node:http';

/** Options of `BrittleUpstream`. */
export interface BrittleUpstreamOptions {
  readonly slots: number;
  readonly serviceMs: number;
  /** Number of calls that may wait at first, and once few may. */
  readonly queue: number;
  readonly shortQueue: number;
  /** Number of rejections in a second beyond which it ends for `downMs`. */
  readonly rejectionsPerS: number;
  readonly downMs: number;
}

interface Waiting {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
}

/** An upstream that ends for a while when it has to turn away too many calls in a second, and says so. */
export class BrittleUpstream {
  public falls = 0;
  public served = 0;
  public rejected = 0;
  public hasShortQueue = false;
  public isBrittle = true;
  private readonly waiting: Waiting[] = [];
  private running = 0;
  private rejections: number[] = [];
  private downUntil = -Infinity;

  public constructor(private readonly options: BrittleUpstreamOptions) {}

  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    const now = performance.now();
    if (now < this.downUntil) {
      req.socket.destroy();
      return;
    }
    const { queue, shortQueue, slots } = this.options;
    res.setHeader('call-id', String(req.headers['call-id']));
    if (this.isBrittle) {
      res.setHeader('brittle', String(this.options.rejectionsPerS));
    }
    if (this.running < slots) {
      this.run({ req, res });
    } else if (this.waiting.length < (this.hasShortQueue ? shortQueue : queue)) {
      this.waiting.push({ req, res });
    } else {
      this.reject(res, now);
    }
  }

  private run({ res }: Waiting): void {
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      if (!res.destroyed) {
        this.served += 1;
        res.writeHead(200, { 'content-length': 2 });
        res.end('ok');
      }
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.run(next);
      }
    }, this.options.serviceMs);
  }

  private reject(res: http.ServerResponse, now: number): void {
    const { downMs, rejectionsPerS } = this.options;
    this.rejected += 1;
    this.rejections = this.rejections.filter((at) => now - at < 1_000);
    this.rejections.push(now);
    if (this.isBrittle && this.rejections.length > rejectionsPerS) {
      this.falls += 1;
      this.downUntil = now + downMs;
      this.rejections = [];
      this.waiting.splice(0).forEach((item) => item.req.socket.destroy());
      res.destroy();
      return;
    }
    res.writeHead(503, { 'not-run': 'full', 'content-length': 0 });
    res.end();
  }
}
