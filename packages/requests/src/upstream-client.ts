import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as paths from '@bramleyridge/paths';
import * as undici from 'undici';

import * as resetMonitors from './reset-monitor.js';
import * as upstreamErrors from './upstream-error.js';
import type * as upstreamGates from './upstream-gate.js';
import type * as upstreamNotices from './upstream-notice.js';

/** How long an idle connection to an upstream is kept, in milliseconds; an upstream may announce a shorter time. */
const KEEP_ALIVE_MS = 4_000;

/** The upstream to which a call is sent. */
export interface UpstreamTarget extends upstreamGates.GatedUpstream {
  /** Scheme, address and port. */
  readonly url: string;
}

/** A call as it is sent to an upstream. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  readonly permit: upstreamGates.SendPermit;
  /** Aborts the attempt, when the caller has disconnected or the deadline has passed. */
  readonly signal: AbortSignal;
}

/** The status and headers of an upstream's response. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** An upstream's response whose body is still being received. */
export interface UpstreamAnswer extends AnswerHead {
  readonly body: stream.Readable;
  /** Returns whether a connection to the upstream's address was reset since the call was sent. */
  readonly wasReset: () => boolean;
}

/**
 * The meaning of a response's head: a response to this call (`answer`), a report that the call did not run
 * (`not-run`) or that another process has the address now (`moved`), or bytes that belong to another call
 * (`foreign`).
 */
export type HeadVerdict = 'answer' | 'not-run' | 'moved' | 'foreign';

/** The kind of failure for each head that is no response to the call. */
const FAILURE_KINDS = { 'not-run': 'refused', moved: 'gone', foreign: 'lost' } as const;

/** Classifies a head by the protocol of the kind of upstream that is called. */
export type ClassifyHead = (head: AnswerHead) => HeadVerdict;

/** Options of `UpstreamClient`. */
export interface UpstreamClientOptions {
  readonly gate: upstreamGates.UpstreamGate;
  /** Decodes what an upstream states about itself in an answer. */
  readonly readNotice: (head: AnswerHead) => upstreamNotices.UpstreamNotice;
  readonly connectMs: number;
  /** Opens the connections; TCP connections by default. */
  readonly dialer?: paths.UpstreamDialer | undefined;
  /** Maximum number of pooled connections to one upstream; unlimited by default. */
  readonly connections?: number;
}

/** Sends calls to upstreams: one attempt on one connection, whose response head is checked. */
export class UpstreamClient {
  private readonly agent: undici.Agent;
  private readonly resets = new resetMonitors.ResetMonitor();
  private readonly connect: undici.buildConnector.connector;

  public constructor(private readonly options: UpstreamClientOptions) {
    const dialer = options.dialer ?? new paths.TcpDialer();
    this.connect = this.resets.createConnector((address) =>
      dialer.dial(address, options.connectMs),
    );
    this.agent = new undici.Agent({
      connect: this.connect,
      connections: options.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      // The sender of a call sets its time limit by the abort signal.
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  /**
   * Sends a call once and returns its response, whose body is still to be read. A call that may not be repeated is
   * sent on a new connection: a pooled one may have been dropped silently, and it would be unknown whether the call
   * arrived. On a new connection a failure to connect is reliably `unreachable`, and every later failure is `lost`.
   */
  public async open(
    target: UpstreamTarget,
    call: OutgoingCall,
    classify: ClassifyHead,
  ): Promise<UpstreamAnswer> {
    this.options.gate.use(call.permit, target);
    const singleUseClient = call.isRepeatable ? undefined : this.createSingleUseClient(target);
    try {
      const answer = await this.request(singleUseClient ?? this.agent, target, call);
      this.checkHead(target, answer, classify);
      if (singleUseClient !== undefined) {
        answer.body.once('close', () => {
          void singleUseClient.destroy();
        });
      }
      return answer;
    } catch (err) {
      void singleUseClient?.destroy();
      throw upstreamErrors.createUpstreamError(err, 'send', target.upstreamId);
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createSingleUseClient(target: UpstreamTarget): undici.Client {
    return new undici.Client(target.url, {
      connect: this.connect,
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
    // An error between two reads would otherwise be uncaught and end the process; the next read reports it.
    res.body.on('error', () => {});
    const wasReset = () => this.resets.count(target.url) !== resetsBefore;
    return { status: res.statusCode, headers: res.headers, body: res.body, wasReset };
  }

  private checkHead(target: UpstreamTarget, answer: UpstreamAnswer, classify: ClassifyHead): void {
    const verdict = classify(answer);
    // Any other head may be that of another process or call, and says nothing about this upstream.
    if (verdict === 'answer' || verdict === 'not-run') {
      this.options.gate.recordAnswer(target, this.options.readNotice(answer));
    }
    if (verdict === 'answer') {
      return;
    }
    // A late response to an earlier call may have taken the place of this one. Closing the connection is enough: the
    // next call gets another one, on which no such bytes can remain.
    answer.body.destroy();
    throw new upstreamErrors.UpstreamError(FAILURE_KINDS[verdict], verdict, target.upstreamId);
  }
}
