import type * as upstreamClients from './upstream-client.js';
import * as upstreamErrors from './upstream-error.js';

/** The byte with which each line of an event stream ends. */
const LINE_END = 0x0a;

/** What is read of an answer: bytes up to a limit, and whether there is more. */
export interface AnswerBody {
  readonly bytes: Buffer;
  readonly isWhole: boolean;
}

/**
 * Reads an answer's body until it ends or passes `mostBytes`. It ends well only where the protocol says that
 * it is whole: a body that is cut or reset, with or without a length, is an error of the connection.
 */
export async function readAnswer(
  answer: upstreamClients.UpstreamAnswer,
  mostBytes: number,
  peer: string,
): Promise<AnswerBody> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    while (size <= mostBytes) {
      const part = await readPart(answer);
      if (part === undefined) {
        return { bytes: Buffer.concat(parts), isWhole: true };
      }
      parts.push(part);
      size += part.length;
    }
    return { bytes: Buffer.concat(parts), isWhole: false };
  } catch (err) {
    throw upstreamErrors.createUpstreamError(err, 'read-answer', peer);
  }
}

/** Yields an answer's body as it comes; a stream of events that ends inside an event is broken. */
export async function* relayAnswer(
  answer: upstreamClients.UpstreamAnswer,
  isStream: boolean,
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
  // An answer without a length ends with its connection, and so does one whose upstream died. Events end with
  // an empty line; a stream that stops elsewhere is known to be cut.
  if (isStream && !last.equals(Buffer.from([LINE_END, LINE_END]))) {
    throw new upstreamErrors.UpstreamError('lost', 'relay-answer', peer);
  }
}

/** Waits for the next bytes, or for the end of the body. */
async function readPart(answer: upstreamClients.UpstreamAnswer): Promise<Buffer | undefined> {
  const part = await readNext(answer);
  // The HTTP library takes a reset for the end of an answer that has no length, and half of it would look whole.
  // The reset may have been that of another connection to the same upstream; then a whole answer is given up.
  if (part === undefined && hasNoLength(answer)) {
    // Whether it was a reset is known one turn of the event loop after the end.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (answer.wasReset()) {
      throw new Error('the answer was reset');
    }
  }
  return part;
}

function hasNoLength({ headers }: upstreamClients.UpstreamAnswer): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
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
    const onClose = () => settle(() => reject(new Error('the answer was cut off')));
    body.on('readable', onReadable);
    body.once('end', onEnd);
    body.once('error', onError);
    body.once('close', onClose);
    if (body.destroyed) {
      onError(body.errored ?? new Error('the answer was cut off'));
    }
  });
}
