import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';

/** An answer that was read whole, or one whose body is still coming. */
export type RoutedAnswer = WholeAnswer | ComingAnswer;

/** An answer that was read whole. */
export interface WholeAnswer {
  readonly kind: 'whole';
  readonly head: requests.AnswerHead;
  readonly bytes: Buffer;
}

/** An answer whose body is still coming. */
export interface ComingAnswer {
  readonly kind: 'coming';
  readonly answer: requests.UpstreamAnswer;
  readonly upstreamId: string;
  /** What was read of the body already. */
  readonly bytes: Buffer;
  /** To be called when the body has ended, with whether the upstream broke off. */
  readonly release: (hasFailed: boolean) => void;
  /** Goes on behind an event where the upstream broke off; nothing when that can't be done. */
  readonly resume: (lastEventId: string | undefined) => Promise<ComingAnswer | undefined>;
}

/** Statuses whose answers have no body, and no length either. */
const BODILESS = new Set([204, 304]);

/** Hands an answer to the caller; resolves when all of it is handed over, rejects when the upstream broke off. */
export async function deliverAnswer(
  res: http.ServerResponse,
  routed: RoutedAnswer,
  isStream: boolean,
): Promise<void> {
  if (routed.kind === 'whole') {
    const { head, bytes } = routed;
    const length = BODILESS.has(head.status) ? {} : { 'content-length': bytes.length };
    res.writeHead(head.status, { ...requests.pickEndToEnd(head.headers), ...length });
    res.end(bytes);
    return;
  }
  const { headers, status } = routed.answer;
  const length = headers['content-length'];
  res.writeHead(status, {
    ...requests.pickEndToEnd(headers),
    ...(length === undefined ? {} : { 'content-length': length }),
  });
  try {
    await (isStream ? relayEvents(res, routed) : relayBytes(res, routed));
    res.end();
  } catch (err) {
    // An answer that ends early must not look complete, so the connection ends without its last chunk.
    res.destroy();
    throw err;
  }
}

async function relayBytes(res: http.ServerResponse, coming: ComingAnswer): Promise<void> {
  await write(res, coming.bytes);
  await relayLeg(coming, false, (bytes) => write(res, bytes));
}

/** Passes whole events on; where one upstream breaks off, another goes on behind the last event. */
async function relayEvents(res: http.ServerResponse, first: ComingAnswer): Promise<void> {
  const cutter = new requests.EventCutter();
  let coming = first;
  for (;;) {
    try {
      await relayLeg(coming, true, (bytes) => write(res, cutter.push(bytes)));
      return;
    } catch (err) {
      const next = res.destroyed ? undefined : await coming.resume(cutter.getLastId());
      if (next === undefined) {
        throw err;
      }
      cutter.restart();
      coming = next;
    }
  }
}

async function relayLeg(
  { answer, release, upstreamId }: ComingAnswer,
  isStream: boolean,
  pass: (bytes: Buffer) => Promise<void>,
): Promise<void> {
  let hasFailed = true;
  try {
    for await (const part of requests.relayAnswer(answer, isStream, upstreamId)) {
      await pass(part);
    }
    hasFailed = false;
  } finally {
    answer.body.destroy();
    release(hasFailed);
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
