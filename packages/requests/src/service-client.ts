import type * as schemas from '@bramleyridge/schemas';

import * as answerBodies from './answer-body.js';
import type * as callRegistries from './call-registry.js';
import * as engineClients from './engine-client.js';
import * as hopHeaders from './end-to-end-headers.js';
import * as upstreamClients from './upstream-client.js';
import * as upstreamErrors from './upstream-error.js';

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

/** Sends calls to plain services and reads their answers whole. */
export class ServiceClient {
  private readonly client: upstreamClients.UpstreamClient;

  public constructor(private readonly limits: ServiceLimits) {
    this.client = new upstreamClients.UpstreamClient(limits);
  }

  /** Sends a call once and reads the whole answer. */
  public async send(
    upstream: schemas.Upstream,
    call: ServiceCall,
  ): Promise<callRegistries.KeptAnswer> {
    const { upstreamId, url } = upstream;
    const target = { upstreamId, url: new URL(url).origin };
    const signal = AbortSignal.timeout(this.limits.answerMs);
    const headers = pickForService(call.headers);
    const answer = await this.client.open(target, { ...call, headers, signal }, judgeHead);
    const read = await answerBodies.readAnswer(answer, this.limits.answerBytes, upstreamId);
    if (!read.isWhole) {
      answer.body.destroy();
      throw new upstreamErrors.UpstreamError('lost', 'answer-too-large', upstreamId);
    }
    return {
      status: answer.status,
      headers: toStrings(hopHeaders.pickEndToEndHeaders(answer.headers)),
      body: read.bytes,
    };
  }

  /** Ends every connection. */
  public async close(): Promise<void> {
    await this.client.close();
  }
}

function judgeHead(head: upstreamClients.AnswerHead): upstreamClients.HeadVerdict {
  return head.headers[engineClients.NOT_RUN_HEADER] === undefined ? 'answer' : 'not-run';
}

/** A service learns neither the team's secret nor the name by which callers found this daemon. */
function pickForService(headers: Readonly<Record<string, string>>): Record<string, string> {
  const { host, authorization, ...others } = toStrings(hopHeaders.pickEndToEndHeaders(headers));
  return others;
}

function toStrings(headers: Record<string, string | string[]>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]));
}
