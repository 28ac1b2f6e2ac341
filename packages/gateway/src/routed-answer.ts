import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';

import type * as streamPaceMeters from './stream-pace-meter.js';
import * as unknownEndErrors from './unknown-end-error.js';

/** Answer of an upstream: buffered, or streamed while its body arrives. */
export type RoutedAnswer = BufferedAnswer | StreamedAnswer;

/** Answer whose body was read completely. */
export interface BufferedAnswer {
  readonly kind: 'whole';
  readonly head: requests.AnswerHead;
  readonly bytes: Buffer;
}

/** Answer whose body is still arriving. */
export interface StreamedAnswer {
  readonly kind: 'coming';
  readonly answer: requests.UpstreamAnswer;
  readonly upstreamId: string;
  /** Bytes of the body read so far. */
  readonly bytes: Buffer;
  /** Measures the pace of the engine; `undefined` if it is not reported. */
  readonly paceMeter: streamPaceMeters.StreamPaceMeter | undefined;
  /** Records how many events have arrived together; called if the caller did not have the last of them yet. */
  readonly recordEvents: (count: number) => void;
  /** Releases the load accounted for the run; called when the body has ended, with whether the upstream broke off. */
  readonly release: (hasFailed: boolean) => void;
  /** Rejects if the body has ended because this host has stopped the run, or may have. */
  readonly confirmEnd: () => Promise<void>;
  /** Returns whether there is a KV-cache copy from which the generation could be resumed. */
  readonly canResume: () => boolean;
  /** Records that the stream is ended since its engine has been silent; the engine may go on with the run. */
  readonly recordSilence: () => void;
  /** Resumes after an event where the upstream broke off; `undefined` if that is not possible. */
  readonly resume: (lastEventId: string | undefined) => Promise<StreamedAnswer | undefined>;
}

/**
 * Time for which a stream that can be resumed elsewhere may be silent, in milliseconds. Its engine may be behind a
 * partition or have failed without closing the connection, and callers give up after 7 s. A stream whose generation was
 * only preempted continues sooner.
 */
const SILENCE_TIMEOUT_MS = 1_500;

/** Statuses whose answers have neither a body nor a content length. */
const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Sends an answer to the caller and calls `noteEvents` each time that events are sent. Resolves when the answer is
 * complete, rejects when the upstream broke off.
 */
export async function deliverAnswer(
  res: http.ServerResponse,
  routed: RoutedAnswer,
  isStream: boolean,
  noteEvents: () => void,
): Promise<void> {
  if (routed.kind === 'whole') {
    const { head, bytes } = routed;
    const length = BODILESS_STATUSES.has(head.status) ? {} : { 'content-length': bytes.length };
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
    requests.breakOff(res);
    throw err;
  }
}

async function relayBytes(res: http.ServerResponse, streamed: StreamedAnswer): Promise<void> {
  await write(res, streamed.bytes);
  await relayBody(streamed, 'bytes', async (bytes) => {
    await write(res, bytes);
    return true;
  });
}

/** Relays complete events; where one upstream breaks off, another one resumes after the last event. */
async function relayEvents(
  res: http.ServerResponse,
  first: StreamedAnswer,
  noteEvents: () => void,
): Promise<void> {
  const splitter = new requests.SseEventSplitter();
  let streamed = first;
  let content: requests.AnswerContent = 'events';
  for (;;) {
    const { answer, paceMeter, recordEvents, upstreamId } = streamed;
    let parts = 0;
    try {
      await relayBody(streamed, content, async (bytes) => {
        const formerId = splitter.getLastId();
        const partsBefore = parts;
        parts = answer.countParts?.() ?? parts + 1;
        const events = splitter.push(bytes, parts - partsBefore);
        if (events.length > 0) {
          noteEvents();
        }
        const count = requests.countSseEvents(events);
        // A comment, or an event that was sent before, shows nothing about this run.
        if (splitter.getLastId() !== formerId) {
          recordEvents(count);
        }
        paceMeter?.recordEvents(count);
        const written = write(res, events);
        if (res.writableNeedDrain) {
          paceMeter?.end();
        }
        await written;
        if (splitter.isCorrupt()) {
          throw new requests.UpstreamError('lost', 'read-events', upstreamId);
        }
        return events.length > 0;
      });
      return;
    } catch (err) {
      // Only a run that may have been over can go on without events.
      const isMaybeOver = err instanceof unknownEndErrors.UnknownEndError;
      content = isMaybeOver && splitter.getLastId() !== undefined ? 'more-events' : 'events';
      const resumed = res.destroyed ? undefined : await streamed.resume(splitter.getLastId());
      if (resumed === undefined) {
        throw err;
      }
      splitter.restart();
      streamed = resumed;
    }
  }
}

/** Relays a body; `send` returns whether its bytes have completed an event. */
async function relayBody(
  streamed: StreamedAnswer,
  content: requests.AnswerContent,
  send: (bytes: Buffer) => Promise<boolean>,
): Promise<void> {
  const { answer, confirmEnd, release, upstreamId } = streamed;
  let hasFailed = true;
  let isSending = false;
  let timer: requests.SilenceTimer | undefined;
  const checkSilence = () => {
    // A caller that reads slowly is no silence of the upstream.
    if (!isSending) {
      answer.recordStopped();
      endSilentStream(streamed);
    }
  };
  try {
    for await (const part of requests.relayAnswer(answer, content, upstreamId)) {
      isSending = true;
      const isAlive = await send(part);
      isSending = false;
      // Bytes that never complete an event are silence, too.
      if (content !== 'bytes' && timer === undefined) {
        timer = new requests.SilenceTimer(SILENCE_TIMEOUT_MS, checkSilence);
      } else if (isAlive) {
        timer?.recordHeard();
      }
    }
    timer?.end();
    await confirmEnd();
    hasFailed = false;
  } finally {
    timer?.end();
    answer.body.destroy();
    release(hasFailed);
  }
}

/** Ends a silent stream if it can be resumed elsewhere; otherwise its engine may still send more events. */
function endSilentStream({ answer, canResume, recordSilence }: StreamedAnswer): void {
  if (canResume()) {
    recordSilence();
    answer.body.destroy(new Error('no events within the silence timeout'));
  }
}

/** Writes, and waits for the caller to drain its buffer; a closed connection ends the wait. */
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
