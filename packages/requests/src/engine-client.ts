import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import * as upstreamErrors from './upstream-error.js';

/** The header by which an upstream says that it did not run a call. */
export const NOT_RUN_HEADER = 'x-not-run';

/** How long an idle connection is kept; shorter than any middlebox is known to forget one. */
const KEEP_ALIVE_MS = 4_000;

/** What an engine says of a generation that it was told to cancel. */
export interface CancelAnswer {
  /** `unknown`: it never began, and now never will. */
  readonly state: 'unknown' | 'cancelled' | 'ended';
  readonly tokens: number;
}

/** The deadlines of calls to upstreams, in milliseconds. */
export interface EngineTimings {
  readonly connectMs: number;
  readonly answerMs: number;
}

/** Talks to engines by their published protocol. */
export class EngineClient {
  private readonly agent: undici.Agent;

  public constructor(private readonly timings: EngineTimings) {
    this.agent = new undici.Agent({
      connect: { timeout: timings.connectMs },
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      // The relay has its own, shorter limit on silence.
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  /** Begins a generation and gives its stream once the engine has accepted it. */
  public async start(
    upstream: schemas.Upstream,
    path: string,
    generation: string,
    body: string,
  ): Promise<stream.Readable> {
    const res = await this.request('start', upstream, {
      path,
      method: 'POST',
      body,
      headers: { 'content-type': 'application/json', 'x-request-id': generation },
    });
    if (res.statusCode === 200) {
      return res.body;
    }
    await res.body.dump();
    const isNotRun = res.headers[NOT_RUN_HEADER] !== undefined || res.statusCode < 500;
    throw new upstreamErrors.UpstreamError(
      isNotRun ? 'refused' : 'lost',
      'start',
      upstream.upstreamId,
    );
  }

  /** Continues a generation at an offset, always on a connection of its own. */
  public async resume(
    upstream: schemas.Upstream,
    generation: string,
    offset: number,
  ): Promise<stream.Readable> {
    const res = await this.request('resume', upstream, {
      path: `/v1/generations/${generation}/events`,
      method: 'GET',
      headers: { 'last-event-id': `${generation}:${offset - 1}` },
      // The former connection may be silently dead, and so may others of the pool.
      reset: true,
      isFresh: true,
    });
    if (res.statusCode === 200) {
      return res.body;
    }
    await res.body.dump();
    const kind = res.statusCode === 404 || res.statusCode === 410 ? 'gone' : 'lost';
    throw new upstreamErrors.UpstreamError(kind, 'resume', upstream.upstreamId);
  }

  /** Cancels a generation; an engine that never began it promises never to. */
  public async cancel(upstream: schemas.Upstream, generation: string): Promise<CancelAnswer> {
    const res = await this.request('cancel', upstream, {
      path: `/v1/generations/${generation}`,
      method: 'DELETE',
      signal: AbortSignal.timeout(this.timings.answerMs),
      isFresh: true,
    });
    return (await res.body.json()) as CancelAnswer;
  }

  /** Reads a JSON document, such as the load report. */
  public async getJson(upstream: schemas.Upstream, path: string): Promise<unknown> {
    const res = await this.request('report', upstream, {
      path,
      method: 'GET',
      signal: AbortSignal.timeout(this.timings.answerMs),
    });
    return res.body.json();
  }

  /** Sends an order and gives the status. */
  public async order(
    upstream: schemas.Upstream,
    order: schemas.Order,
    deadlineMs: number,
  ): Promise<number> {
    const res = await this.request('order', upstream, {
      path: '/orders',
      method: 'POST',
      body: JSON.stringify(order),
      headers: { 'content-type': 'application/json' },
      signal: AbortSignal.timeout(deadlineMs),
    });
    await res.body.dump();
    return res.statusCode;
  }

  /** Ends every connection. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async request(
    step: string,
    upstream: schemas.Upstream,
    {
      isFresh,
      ...options
    }: Omit<undici.Dispatcher.RequestOptions, 'origin'> & { isFresh?: boolean },
  ): Promise<undici.Dispatcher.ResponseData> {
    const client = isFresh ? this.createFresh(upstream) : this.agent;
    try {
      const { origin } = new URL(upstream.url);
      // A limit on the answer only: a signal with a time would go on to cut the stream behind it.
      const limits = { headersTimeout: this.timings.answerMs };
      return await client.request({
        ...limits,
        ...options,
        origin,
      } as undici.Dispatcher.RequestOptions);
    } catch (err) {
      throw upstreamErrors.createUpstreamError(err, step, upstream.upstreamId);
    } finally {
      if (client instanceof undici.Client) {
        // It ends by itself when the answer has been read.
        void client.close();
      }
    }
  }

  private createFresh(upstream: schemas.Upstream): undici.Client {
    return new undici.Client(new URL(upstream.url).origin, {
      connect: { timeout: this.timings.connectMs },
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }
}
