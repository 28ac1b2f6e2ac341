import type * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import type * as callRegistries from './call-registry.js';
import * as engineClients from './engine-client.js';
import * as upstreamErrors from './upstream-error.js';

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'host',
  'authorization',
  'upgrade',
  'te',
  'trailer',
  'expect',
]);

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
}

/** The deadlines and limits of calls to plain services. */
export interface ServiceLimits {
  readonly connectMs: number;
  readonly answerMs: number;
  readonly answerBytes: number;
}

/** Sends calls to plain services. */
export class ServiceClient {
  private readonly agent: undici.Agent;

  public constructor(private readonly limits: ServiceLimits) {
    this.agent = new undici.Agent({
      connect: { timeout: limits.connectMs },
      keepAliveTimeout: 4_000,
    });
  }

  /**
   * Sends a call once and reads the whole answer. A call that may not be repeated goes out on a connection
   * made for it: a pooled one may be silently dead, and then nobody could tell whether the call arrived.
   * On a new one a failure to connect is truly `not-run`, and everything after it is `unknown`.
   */
  public async send(
    upstream: schemas.Upstream,
    call: ServiceCall,
  ): Promise<callRegistries.KeptAnswer> {
    const { origin } = new URL(upstream.url);
    const client = call.isRepeatable
      ? this.agent
      : new undici.Client(origin, { connect: { timeout: this.limits.connectMs } });
    try {
      const res = await client.request({
        origin,
        path: call.path,
        method: call.method,
        headers: pickHeaders(call.headers),
        body: call.body.length > 0 ? call.body : undefined,
        reset: !call.isRepeatable,
        signal: AbortSignal.timeout(this.limits.answerMs),
      });
      if (res.headers[engineClients.NOT_RUN_HEADER] !== undefined) {
        await res.body.dump();
        throw new upstreamErrors.UpstreamError('refused', 'service', upstream.upstreamId);
      }
      const body = await this.readBody(res, upstream);
      return { status: res.statusCode, headers: pickHeaders(res.headers), body };
    } catch (err) {
      throw upstreamErrors.createUpstreamError(err, 'service', upstream.upstreamId);
    } finally {
      if (client instanceof undici.Client) {
        void client.destroy();
      }
    }
  }

  /** Ends every connection. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async readBody(
    res: undici.Dispatcher.ResponseData,
    upstream: schemas.Upstream,
  ): Promise<Buffer> {
    const parts: Buffer[] = [];
    let size = 0;
    for await (const part of res.body) {
      parts.push(part as Buffer);
      size += (part as Buffer).length;
      if (size > this.limits.answerBytes) {
        throw new upstreamErrors.UpstreamError('lost', 'answer-too-large', upstream.upstreamId);
      }
    }
    return Buffer.concat(parts);
  }
}

function pickHeaders(headers: Readonly<Record<string, unknown>>): Record<string, string> {
  const kept = Object.entries(headers).filter(
    ([name, value]) => !HOP_HEADERS.has(name.toLowerCase()) && value !== undefined,
  );
  return Object.fromEntries(kept.map(([name, value]) => [name, String(value)]));
}
