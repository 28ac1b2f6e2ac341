import type * as http from 'node:http';

import type * as smallSites from './small-site.js';

/** Time that an upstream takes for a call, in milliseconds. */
const SERVICE_MS = 20;

/** Status of a call that was refused as not run. */
const NOT_RUN_STATUS = 503;

/** Options of `CallLoad`. */
export interface CallLoadOptions {
  /** Calls a second, at all hosts together. */
  readonly callsPerS: number;
  /** Time for which a caller waits, in milliseconds. */
  readonly patienceMs: number;
}

/** A call that was made. */
export interface MadeCall {
  readonly callId: string;
  /** Index of the entry host that got it. */
  readonly host: number;
  readonly isOnce: boolean;
  /** Status of its answer; 0 without an answer in time. */
  status: number;
  tookMs: number;
  ended: Promise<void>;
}

/** Calls to a plain service at all entry hosts in turn, half of which may run once only. */
export class CallLoad {
  private readonly calls: MadeCall[] = [];
  private readonly made: MadeCall[] = [];
  private readonly runs = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private counter = 0;

  public constructor(
    private readonly site: smallSites.SmallSite,
    private readonly options: CallLoadOptions,
  ) {}

  /** Answers a call as an upstream. */
  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.url === '/health') {
      res.end('fine');
      return;
    }
    const callId = String(req.headers['call-id']);
    this.recordRun(req);
    setTimeout(() => {
      res.writeHead(200, { 'call-id': callId, 'content-length': 2 });
      res.end('ok');
    }, SERVICE_MS);
  }

  /** Records that an upstream runs a call. */
  public recordRun(req: http.IncomingMessage): void {
    const callId = String(req.headers['call-id']);
    this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
  }

  /** Waits until every host serves. */
  public async awaitServing(): Promise<void> {
    for (const port of this.listPorts()) {
      await this.site.until('serving', async () => {
        const { status } = await this.site.call('/plain/', { 'call-id': 'first' }, '', port);
        return status === 200;
      });
    }
  }

  /** Begins to make calls; the returned function ends them. */
  public begin(): () => Promise<void> {
    this.timer = setInterval(() => this.make(), 1_000 / this.options.callsPerS);
    return async () => {
      clearInterval(this.timer);
      await Promise.all(this.calls.map(({ ended }) => ended));
    };
  }

  /** Lists the calls made since `clear`. */
  public list(): MadeCall[] {
    return [...this.calls];
  }

  /** Forgets the calls made so far. */
  public clear(): void {
    this.calls.length = 0;
  }

  public sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  /** Lists the calls that may run once and ran more often. */
  public listRepeatedRuns(): string[] {
    return this.made
      .filter(({ callId, isOnce }) => isOnce && (this.runs.get(callId) ?? 0) > 1)
      .map(({ callId }) => callId);
  }

  /** Lists the calls that may run once, were refused as not run, and ran. */
  public listFalseRefusals(): string[] {
    return this.made
      .filter(({ isOnce, status }) => isOnce && status === NOT_RUN_STATUS)
      .filter(({ callId }) => this.runs.has(callId))
      .map(({ callId }) => callId);
  }

  private listPorts(): number[] {
    return [this.site.entryPort, ...this.site.others.map(({ port }) => port)];
  }

  private make(): void {
    const ports = this.listPorts();
    this.counter += 1;
    const { counter } = this;
    const host = counter % ports.length;
    const isOnce = Math.floor(counter / ports.length) % 2 === 0;
    const callId = `call-${counter}`;
    const made: MadeCall = {
      callId,
      host,
      isOnce,
      status: 0,
      tookMs: 0,
      ended: Promise.resolve(),
    };
    made.ended = this.send(made, ports[host]!);
    this.calls.push(made);
    this.made.push(made);
  }

  private async send(made: MadeCall, port: number): Promise<void> {
    const { patienceMs } = this.options;
    const headers = { 'call-id': made.callId, patience: String(patienceMs) };
    const startedAt = performance.now();
    const late = this.sleep(patienceMs).then(() => ({ status: 0 }));
    const answer = this.site
      .call(made.isOnce ? '/once/' : '/plain/', headers, '', port)
      .catch(() => ({ status: 0 }));
    made.status = (await Promise.race([answer, late])).status;
    made.tookMs = performance.now() - startedAt;
  }
}

/** Counts the calls that were served. */
export function countServed(calls: readonly MadeCall[]): { all: number; served: number } {
  return { all: calls.length, served: calls.filter(({ status }) => status === 200).length };
}
