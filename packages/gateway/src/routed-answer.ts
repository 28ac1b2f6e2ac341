import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';

/** An answer that was read whole, or one whose body is still coming. */
export type RoutedAnswer =
  | { readonly kind: 'whole'; readonly head: requests.AnswerHead; readonly bytes: Buffer }
  | {
      readonly kind: 'coming';
      readonly answer: requests.UpstreamAnswer;
      /** What was read of the body already. */
      readonly bytes: Buffer;
      /** To be called when the body has ended, either way. */
      readonly release: () => void;
    };

/** Statuses whose answers have no body, and no length either. */
const BODILESS = new Set([204, 304]);

/** Hands an answer to the caller; resolves when all of it is handed over, rejects when the upstream broke off. */
export async function deliverAnswer(
  res: http.ServerResponse,
  routed: RoutedAnswer,
  isStream: boolean,
  peer: string,
): Promise<void> {
  if (routed.kind === 'whole') {
    const { head, bytes } = routed;
    const length = BODILESS.has(head.status) ? {} : { 'content-length': bytes.length };
    res.writeHead(head.status, { ...requests.pickEndToEnd(head.headers), ...length });
    res.end(bytes);
    return;
  }
  try {
    await relay(res, routed.answer, routed.bytes, isStream, peer);
  } finally {
    routed.release();
  }
}

async function relay(
  res: http.ServerResponse,
  answer: requests.UpstreamAnswer,
  first: Buffer,
  isStream: boolean,
  peer: string,
): Promise<void> {
  const length = answer.headers['content-length'];
  res.writeHead(answer.status, {
    ...requests.pickEndToEnd(answer.headers),
    ...(length === undefined ? {} : { 'content-length': length }),
  });
  try {
    await write(res, first);
    for await (const part of requests.relayAnswer(answer, isStream, peer)) {
      await write(res, part);
    }
    res.end();
  } catch (err) {
    // An answer that ends early must not look complete, so the connection ends without its last chunk.
    res.destroy();
    throw err;
  } finally {
    answer.body.destroy();
  }
}

/** Writes, and waits while the caller is slow to read; a caller that left ends the wait. */
async function write(res: http.ServerResponse, bytes: Buffer): Promise<void> {
  if (bytes.length === 0 || res.destroyed || res.write(bytes)) {
    return;
  }
  await new Promise<void>((resolve) => {
    const settle = () => {
      res.off('drain', settle);
      res.off('close', settle);
      resolve();
    };
    res.once('drain', settle);
    res.once('close', settle);
  });
}
