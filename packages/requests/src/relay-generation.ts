import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

import * as chunkReaders from './chunk-reader.js';
import type * as engineClients from './engine-client.js';
import * as splitters from './generation-event-splitter.js';
import * as upstreamErrors from './upstream-error.js';

/** How often a lost connection is made anew before the engine is given up. */
const MAX_RESUMES_IN_A_ROW = 6;

/** The pause before a connection is made anew, doubled each time, in milliseconds. */
const FIRST_PAUSE_MS = 50;

/** How a relayed stream ended. */
export interface RelayEnd {
  readonly outcome: schemas.Outcome;
  /** Events delivered in all, from the first offset of the generation on. */
  readonly next: number;
  readonly err?: upstreamErrors.UpstreamError;
}

/** What the relay needs. */
export interface RelayOptions {
  readonly engines: engineClients.EngineClient;
  readonly upstream: schemas.Upstream;
  readonly generation: string;
  readonly from: number;
  readonly silenceMs: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Told how many events have passed, for the account of room. */
  readonly onProgress: (next: number) => void;
}

/**
 * Passes one generation on: every event once, in order. A connection that ends early, falls silent or skips
 * an offset is replaced, and the same generation goes on at the next offset. Nothing of another generation
 * is ever put behind what was delivered; if this one is gone, the end says so and how far it came.
 */
export async function* relayGeneration(
  options: RelayOptions,
  started: stream.Readable | undefined,
): AsyncGenerator<Buffer, RelayEnd> {
  const splitter = new splitters.GenerationEventSplitter(options.generation, options.from);
  let body = started;
  let failures = 0;
  for (;;) {
    const before = splitter.getNextOffset();
    try {
      body ??= await resume(options, splitter);
      const end = yield* passOn(options, splitter, body);
      if (end !== undefined) {
        return end;
      }
    } catch (err) {
      const failure = upstreamErrors.createUpstreamError(err, 'relay', options.upstream.upstreamId);
      const isOver = failure.kind === 'gone' || failures >= MAX_RESUMES_IN_A_ROW;
      if (isOver) {
        return { outcome: 'incomplete', next: splitter.getNextOffset(), err: failure };
      }
      options.log.warn({
        decision: 'resume',
        request: options.generation,
        upstream: options.upstream.upstreamId,
        offset: splitter.getNextOffset(),
        reason: failure.message,
      });
    }
    body?.destroy();
    body = undefined;
    failures = splitter.getNextOffset() > before ? 1 : failures + 1;
    await options.clock.sleep(FIRST_PAUSE_MS * 2 ** (failures - 1));
  }
}

function resume(
  options: RelayOptions,
  splitter: splitters.GenerationEventSplitter,
): Promise<stream.Readable> {
  splitter.restart();
  const { engines, generation, upstream } = options;
  return engines.resume(upstream, generation, splitter.getNextOffset());
}

async function* passOn(
  options: RelayOptions,
  splitter: splitters.GenerationEventSplitter,
  body: stream.Readable,
): AsyncGenerator<Buffer, RelayEnd | undefined> {
  // The connection may be forgotten by something in between while new ones work. Engines send a comment
  // at least every second, so silence beyond the limit means that this connection is dead.
  const watchdog = setTimeout(
    () =>
      body.destroy(
        new upstreamErrors.UpstreamError('lost', 'silence', options.upstream.upstreamId),
      ),
    options.silenceMs,
  );
  const chunks = new chunkReaders.ChunkReader(body);
  try {
    for (;;) {
      const chunk = await chunks.next();
      if (chunk === undefined) {
        return undefined;
      }
      watchdog.refresh();
      const events = splitter.push(chunk);
      if (events.count > 0) {
        options.onProgress(splitter.getNextOffset());
      }
      for (const bytes of events.bytes) {
        yield bytes;
      }
      if (events.isDone) {
        return { outcome: 'complete', next: splitter.getNextOffset() };
      }
      if (events.hasError) {
        return { outcome: 'incomplete', next: splitter.getNextOffset() };
      }
      if (events.hasGap) {
        return undefined;
      }
    }
  } finally {
    clearTimeout(watchdog);
    body.destroy();
  }
}
