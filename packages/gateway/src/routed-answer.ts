import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';

/** An answer that was read whole, or one whose body is still coming. */
export type RoutedAnswer = BufferedAnswer | StreamedAnswer;

/** An answer that was read whole. */
export interface BufferedAnswer {
  readonly kind: 'whole';
  readonly head: requests.AnswerHead;
  readonly bytes: Buffer;
}

/** An answer whose body is still coming. */
export interface StreamedAnswer {
  readonly kind: 'coming';
  readonly answer: requests.UpstreamAnswer;
  readonly upstreamId: string;
  /** What was read of the body already. */
  readonly bytes: Buffer;
  /** To be called when the body has ended, with whether the upstream broke off. */
  readonly release: (hasFailed: boolean) => void;
  /** Whether there is a copy from which it could go on. */
  readonly canResume: () => boolean;
  /** Goes on behind an event where the upstream broke off; nothing when that can't be done. */
  readonly resume: (lastEventId: string | undefined) => Promise<StreamedAnswer | undefined>;
}

/**
 * How long a stream that could go on elsewhere may be silent, in milliseconds. Its engine may be behind a partition
 * or dead without a word; callers give up after 7 s. A stream that is only preempted is back in less.
 */
const SILENCE_MS = 1_500;

/** Statuses whose answers have no body, and no length either. */
const BODILESS = new Set([204, 304]);

/** Hands an answer to the caller, noting each time when events are passed on; resolves when all of it is handed over, rejects when the upstream broke off. */
export async function deliverAnswer(
  res: http.ServerResponse,
  routed: RoutedAnswer,
  isStream: boolean,
  noteEvents: () => void,
): Promise<void> {
  if (routed.kind === 'whole') {
    const { head, bytes } = routed;
    const length = BODILESS.has(head.status) ? {} : { 'content-length': bytes.length };
    res.writeHead(head.status, { ...requests.pickEndToEndHeaders(head.headers), ...length });
    res.end(bytes);
    return;
  }
  const { headers, status } = routed.answer;
  const length = headers['content-length'];
  res.writeHead(status, {
    ...requests.pickEndToEndHeaders(headers),
    ...(length === undefined ? {} : { 'content-length': length }),
  });
  try {
    await (isStream ? relayEvents(res, routed, noteEvents) : relayBytes(res, routed));
    res.end();
  } catch (err) {
    // An answer that ends early must not look complete, so the connection ends without its last chunk.
    res.destroy();
    throw err;
  }
}

async function relayBytes(res: http.ServerResponse, coming: StreamedAnswer): Promise<void> {
  await write(res, coming.bytes);
  await relayLeg(coming, false, (bytes) => write(res, bytes));
}

/** Passes whole events on; where one upstream breaks off, another goes on behind the last event. */
async function relayEvents(
  res: http.ServerResponse,
  first: StreamedAnswer,
  noteEvents: () => void,
): Promise<void> {
  const cutter = new requests.SseEventSplitter();
  let coming = first;
  for (;;) {
    try {
      await relayLeg(coming, true, (bytes) => {
        const events = cutter.push(bytes);
        if (events.length > 0) {
          noteEvents();
        }
        return write(res, events);
      });
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
  coming: StreamedAnswer,
  isStream: boolean,
  pass: (bytes: Buffer) => Promise<void>,
): Promise<void> {
  const { answer, release, upstreamId } = coming;
  let hasFailed = true;
  let timer: NodeJS.Timeout | undefined;
  try {
    for await (const part of requests.relayAnswer(answer, isStream, upstreamId)) {
      clearTimeout(timer);
      await pass(part);
      timer = isStream ? setTimeout(() => endSilent(coming), SILENCE_MS) : undefined;
    }
    hasFailed = false;
  } finally {
    clearTimeout(timer);
    answer.body.destroy();
    release(hasFailed);
  }
}

/** Ends a stream that has fallen silent, if it can go on elsewhere; otherwise its engine may yet speak. */
function endSilent({ answer, canResume }: StreamedAnswer): void {
  if (canResume()) {
    answer.body.destroy(new Error('the stream fell silent'));
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
