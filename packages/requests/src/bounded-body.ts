import type * as stream from 'node:stream';

/** A body that is longer than its reader takes. */
export class BodyTooLongError extends Error {
  public override readonly name = 'BodyTooLongError';

  public constructor(maxBytes: number) {
    super(`the body is longer than ${maxBytes} bytes`);
  }
}

/** Reads a whole body; closes its connection and throws `BodyTooLongError` beyond `maxBytes`. */
export async function readBoundedBody(body: stream.Readable, maxBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of body as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maxBytes) {
      throw new BodyTooLongError(maxBytes);
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Reads a whole body as JSON; throws like `readBoundedBody`, and a `SyntaxError` for other text. */
export async function readBoundedJson(body: stream.Readable, maxBytes: number): Promise<unknown> {
  return JSON.parse((await readBoundedBody(body, maxBytes)).toString('utf8')) as unknown;
}
