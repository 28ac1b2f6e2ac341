import * as paths from '@bramleyridge/paths';

import type * as upstreamClients from './upstream-client.js';
import * as upstreamErrors from './upstream-error.js';

/** The byte that ends each line of an event stream. */
const LINE_FEED = 0x0a;

/** The content type of streams of events. */
const EVENTS_TYPE = 'text/event-stream';

/** The body of a response as far as it was read, and whether that is all of it. */
export interface AnswerBody {
  readonly bytes: Buffer;
  readonly isWhole: boolean;
}

/**
 * Reads a response body until it ends or exceeds `maxBytes`. It counts as complete only if HTTP marks its end: a body
 * that is truncated or reset, with or without a length, is a connection error. Calls `onBytes` with the size of each
 * part.
 */
export async function readAnswer(
  answer: upstreamClients.UpstreamAnswer,
  maxBytes: number,
  peer: string,
  onBytes: (bytes: number) => void = () => {},
): Promise<AnswerBody> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    while (size <= maxBytes) {
      const part = await readPart(answer);
      if (part === undefined) {
        const bytes = Buffer.concat(parts);
        checkEventsEnd(answer, bytes, false, peer);
        return { bytes, isWhole: true };
      }
      parts.push(part);
      size += part.length;
      onBytes(part.length);
    }
    return { bytes: Buffer.concat(parts), isWhole: false };
  } catch (err) {
    throw upstreamErrors.createUpstreamError(err, 'read-answer', peer);
  }
}

/** What a response body is expected to hold. */
export type AnswerContent = 'bytes' | 'events' | 'more-events';

/**
 * Yields a response body as it arrives; throws if a stream of events ends inside an event, or before the first one. One
 * that goes on after what may have been the last event (`more-events`) may have none, if HTTP marks its end.
 */
export async function* relayAnswer(
  answer: upstreamClients.UpstreamAnswer,
  content: AnswerContent,
  peer: string,
): AsyncGenerator<Buffer> {
  let last = Buffer.alloc(0);
  try {
    for (;;) {
      const part = await readPart(answer);
      if (part === undefined) {
        break;
      }
      last = Buffer.concat([last.subarray(-1), part]).subarray(-2);
      yield part;
    }
  } catch (err) {
    throw upstreamErrors.createUpstreamError(err, 'relay-answer', peer);
  }
  const mayBeEmpty = content === 'more-events' && hasMarkedEnd(answer);
  if (last.length > 0 || !mayBeEmpty) {
    checkEventsEnd(answer, last, content !== 'bytes', peer);
  }
}

/**
 * Throws if a stream of events ended inside an event. A response without a length ends with its connection, and so does
 * one whose upstream exited; events end with an empty line, so a stream that ends elsewhere was truncated. Streams are
 * recognized by their content type, too: a call may have such an answer though its route does not say so.
 */
function checkEventsEnd(
  answer: upstreamClients.UpstreamAnswer,
  bytes: Buffer,
  isStream: boolean,
  peer: string,
): void {
  const type = String(answer.headers['content-type'] ?? '');
  const isBody = bytes.length > 0 && !hasMarkedEnd(answer);
  const isEvents = isStream || (isBody && type.startsWith(EVENTS_TYPE));
  if (isEvents && !bytes.subarray(-2).equals(Buffer.from([LINE_FEED, LINE_FEED]))) {
    throw new upstreamErrors.UpstreamError('lost', 'read-events', peer);
  }
}

/** Waits for the next bytes; returns `undefined` at the end of the body. */
async function readPart(answer: upstreamClients.UpstreamAnswer): Promise<Buffer | undefined> {
  const part = await readNext(answer);
  // The HTTP library treats a reset as the end of a response without a length, so a truncated one would look complete.
  // The reset may belong to another connection to the same upstream; a complete response is then discarded.
  if (part === undefined && !hasMarkedEnd(answer)) {
    // A reset is reported one turn of the event loop after the end.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (answer.wasReset()) {
      throw new Error('a connection to the upstream was reset before the end of the response');
    }
  }
  return part;
}

/**
 * Returns whether HTTP marks the end of a body, by a length or chunks. Otherwise it ends with its connection, as it also
 * does with other codings than the chunked one.
 */
export function hasMarkedEnd({ headers }: upstreamClients.AnswerHead): boolean {
  return paths.isEndMarked(headers);
}

function readNext({ body }: upstreamClients.UpstreamAnswer): Promise<Buffer | undefined> {
  const ready = body.read() as Buffer | null;
  if (ready !== null) {
    return Promise.resolve(ready);
  }
  if (body.readableEnded) {
    return Promise.resolve(undefined);
  }
  return new Promise((resolve, reject) => {
    const settle = (act: () => void) => {
      body.off('readable', onReadable);
      body.off('end', onEnd);
      body.off('error', onError);
      body.off('close', onClose);
      act();
    };
    const onReadable = () => {
      const part = body.read() as Buffer | null;
      if (part !== null) {
        settle(() => resolve(part));
      }
    };
    const onEnd = () => settle(() => resolve(undefined));
    const onError = (err: Error) => settle(() => reject(err));
    const onClose = () => settle(() => reject(new Error('the response was truncated')));
    body.on('readable', onReadable);
    body.once('end', onEnd);
    body.once('error', onError);
    body.once('close', onClose);
    if (body.destroyed) {
      onError(body.errored ?? new Error('the response was truncated'));
    }
  });
}
