import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as undici from 'undici';

import * as resetWatches from './reset-monitor.js';
import * as upstreamErrors from './upstream-error.js';

/** How long an idle connection to an upstream is kept, in milliseconds; upstreams say when it is less. */
const KEEP_ALIVE_MS = 4_000;

/** Where a call is sent. */
export interface UpstreamTarget {
  readonly upstreamId: string;
  /** Scheme, address and port. */
  readonly url: string;
}

/** A call as it goes out. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  /** Ends the attempt: the caller left, or its time is over. */
  readonly signal: AbortSignal;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** An upstream's answer while its body is still coming. */
export interface UpstreamAnswer extends AnswerHead {
  readonly body: stream.Readable;
  /** Whether a connection to its upstream was reset since the call went out. */
  readonly wasReset: () => boolean;
}

/**
 * What the head of an answer says: an answer to this call, the upstream's word that the call did not run, that
 * another process now has the address, or bytes that belong to something else.
 */
export type HeadVerdict = 'answer' | 'not-run' | 'moved' | 'foreign';

/** What is known of a call by a head that is no answer to it. */
const FAILURES = { 'not-run': 'refused', moved: 'gone', foreign: 'lost' } as const;

/** Judges heads by the protocol that the upstreams of one side speak. */
export type ClassifyHead = (head: AnswerHead) => HeadVerdict;

/** The deadlines and limits towards upstreams. */
export interface UpstreamClientLimits {
  readonly connectMs: number;
  /** Connections that are kept to one upstream. */
  readonly connections?: number;
}

/** Sends every call to upstreams: one attempt on one connection, and the judgement of its head. */
export class UpstreamClient {
  private readonly agent: undici.Agent;
  private readonly resets = new resetWatches.ResetMonitor();

  public constructor(private readonly limits: UpstreamClientLimits) {
    this.agent = new undici.Agent({
      connect: this.resets.createConnector(limits.connectMs),
      connections: limits.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      // Who sends a call knows how long it may take, and ends it by its signal.
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  /**
   * Sends a call once and gives its answer, whose body is still to be read. A call that may not be repeated
   * goes out on a connection made for it: a pooled one may be silently dead, and then nobody could tell
   * whether the call arrived. On a new one a failure to connect is truly `unreachable`, and everything after
   * it is `lost`.
   */
  public async open(
    target: UpstreamTarget,
    call: OutgoingCall,
    judge: ClassifyHead,
  ): Promise<UpstreamAnswer> {
    const own = call.isRepeatable ? undefined : this.createOwn(target);
    try {
      const answer = await this.request(own ?? this.agent, target, call);
      this.checkHead(target, answer, judge);
      if (own !== undefined) {
        answer.body.once('close', () => {
          void own.destroy();
        });
      }
      return answer;
    } catch (err) {
      void own?.destroy();
      throw upstreamErrors.createUpstreamError(err, 'send', target.upstreamId);
    }
  }

  /** Ends every connection. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createOwn(target: UpstreamTarget): undici.Client {
    return new undici.Client(target.url, {
      connect: this.resets.createConnector(this.limits.connectMs),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  private async request(
    dispatcher: undici.Dispatcher,
    target: UpstreamTarget,
    call: OutgoingCall,
  ): Promise<UpstreamAnswer> {
    const resetsBefore = this.resets.count(target.url);
    const res = await dispatcher.request({
      origin: target.url,
      path: call.path,
      method: call.method,
      headers: call.headers,
      body: call.body.length > 0 ? call.body : undefined,
      reset: !call.isRepeatable,
      signal: call.signal,
    });
    // An error between two reads would otherwise end the process; the next read finds it.
    res.body.on('error', () => {});
    const wasReset = () => this.resets.count(target.url) !== resetsBefore;
    return { status: res.statusCode, headers: res.headers, body: res.body, wasReset };
  }

  private checkHead(target: UpstreamTarget, answer: UpstreamAnswer, judge: ClassifyHead): void {
    const verdict = judge(answer);
    if (verdict === 'answer') {
      return;
    }
    // A late answer to an earlier call may stand where this one's is due; ending the connection is enough,
    // since the next call then gets one on which nothing can be left over.
    answer.body.destroy();
    throw new upstreamErrors.UpstreamError(FAILURES[verdict], verdict, target.upstreamId);
  }
}
