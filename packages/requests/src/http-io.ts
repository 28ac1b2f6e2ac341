import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';

import type * as heldBytes from './held-bytes.js';

/** Errors after which the request has not run and may be sent again. */
const NOT_RUN_IDS = new Set<schemas.MessageId>([
  'claimRefused',
  'keysFull',
  'logFull',
  'notLeader',
]);

/** An HTTP request with the parameters of its route. */
export type ApiRequest = http.IncomingMessage & { readonly params: Record<string, string> };

/** Step of the refusals while a body is read; the connections of such calls can't be used for others. */
export const READ_BODY_STEP = 'read-body';

/**
 * `Retry-After` of a call that a full host refuses, in seconds: the load balancer usually sends the next one to another
 * host.
 */
const HOST_FULL_RETRY_AFTER_S = 0.2;

type BodyRefusalId = 'bodyTooLarge' | 'bodyTooSlow' | 'hostFull' | 'linkClosed';

const BODY_REFUSAL_STATUSES: Readonly<Record<BodyRefusalId, number>> = {
  bodyTooLarge: 413,
  bodyTooSlow: 408,
  hostFull: 503,
  linkClosed: 408,
};

/** The limits on a request body: its size in bytes, and the time to receive it in milliseconds. */
export interface BodyLimits {
  readonly bodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** Account of the memory that a request body takes while it is read. */
export type BodyAccount = Pick<heldBytes.HeldCall, 'addRequest' | 'beginBody' | 'endBody'>;

/**
 * Reads a complete request body within the limits of size, of time and of the account, if there is one. Rejects with the
 * reason of the signal once that is aborted.
 */
export function readBody(
  req: http.IncomingMessage,
  limits: BodyLimits,
  account?: BodyAccount,
  signal?: AbortSignal,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new schemas.ByteBlocks();
    const abort = () => fail(schemas.toError(signal?.reason));
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', abort);
      account?.endBody();
    };
    const fail = (err: Error) => {
      end();
      req.pause();
      req.off('data', receive);
      body.clear();
      reject(err);
    };
    const refuse = (id: BodyRefusalId, arg = 0) => {
      fail(
        new schemas.Refusal({
          id,
          step: READ_BODY_STEP,
          status: BODY_REFUSAL_STATUSES[id],
          outcome: 'not-run',
          args: [arg],
          retryAfterS: id === 'hostFull' ? HOST_FULL_RETRY_AFTER_S : undefined,
        }),
      );
    };
    const receive = (part: Buffer) => {
      const formerBytes = body.allocatedBytes;
      body.push(part);
      if (body.allocatedBytes > formerBytes) {
        account?.addRequest(body.allocatedBytes - formerBytes);
      }
      if (body.length > limits.bodyBytes) {
        refuse('bodyTooLarge', limits.bodyBytes);
      }
    };
    // Without it a client that sends a byte per second would hold memory and its place among the running requests
    // forever.
    const timer = setTimeout(
      () => refuse('bodyTooSlow', limits.bodyTimeoutMs),
      limits.bodyTimeoutMs,
    );
    if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes) {
      refuse('bodyTooLarge', limits.bodyBytes);
      return;
    }
    if (signal?.aborted === true) {
      abort();
      return;
    }
    account?.beginBody(() => refuse('hostFull'));
    signal?.addEventListener('abort', abort);
    req.on('data', receive);
    req.on('end', () => {
      end();
      resolve(body.take());
    });
    req.on('error', () => refuse('linkClosed'));
    req.on('aborted', () => refuse('linkClosed'));
  });
}

/**
 * Reads a complete request body and counts it until the response is closed. Throws a refusal if the host holds too many
 * bytes.
 */
export async function readHeldBody(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  limits: BodyLimits,
  held: heldBytes.HeldBytes,
): Promise<Buffer> {
  if (held.isFull()) {
    throw createHostFull();
  }
  const call = held.begin(res);
  try {
    const body = await readBody(req, limits, call);
    res.once('close', () => held.end(call, res));
    return body;
  } catch (err) {
    held.end(call, res);
    throw err;
  }
}

/** Creates the refusal of a call for which this host has no memory. */
export function createHostFull(): schemas.Refusal {
  return new schemas.Refusal({
    id: 'hostFull',
    step: 'admit',
    status: 503,
    outcome: 'not-run',
    retryAfterS: HOST_FULL_RETRY_AFTER_S,
  });
}

/** Parses a JSON body and validates it by a schema; throws a refusal that lists the faults. */
export function parseJson<T>(
  schema: { safeParse(input: unknown): ParseResult<T> },
  body: Buffer,
): T {
  let input: unknown;
  try {
    input = JSON.parse(body.toString('utf8'));
  } catch (err) {
    throw createBadBody(schemas.toError(err).message);
  }
  const result = schema.safeParse(input);
  if (!result.success) {
    throw createBadBody(schemas.listFaults(result.error as never, input).join('; '));
  }
  return result.data as T;
}

interface ParseResult<T> {
  readonly success: boolean;
  readonly data?: T;
  readonly error?: unknown;
}

/** Sends a JSON response. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

/**
 * Sends a refusal. If the request body has not been read to its end, also closes the connection, unless the rest of
 * the body may be read and discarded (`mayReadRest`). Closing a connection with unread bytes resets it, and the
 * caller may not receive the refusal. While the refusal waits for the answers to earlier requests, the body is discarded.
 */
export function sendRefusal(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  refusal: schemas.Refusal,
  mayReadRest = false,
): void {
  const { outcome, retryAfterS, location, status } = refusal.options;
  const headers: http.OutgoingHttpHeaders = { [schemas.OUTCOME_HEADER]: outcome };
  if (retryAfterS !== undefined) {
    headers['retry-after'] = String(retryAfterS);
  }
  if (location !== undefined) {
    headers.location = location;
  }
  const isQueued = res.socket === null;
  if (isQueued) {
    req.resume();
  }
  if (!req.complete && !mayReadRest) {
    // The rest of the body must neither be parsed as the next request nor be received. The body of a refusal that waits may
    // end before its turn, and requests that follow are answered.
    if (!isQueued) {
      headers.connection = 'close';
    }
    res.once('finish', () => {
      if (!isQueued || !req.complete) {
        req.socket.destroySoon();
      }
    });
  }
  sendJson(res, status, refusal.toJson(), headers);
}

/** Converts any thrown value to a refusal. */
export function toRefusal(err: unknown): schemas.Refusal {
  if (err instanceof schemas.Refusal) {
    return err;
  }
  const id = err instanceof schemas.StepError ? err.id : 'ranUnknown';
  const outcome = NOT_RUN_IDS.has(id) ? 'not-run' : 'unknown';
  const status = outcome === 'not-run' ? 503 : 502;
  return new schemas.Refusal({
    id,
    step: 'request',
    status,
    outcome,
    cause: err,
    retryAfterS: outcome === 'not-run' ? 1 : undefined,
  });
}

function createBadBody(fault: string): schemas.Refusal {
  return new schemas.Refusal({
    id: 'badBody',
    step: 'parse-body',
    status: 400,
    outcome: 'not-run',
    args: [fault.slice(0, 2_000)],
  });
}
