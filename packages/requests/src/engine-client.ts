import type * as http from 'node:http';
import type * as stream from 'node:stream';

import * as paths from '@bramleyridge/paths';
import type * as schemas from '@bramleyridge/schemas';
import type * as undici from 'undici';

import * as boundedBodies from './bounded-body.js';
import * as timeLimits from './time-limit.js';
import * as upstreamErrors from './upstream-error.js';
import * as upstreamTargets from './upstream-target.js';
import type * as upstreamGates from './upstream-gate.js';
import * as upstreamNotices from './upstream-notice.js';

/** The response header by which an upstream reports that it did not run a call. */
export const NOT_RUN_HEADER = 'x-not-run';

/** The response header by which an upstream limits the calls per second that it takes from all hosts together. */
export const RATE_LIMIT_HEADER = 'x-rate-limit';

/** The response header by which an upstream states after how many rejections in a second it ends. */
export const BRITTLE_HEADER = 'x-brittle';

/** The largest report or other JSON document of an engine, in bytes. */
const MAX_REPORT_BYTES = 4 * 1024 * 1024;

/** The most bytes of an answer without use that are read, so that its connection can serve another call, in bytes. */
const MAX_DUMP_BYTES = 64 * 1024;

/** The header by which an engine names its process; a restarted one has a new name. */
export const PROCESS_HEADER = 'x-process';

/** Maximum number of engines whose process names are kept. */
const MAX_PROCESSES = 1_000;

/** The service under which engines count as brittle together. */
const ENGINE_SERVICE = 'engines';

/** The response header by which an upstream states that it leaves. */
export const LEAVING_HEADER = 'x-leaving';

/** Decodes what an upstream states about itself in a response. */
export function readNotice(
  status: number,
  headers: http.IncomingHttpHeaders,
): upstreamNotices.UpstreamNotice {
  return {
    limit: upstreamNotices.parseNamedLimit(headers[RATE_LIMIT_HEADER]),
    rest: upstreamNotices.parseRequestedRest(status, headers['retry-after'], Date.now()),
    isLeaving: headers[LEAVING_HEADER] === '1',
    ...(headers[BRITTLE_HEADER] === undefined
      ? {}
      : { maxRejectionsPerS: upstreamNotices.parseNamedLimit(headers[BRITTLE_HEADER]) }),
  };
}

/** The response of an engine to the cancellation of a generation. */
export interface CancelAnswer {
  /** `unknown`: the process that answers never started the generation and will not start it. */
  readonly state: 'unknown' | 'cancelled' | 'ended';
  readonly tokens: number;
  /** Name of the process that answers; undefined if the engine names none. */
  readonly process?: string | undefined;
}

/** Options of `EngineClient`; times in milliseconds. */
export interface EngineClientOptions {
  readonly gate: upstreamGates.UpstreamGate;
  /** The daemon's connections to upstreams; by default, connections of its own. */
  readonly links?: paths.UpstreamLinks | undefined;
  readonly connectMs: number;
  readonly answerMs: number;
}

/** A request to an engine. */
type EngineRequest = Omit<undici.Dispatcher.RequestOptions, 'origin'> & {
  /** Whether it needs a new connection. */
  readonly isFresh?: boolean;
  /** Places in which its bytes may be processed on their way; any by default. */
  readonly place?: paths.PlaceRule | undefined;
};

/** A client of the engines' published protocol. */
export class EngineClient {
  private readonly links: paths.UpstreamLinks;
  /** Names of the processes that answered last, by upstream id. */
  private readonly processes = new Map<string, string>();

  public constructor(private readonly options: EngineClientOptions) {
    this.links = options.links ?? paths.createOwnLinks(options);
  }

  /** Starts a generation and returns its event stream once the engine has accepted it. */
  public async start(
    upstream: schemas.Upstream,
    path: string,
    generation: string,
    body: string,
    place?: paths.PlaceRule,
  ): Promise<stream.Readable> {
    const { gate } = this.options;
    gate.use(await gate.admit(upstream), upstream);
    const res = await this.request('start', upstream, {
      path,
      method: 'POST',
      body,
      place,
      headers: { 'content-type': 'application/json', 'x-request-id': generation },
    });
    const gated = { ...upstream, service: ENGINE_SERVICE };
    gate.recordAnswer(gated, readNotice(res.statusCode, res.headers));
    if (res.statusCode === 200) {
      return res.body;
    }
    await this.dump(res);
    const isRejected = res.headers[NOT_RUN_HEADER] !== undefined;
    if (isRejected) {
      gate.recordRejection(gated);
    }
    const isNotRun = isRejected || res.statusCode < 500;
    throw new upstreamErrors.UpstreamError(
      isNotRun ? 'refused' : 'lost',
      'start',
      upstream.upstreamId,
    );
  }

  /** Resumes the event stream of a generation at an offset, always on a new connection. */
  public async resume(
    upstream: schemas.Upstream,
    generation: string,
    offset: number,
    place?: paths.PlaceRule,
  ): Promise<stream.Readable> {
    const res = await this.request('resume', upstream, {
      path: `/v1/generations/${generation}/events`,
      method: 'GET',
      headers: { 'last-event-id': `${generation}:${offset - 1}` },
      // The previous connection may have been dropped silently, and so may others of the pool.
      reset: true,
      isFresh: true,
      place,
    });
    if (res.statusCode === 200) {
      return res.body;
    }
    await this.dump(res);
    const kind = res.statusCode === 404 || res.statusCode === 410 ? 'gone' : 'lost';
    throw new upstreamErrors.UpstreamError(kind, 'resume', upstream.upstreamId);
  }

  /** Records that a stream of an engine has stopped without an end, which may be due to the path. */
  public recordStopped(upstream: schemas.Upstream): void {
    this.links.recordStopped(upstreamTargets.createTarget(upstream).address);
  }

  /** Returns the name of the process of an engine that answered last; undefined if it is not known. */
  public getProcess(upstreamId: string): string | undefined {
    return this.processes.get(upstreamId);
  }

  /** Cancels a generation; a process that never started it guarantees not to start it later. */
  public async cancel(
    upstream: schemas.Upstream,
    generation: string,
    place?: paths.PlaceRule,
  ): Promise<CancelAnswer> {
    return timeLimits.withTimeLimit(this.options.answerMs, async (signal) => {
      const res = await this.request('cancel', upstream, {
        path: `/v1/generations/${generation}`,
        method: 'DELETE',
        signal,
        isFresh: true,
        place,
      });
      const answer = (await this.readJson('cancel', upstream, res)) as CancelAnswer;
      return { ...answer, process: readProcess(res.headers) };
    });
  }

  /** Reads a JSON document, such as the load report. */
  public async getJson(upstream: schemas.Upstream, path: string): Promise<unknown> {
    return timeLimits.withTimeLimit(this.options.answerMs, async (signal) => {
      const res = await this.request('report', upstream, { path, method: 'GET', signal });
      return this.readJson('report', upstream, res);
    });
  }

  /** Sends an order and returns the status of the response. */
  public async order(
    upstream: schemas.Upstream,
    order: schemas.Order,
    deadlineMs: number,
  ): Promise<number> {
    return timeLimits.withTimeLimit(deadlineMs, async (signal) => {
      const res = await this.request('order', upstream, {
        path: '/orders',
        method: 'POST',
        body: JSON.stringify(order),
        headers: { 'content-type': 'application/json' },
        signal,
      });
      await this.dump(res);
      return res.statusCode;
    });
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.links.close();
  }

  private async readJson(
    step: string,
    upstream: schemas.Upstream,
    { body }: undici.Dispatcher.ResponseData,
  ): Promise<unknown> {
    try {
      return await boundedBodies.readBoundedJson(body, MAX_REPORT_BYTES);
    } catch (err) {
      throw upstreamErrors.createUpstreamError(err, step, upstream.upstreamId);
    }
  }

  /** Reads the rest of an answer without use; closes the connection of one that doesn't end soon. */
  private async dump({ body }: undici.Dispatcher.ResponseData): Promise<void> {
    const signal = AbortSignal.timeout(this.options.answerMs);
    await body.dump({ limit: MAX_DUMP_BYTES, signal }).catch(() => {});
  }

  private async request(
    step: string,
    upstream: schemas.Upstream,
    { isFresh, place, ...reqOptions }: EngineRequest,
  ): Promise<undici.Dispatcher.ResponseData> {
    const { address, origin } = upstreamTargets.createTarget(upstream);
    const { answerMs, connectMs } = this.options;
    const client = isFresh
      ? this.links.createClient(origin, place)
      : this.links.getAgent(address, place);
    const tracked = this.links.track(address, answerMs / 2);
    const { signal } = reqOptions;
    // Informational responses start the time limit of the headers anew. The limit ends with the headers: as a signal of
    // its own it would also end the stream.
    const head = new AbortController();
    const headTimer = setTimeout(() => head.abort(), connectMs + 2 * answerMs);
    const signals = signal instanceof AbortSignal ? [signal, head.signal] : [head.signal];
    try {
      const limits = { headersTimeout: answerMs };
      const res = await client.request({
        ...limits,
        ...reqOptions,
        origin,
        signal: AbortSignal.any(
          reqOptions.method === 'POST' ? signals : [...signals, tracked.signal],
        ),
      } as undici.Dispatcher.RequestOptions);
      tracked.begin();
      this.recordProcess(upstream.upstreamId, readProcess(res.headers));
      // An error between two reads would otherwise be uncaught and end the process; the next read reports it.
      res.body.on('error', () => {});
      res.body.once('close', tracked.end);
      return res;
    } catch (err) {
      tracked.end();
      throw upstreamErrors.createUpstreamError(err, step, upstream.upstreamId);
    } finally {
      clearTimeout(headTimer);
    }
  }
  private recordProcess(upstreamId: string, name: string | undefined): void {
    this.processes.delete(upstreamId);
    if (name === undefined) {
      return;
    }
    this.processes.set(upstreamId, name);
    if (this.processes.size > MAX_PROCESSES) {
      this.processes.delete([...this.processes.keys()][0]!);
    }
  }
}

function readProcess(headers: http.IncomingHttpHeaders): string | undefined {
  const name = headers[PROCESS_HEADER];
  return typeof name === 'string' && name !== '' ? name : undefined;
}
