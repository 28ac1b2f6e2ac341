import type * as undici from 'undici';

/** The names and values of headers in turns, as the HTTP client reads them. */
export type RawHeaders = readonly (Buffer | string)[];

/** Statuses of final answers, from the lowest to the highest, and of those that announce one. */
const FIRST_STATUS = 200;
const LAST_STATUS = 599;
const FIRST_INFORMATIONAL_STATUS = 100;

/** Status that leaves HTTP on a connection; no request of this system asks for it. */
const SWITCHING_STATUS = 101;

const TAB = 0x09;
const SPACE = 0x20;
const DELETE = 0x7f;
const DIGITS_ONLY = /^\d+$/;

/** Marks, beside letters and digits, of which names consist (RFC 9110, section 5.6.2). */
const NAME_MARKS = "!#$%&'*+-.^_`|~";
const LENGTH_NAME = 'content-length';
const CODING_NAME = 'transfer-encoding';

/** The codings of a body that this system reads: parts in chunks, or none, up to the end of the connection. */
const READ_CODINGS = new Set(['chunked', 'identity']);

/** By byte, whether names may hold it, and whether values may. */
const NAME_BYTES = Array.from(
  { length: 256 },
  (_, byte) => /[\da-z]/i.test(String.fromCharCode(byte)) || isNameMark(byte),
);
const VALUE_BYTES = Array.from(
  { length: 256 },
  (_, byte) => byte === TAB || (byte >= SPACE && byte !== DELETE),
);

/** The failure of a call whose answer has a head or trailers that HTTP does not allow. */
export class WrongHeadError extends Error {
  public override readonly name = 'WrongHeadError';
}

/**
 * Throws if HTTP does not allow the head of an answer. Parsers differ in what they pass on: a wrong line may be one whose
 * meaning the upstream and this host see differently, such as where the body ends.
 */
export function checkHead(status: number, headers: RawHeaders): void {
  const isFinal = status >= FIRST_STATUS && status <= LAST_STATUS;
  const isInformational = status >= FIRST_INFORMATIONAL_STATUS && status < FIRST_STATUS;
  if (!Number.isInteger(status) || (!isFinal && !isInformational) || status === SWITCHING_STATUS) {
    throw new WrongHeadError(`an answer with status ${status}`);
  }
  checkHeaders(headers);
  checkFraming(headers);
}

/** Throws if HTTP does not allow the names or values of headers, or of trailers. */
export function checkHeaders(headers: RawHeaders): void {
  if (headers.length % 2 !== 0) {
    throw new WrongHeadError('a header without a value');
  }
  for (let i = 0; i < headers.length; i += 2) {
    const name = toBytes(headers[i]!);
    if (name.length === 0) {
      throw new WrongHeadError('a header without a name');
    }
    checkBytes(name, NAME_BYTES, 'the name');
    checkBytes(toBytes(headers[i + 1]!), VALUE_BYTES, 'the value');
  }
}

/**
 * Returns a handler that checks the heads and trailers of answers before it passes them on. The HTTP client closes the
 * connection of a call whose head it can't handle; after the body only `close` does.
 */
export function checkAnswer(
  handler: undici.Dispatcher.DispatchHandler,
  close: () => void,
): undici.Dispatcher.DispatchHandler {
  const { onComplete, onHeaders } = handler;
  return Object.assign(handler, {
    onHeaders: (...head: HeadParameters) => {
      const [status, headers] = head;
      checkHead(status, headers);
      return onHeaders?.call(handler, ...head) ?? true;
    },
    onComplete: (trailers: string[] | null) => {
      try {
        checkHeaders(trailers ?? []);
      } catch (err) {
        close();
        throw err;
      }
      onComplete?.call(handler, trailers);
    },
  });
}

/** Throws if two headers state differently where a body ends, or if a coding would stay on the body. */
function checkFraming(headers: RawHeaders): void {
  const codings = listValues(headers, CODING_NAME);
  const isRead = READ_CODINGS.has(codings.join(',').trim().toLowerCase());
  if (codings.length > 0 && !isRead) {
    throw new WrongHeadError('an answer in a transfer coding that is not known');
  }
  const lengths = listValues(headers, LENGTH_NAME);
  const [length] = lengths;
  if (length === undefined) {
    return;
  }
  if (lengths.length > 1 || !DIGITS_ONLY.test(length.trim())) {
    throw new WrongHeadError('an answer without one length');
  }
  if (codings.length > 0) {
    throw new WrongHeadError('an answer with a length and a transfer coding');
  }
}

function listValues(headers: RawHeaders, searched: string): string[] {
  return headers
    .filter((_, i) => i % 2 === 1 && isNamed(headers[i - 1]!, searched))
    .map((value) => value.toString('latin1'));
}

function isNamed(name: Buffer | string, searched: string): boolean {
  return name.length === searched.length && name.toString('latin1').toLowerCase() === searched;
}

function checkBytes(bytes: Buffer, allowed: readonly boolean[], part: string): void {
  for (let i = 0; i < bytes.length; i += 1) {
    if (allowed[bytes[i]!] !== true) {
      throw new WrongHeadError(`${part} of a header with byte 0x${bytes[i]!.toString(16)}`);
    }
  }
}

function isNameMark(byte: number): boolean {
  return NAME_MARKS.includes(String.fromCharCode(byte));
}

function toBytes(text: Buffer | string): Buffer {
  return typeof text === 'string' ? Buffer.from(text, 'latin1') : text;
}

/** The parameters of a head. */
type HeadParameters = Parameters<NonNullable<undici.Dispatcher.DispatchHandler['onHeaders']>>;
