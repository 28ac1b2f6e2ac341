import type * as stream from 'node:stream';

import type * as paths from '@bramleyridge/paths';
import type * as schemas from '@bramleyridge/schemas';

import * as chunkReaders from './chunk-reader.js';
import type * as engineClients from './engine-client.js';
import * as generationEventSplitters from './generation-event-splitter.js';
import * as silenceTimers from './silence-timer.js';
import * as upstreamErrors from './upstream-error.js';

/** A connection error after this many consecutive failures without a new event ends the generation as incomplete. */
const MAX_CONSECUTIVE_FAILURES = 6;

/** The pause before the first reconnection, in milliseconds; doubled with each consecutive failure. */
const INITIAL_BACKOFF_MS = 50;

/** The result of a relayed stream. */
export interface RelayEnd {
  readonly outcome: schemas.Outcome;
  /** The offset after the last delivered event, counted from the start of the generation. */
  readonly next: number;
  readonly err?: upstreamErrors.UpstreamError;
}

/** The dependencies and parameters of a relay. */
export interface RelayOptions {
  readonly engines: engineClients.EngineClient;
  readonly upstream: schemas.Upstream;
  readonly generation: string;
  /** The offset of the first event to deliver. */
  readonly from: number;
  /** The longest time between two chunks before the connection is replaced, in milliseconds. */
  readonly silenceMs: number;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Places in which its bytes may be processed on their way; any by default. */
  readonly place?: paths.PlaceRule | undefined;
  /** Called with the next offset when new events have arrived, for capacity accounting. */
  readonly onProgress: (next: number) => void;
  /** Called when the first connection to the engine broke, before the generation is resumed on another one. */
  readonly onLost?: () => void;
}

/**
 * Relays one generation: every event once, in order. A connection that ends early, stalls or skips an offset is
 * replaced, and the same generation is resumed at the next offset. Events of another generation are never appended;
 * if the engine no longer has this one, the result is `incomplete` with the offset that was reached.
 */
export async function* relayGeneration(
  options: RelayOptions,
  started: stream.Readable | undefined,
): AsyncGenerator<Buffer, RelayEnd> {
  const splitter = new generationEventSplitters.GenerationEventSplitter(
    options.generation,
    options.from,
  );
  let body = started;
  let failures = 0;
  let wasLost = false;
  for (;;) {
    const previousOffset = splitter.getNextOffset();
    try {
      body ??= await resume(options, splitter);
      const end = yield* relayConnection(options, splitter, body);
      if (end !== undefined) {
        return end;
      }
      throw new upstreamErrors.UpstreamError('lost', 'relay', options.upstream.upstreamId);
    } catch (err) {
      const failure = upstreamErrors.createUpstreamError(err, 'relay', options.upstream.upstreamId);
      failures = splitter.getNextOffset() > previousOffset ? 1 : failures + 1;
      const isOver = failure.kind === 'gone' || failures > MAX_CONSECUTIVE_FAILURES;
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
    if (!wasLost) {
      wasLost = true;
      options.onLost?.();
    }
    body?.destroy();
    body = undefined;
    await options.clock.sleep(INITIAL_BACKOFF_MS * 2 ** (failures - 1));
  }
}

function resume(
  options: RelayOptions,
  splitter: generationEventSplitters.GenerationEventSplitter,
): Promise<stream.Readable> {
  splitter.restart();
  const { engines, generation, place, upstream } = options;
  return engines.resume(upstream, generation, splitter.getNextOffset(), place);
}

async function* relayConnection(
  options: RelayOptions,
  splitter: generationEventSplitters.GenerationEventSplitter,
  body: stream.Readable,
): AsyncGenerator<Buffer, RelayEnd | undefined> {
  // A middlebox may drop the connection silently while new ones work. Engines send a comment at least every second,
  // so a longer silence than the limit means that this connection is dead.
  // Bytes that never complete an event are silence, too. A caller that reads slowly is none.
  let isDelivering = false;
  const watchdog = new silenceTimers.SilenceTimer(options.silenceMs, () => {
    if (!isDelivering) {
      const { engines, upstream } = options;
      engines.recordStopped(upstream);
      body.destroy(new upstreamErrors.UpstreamError('lost', 'silence', upstream.upstreamId));
    }
  });
  const chunks = new chunkReaders.ChunkReader(body);
  try {
    for (;;) {
      const chunk = await chunks.next();
      if (chunk === undefined) {
        return undefined;
      }
      const events = splitter.push(chunk);
      if (events.count > 0) {
        options.onProgress(splitter.getNextOffset());
      }
      isDelivering = true;
      for (const bytes of events.bytes) {
        yield bytes;
      }
      isDelivering = false;
      if (events.isAlive) {
        watchdog.recordHeard();
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
    watchdog.end();
    body.destroy();
  }
}
