import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as paths from '@bramleyridge/paths';
import type * as undici from 'undici';

import * as upstreamErrors from './upstream-error.js';
import type * as upstreamGates from './upstream-gate.js';
import type * as upstreamNotices from './upstream-notice.js';
import type * as upstreamTargets from './upstream-target.js';

/** Time for which an upstream may be silent before the path to it is checked, in milliseconds. */
const DEFAULT_PATIENCE_MS = 1_000;

/** Default time limit for a connect, in milliseconds. */
const DEFAULT_CONNECT_MS = 150;

/** A call as it is sent to an upstream. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  readonly permit: upstreamGates.SendPermit;
  /** Places in which its bytes may be processed on their way; any by default. */
  readonly place?: paths.PlaceRule | undefined;
  /** Time for which its upstream may be silent before the path to it is checked, in milliseconds. */
  readonly patienceMs?: number | undefined;
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
  /** Records that its body has stopped without an end, which may be due to the path. */
  readonly recordStopped: () => void;
  /** Returns the number of parts in which its body has arrived; `undefined` if it is not known. */
  readonly countParts?: (() => number) | undefined;
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
  /** The host's connections to upstreams; by default, connections of its own that are made as given below. */
  readonly links?: paths.UpstreamLinks | undefined;
  readonly connectMs?: number | undefined;
  /** Maximum number of pooled connections to one upstream; unlimited by default. */
  readonly connections?: number | undefined;
}

/** Sends calls to upstreams: one attempt on one connection, whose response head is checked. */
export class UpstreamClient {
  private readonly links: paths.UpstreamLinks;

  public constructor(private readonly options: UpstreamClientOptions) {
    const { connectMs = DEFAULT_CONNECT_MS, connections, links } = options;
    this.links = links ?? paths.createOwnLinks({ connectMs, connections });
  }

  /**
   * Sends a call once and returns its response, whose body is still to be read. A call that may not be repeated is
   * sent on a new connection: a pooled one may have been dropped silently, and it would be unknown whether the call
   * arrived. On a new connection a failure to connect is reliably `unreachable`, and every later failure is `lost`.
   */
  public async open(
    target: upstreamTargets.UpstreamTarget,
    call: OutgoingCall,
    classify: ClassifyHead,
  ): Promise<UpstreamAnswer> {
    this.options.gate.use(call.permit, target);
    const { links } = this;
    const singleUseClient = call.isRepeatable
      ? undefined
      : links.createClient(target.origin, call.place);
    try {
      const answer = await this.request(
        singleUseClient ?? links.getAgent(target.address, call.place),
        target,
        call,
      );
      this.checkHead(target, answer, classify);
      if (singleUseClient !== undefined) {
        answer.body.once('close', () => destroyClient(singleUseClient));
        return { ...answer, countParts: () => singleUseClient.countParts() };
      }
      return answer;
    } catch (err) {
      destroyClient(singleUseClient);
      throw upstreamErrors.createUpstreamError(err, 'send', target.upstreamId);
    }
  }

  /** Returns whether this host has no room for another connection to an upstream. */
  public isFull(): boolean {
    return this.links.isFull();
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.links.close();
  }

  private async request(
    dispatcher: undici.Dispatcher,
    target: upstreamTargets.UpstreamTarget,
    call: OutgoingCall,
  ): Promise<UpstreamAnswer> {
    const { links } = this;
    const resetsBefore = links.resets.count(target.address);
    const tracked = links.track(target.address, call.patienceMs ?? DEFAULT_PATIENCE_MS);
    try {
      const res = await dispatcher.request({
        origin: target.origin,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.body.length > 0 ? call.body : undefined,
        reset: !call.isRepeatable,
        // Another call that may run once can't be sent; the answer to this one may still arrive.
        signal: call.isRepeatable ? AbortSignal.any([call.signal, tracked.signal]) : call.signal,
      });
      // An error between two reads would otherwise be uncaught and end the process; the next read reports it.
      res.body.on('error', () => {});
      tracked.begin();
      res.body.once('close', tracked.end);
      const wasReset = () => links.resets.count(target.address) !== resetsBefore;
      const recordStopped = () => links.recordStopped(target.address);
      const { body, headers, statusCode: status } = res;
      return { status, headers, body, wasReset, recordStopped };
    } catch (err) {
      tracked.end();
      throw err;
    }
  }

  private checkHead(
    target: upstreamTargets.UpstreamTarget,
    answer: UpstreamAnswer,
    classify: ClassifyHead,
  ): void {
    const verdict = classify(answer);
    // Any other head may be that of another process or call, and says nothing about this upstream.
    if (verdict === 'answer' || verdict === 'not-run') {
      this.options.gate.recordAnswer(target, this.options.readNotice(answer));
    }
    if (verdict === 'not-run') {
      this.options.gate.recordRejection(target);
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

/** Closes the connection of a call; when that fails, it is closed already, or ends with its process. */
function destroyClient(client: undici.Client | undefined): void {
  client?.destroy().catch(() => {});
}
