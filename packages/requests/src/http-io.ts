import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';

/** Errors after which the request has not run and may be sent again. */
const NOT_RUN_IDS = new Set<schemas.MessageId>(['claimRefused', 'logFull', 'notLeader']);

/** An HTTP request with the parameters of its route. */
export type ApiRequest = http.IncomingMessage & { readonly params: Record<string, string> };

/** The limits on a request body: its size in bytes, and the time to receive it in milliseconds. */
export interface BodyLimits {
  readonly bodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/**
 * Reads a complete request body within the limits of size and time. Calls `onBytes` with the memory that each part
 * takes, in bytes.
 */
export function readBody(
  req: http.IncomingMessage,
  limits: BodyLimits,
  onBytes: (bytes: number) => void = () => {},
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new schemas.ByteBlocks();
    const refuse = (id: 'bodyTooLarge' | 'bodyTooSlow' | 'linkClosed', arg: number) => {
      clearTimeout(timer);
      req.pause();
      const status = id === 'bodyTooLarge' ? 413 : 408;
      reject(
        new schemas.Refusal({ id, step: 'read-body', status, outcome: 'not-run', args: [arg] }),
      );
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
    req.on('data', (part: Buffer) => {
      const formerBytes = body.allocatedBytes;
      body.push(part);
      if (body.allocatedBytes > formerBytes) {
        onBytes(body.allocatedBytes - formerBytes);
      }
      if (body.length > limits.bodyBytes) {
        refuse('bodyTooLarge', limits.bodyBytes);
      }
    });
    req.on('end', () => {
      clearTimeout(timer);
      resolve(body.take());
    });
    req.on('error', () => refuse('linkClosed', 0));
    req.on('aborted', () => refuse('linkClosed', 0));
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
 * caller may not receive the refusal.
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
  if (!req.complete && !mayReadRest) {
    // The rest of the body must neither be parsed as the next request nor be received.
    headers.connection = 'close';
    res.once('finish', () => req.socket.destroySoon());
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
