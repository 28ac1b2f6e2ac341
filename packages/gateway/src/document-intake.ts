import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as operatorServices from './operator-service.js';

/** Timeout for receiving a document, in addition to the time for its bytes, in milliseconds. */
const TIMEOUT_MS = 10_000;

/** Rate below which an operator is too slow, in bytes per millisecond: 1 Mbit/s. */
const MIN_BYTES_PER_MS = 125;

/** Size of the documents that are received or decoded at once, in bytes; decoded, one takes several times its size. */
const MAX_HELD_BYTES = 3 * operatorServices.MAX_DOCUMENT_BYTES;

/** `Retry-After` of a document for which there is no room, in seconds. */
const RETRY_AFTER_S = 0.5;

/** Receives the documents that operators declare, within limits of their size, of time and of memory. */
export class DocumentIntake {
  private readonly held = new requests.HeldBytes(() => MAX_HELD_BYTES);

  /** Receives a document and handles it; throws a refusal if it is too large or too slow, or if there is no room. */
  public async receive<T>(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    handle: (text: string) => Promise<T>,
  ): Promise<T> {
    const call = this.held.begin(res);
    try {
      const declaredBytes = Number(req.headers['content-length'] ?? 0);
      call.addRequest(Math.min(declaredBytes, operatorServices.MAX_DOCUMENT_BYTES));
      this.checkRoom();
      const body = await requests.readBody(
        req,
        {
          bodyBytes: operatorServices.MAX_DOCUMENT_BYTES,
          bodyTimeoutMs: TIMEOUT_MS + declaredBytes / MIN_BYTES_PER_MS,
        },
        {
          addRequest: (bytes) => call.addRequest(declaredBytes > 0 ? 0 : bytes),
          beginBody: () => {},
          endBody: () => {},
        },
      );
      return await handle(body.toString('utf8'));
    } finally {
      this.held.end(call, res);
    }
  }

  private checkRoom(): void {
    if (this.held.isFull()) {
      throw new schemas.Refusal({
        id: 'documentsHeld',
        step: 'receive-document',
        status: 503,
        outcome: 'not-run',
        args: [MAX_HELD_BYTES],
        retryAfterS: RETRY_AFTER_S,
      });
    }
  }
}
