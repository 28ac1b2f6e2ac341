import type * as paths from '@bramleyridge/paths';
import type * as schemas from '@bramleyridge/schemas';

import * as answerBodies from './answer-body.js';
import type * as callRegistries from './call-registry.js';
import * as engineClients from './engine-client.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as upstreamClients from './upstream-client.js';
import * as timeLimits from './time-limit.js';
import * as upstreamErrors from './upstream-error.js';
import * as upstreamTargets from './upstream-target.js';
import type * as upstreamGates from './upstream-gate.js';
import type * as upstreamNotices from './upstream-notice.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  /** Places in which its bytes may be processed on their way; any by default. */
  readonly place?: paths.PlaceRule | undefined;
}

/** Options of `ServiceClient`: times in milliseconds, sizes in bytes. */
export interface ServiceClientOptions {
  readonly gate: upstreamGates.UpstreamGate;
  /** The daemon's connections to upstreams; by default, connections of its own. */
  readonly links?: paths.UpstreamLinks | undefined;
  readonly connectMs: number;
  readonly answerMs: number;
  readonly answerBytes: number;
}

/** Sends calls to plain services and reads their complete responses. */
export class ServiceClient {
  private readonly client: upstreamClients.UpstreamClient;

  public constructor(private readonly options: ServiceClientOptions) {
    this.client = new upstreamClients.UpstreamClient({ ...options, readNotice });
  }

  /** Sends a call once and reads the complete response. */
  public async send(
    upstream: schemas.Upstream,
    call: ServiceCall,
  ): Promise<callRegistries.StoredResponse> {
    const { upstreamId } = upstream;
    const target = upstreamTargets.createTarget(upstream);
    const permit = await this.options.gate.admit(target);
    const headers = pickServiceHeaders(call.headers);
    const { answer, read } = await timeLimits.withTimeLimit(
      this.options.answerMs,
      async (signal) => {
        const sent = { ...call, headers, permit, signal };
        const opened = await this.client.open(target, sent, classifyHead);
        const { answerBytes } = this.options;
        return {
          answer: opened,
          read: await answerBodies.readAnswer(opened, answerBytes, upstreamId),
        };
      },
    );
    if (!read.isWhole) {
      answer.body.destroy();
      throw new upstreamErrors.UpstreamError('lost', 'answer-too-large', upstreamId);
    }
    return {
      status: answer.status,
      headers: toStringValues(endToEndHeaders.pickEndToEndHeaders(answer.headers)),
      body: read.bytes,
    };
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.client.close();
  }
}

function classifyHead(head: upstreamClients.AnswerHead): upstreamClients.HeadVerdict {
  return head.headers[engineClients.NOT_RUN_HEADER] === undefined ? 'answer' : 'not-run';
}

function readNotice(head: upstreamClients.AnswerHead): upstreamNotices.UpstreamNotice {
  return engineClients.readNotice(head.status, head.headers);
}

/** Removes the team's credentials, and the host name by which callers reach this daemon. */
function pickServiceHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  const { host, authorization, ...others } = toStringValues(
    endToEndHeaders.pickEndToEndHeaders(headers),
  );
  return others;
}

function toStringValues(headers: Record<string, string | string[]>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]));
}
