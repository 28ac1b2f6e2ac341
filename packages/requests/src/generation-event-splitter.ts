import * as eventBuffers from './event-buffer.js';

const { EVENT_END, MAX_EVENT_BYTES, MAX_EVENT_PARTS } = eventBuffers;
const DONE = Buffer.from('data: [DONE]');
const ERROR = Buffer.from('data: {"error"');
const LINE_FEED = 0x0a;
const ZERO = 0x30;

/** The events that a chunk of an upstream's stream completed. */
export interface SplitEvents {
  /** Complete events in order, without repeats, byte for byte as received. */
  readonly bytes: Buffer[];
  /** The number of events with a new offset. */
  readonly count: number;
  readonly isDone: boolean;
  /** Whether an offset was skipped, or the stream is corrupt: what follows must not be relayed. */
  readonly hasGap: boolean;
  readonly hasError: boolean;
  /** Whether an event, a repeat or a comment was completed: the stream is not silent. */
  readonly isAlive: boolean;
}

/**
 * Splits the byte stream of an upstream into events and returns each offset once and in order. It works on bytes: a
 * chunk may end inside a line or a character, and decoding it there would corrupt the text.
 */
export class GenerationEventSplitter {
  private readonly pending = new eventBuffers.EventBuffer();
  /** Bytes of comments and repeats since the last event. */
  private skippedBytes = 0;
  /** Number of parts that have arrived since the last event. */
  private parts = 0;
  private readonly prefix: Buffer;

  public constructor(
    generation: string,
    private nextOffset: number,
  ) {
    this.prefix = Buffer.from(`id: ${generation}:`);
  }

  /** Returns the next expected offset. */
  public getNextOffset(): number {
    return this.nextOffset;
  }

  /** Discards a partial event, because a new connection starts. */
  public restart(): void {
    this.pending.keep(Buffer.alloc(0));
    this.skippedBytes = 0;
    this.parts = 0;
  }

  /** Adds a part and returns the completed events; stops at the end of the stream, at an error and at a gap. */
  public push(chunk: Buffer): SplitEvents {
    this.parts += 1;
    const all = this.pending.append(chunk) ?? Buffer.alloc(0);
    const bytes: Buffer[] = [];
    const first = this.nextOffset;
    let sliceStart = 0;
    let at = 0;
    let stop: 'done' | 'gap' | 'error' | undefined;
    while (stop === undefined) {
      const end = all.indexOf(EVENT_END, at);
      if (end < 0) {
        break;
      }
      const offset = this.readOffset(all, at, end);
      if (offset !== this.nextOffset) {
        // The output stays one slice as long as no event in between is skipped.
        pushSlice(bytes, all, sliceStart, at);
        sliceStart = end + EVENT_END.length;
        this.skippedBytes += sliceStart - at;
        stop = this.classifyUnexpected(all, at, offset);
      } else {
        this.nextOffset += 1;
        this.skippedBytes = 0;
        this.parts = 0;
      }
      at = end + EVENT_END.length;
    }
    pushSlice(bytes, all, sliceStart, at);
    if (at > 0) {
      this.pending.keep(all.subarray(at));
    }
    const isTooLarge = this.skippedBytes + this.pending.getSize() > MAX_EVENT_BYTES;
    const isCorrupt = isTooLarge || this.parts > MAX_EVENT_PARTS;
    return {
      bytes,
      count: this.nextOffset - first,
      isDone: stop === 'done',
      hasGap: stop === 'gap' || isCorrupt,
      hasError: stop === 'error',
      isAlive: at > 0,
    };
  }

  private classifyUnexpected(all: Buffer, at: number, offset: number | undefined) {
    if (offset !== undefined) {
      return offset > this.nextOffset ? 'gap' : undefined;
    }
    if (isAt(all, at, DONE)) {
      return 'done';
    }
    return isAt(all, at, ERROR) ? 'error' : undefined;
  }

  private readOffset(all: Buffer, at: number, end: number): number | undefined {
    if (!isAt(all, at, this.prefix)) {
      return undefined;
    }
    let offset = 0;
    for (let i = at + this.prefix.length; i < end && all[i] !== LINE_FEED; i += 1) {
      offset = offset * 10 + (all[i]! - ZERO);
    }
    return offset;
  }
}

function pushSlice(slices: Buffer[], all: Buffer, from: number, to: number): void {
  if (to > from) {
    slices.push(all.subarray(from, to));
  }
}

function isAt(all: Buffer, at: number, wanted: Buffer): boolean {
  return (
    all.length >= at + wanted.length &&
    all.compare(wanted, 0, wanted.length, at, at + wanted.length) === 0
  );
}
