import type * as http from 'node:http';

/** Properties of an upstream that queues calls. */
export interface QueueingUpstreamOptions {
  /** Number of calls that it processes concurrently. */
  readonly concurrency: number;
  /** Number of calls that may wait for these; further ones are shed as not run. */
  readonly queueLimit: number;
  readonly serviceMs: number;
}

/** An upstream that processes some calls concurrently, queues some and sheds the rest. */
export class QueueingUpstream {
  /** Time that its workers have spent on calls, in milliseconds. */
  public busyMs = 0;
  /** Largest number of calls that it had at once. */
  public maxInFlight = 0;
  public answered = 0;
  public shed = 0;
  /** The calls that it has started, by id. */
  public readonly started: string[] = [];
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  public constructor(private readonly options: QueueingUpstreamOptions) {}

  /** Answers a call. */
  public readonly answer = (req: http.IncomingMessage, res: http.ServerResponse): void => {
    const { concurrency, queueLimit } = this.options;
    const callId = req.headers['call-id']?.toString() ?? '';
    if (this.running >= concurrency && this.waiting.length >= queueLimit) {
      this.shed += 1;
      res.writeHead(503, { 'call-id': callId, 'not-run': 'full' }).end();
      return;
    }
    const start = () => this.start(callId, res);
    if (this.running < concurrency) {
      start();
    } else {
      this.waiting.push(start);
    }
    this.maxInFlight = Math.max(this.maxInFlight, this.running + this.waiting.length);
  };

  private start(callId: string, res: http.ServerResponse): void {
    const startedAt = performance.now();
    this.running += 1;
    this.started.push(callId);
    setTimeout(() => {
      this.running -= 1;
      this.answered += 1;
      this.busyMs += performance.now() - startedAt;
      this.waiting.shift()?.();
      const load = { running: this.running, waiting: this.waiting.length, slots: 4 };
      res.writeHead(200, { 'call-id': callId, 'stated-load': JSON.stringify(load) }).end('done');
    }, this.options.serviceMs);
  }
}
