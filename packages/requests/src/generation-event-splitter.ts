const EVENT_END = Buffer.from('\n\n');
const DONE = Buffer.from('data: [DONE]');
const ERROR = Buffer.from('data: {"error"');
const LINE_FEED = 0x0a;
const ZERO = 0x30;

/** The largest event that is waited for, in bytes; a longer one means that the stream is damaged. */
const MAX_EVENT_BYTES = 1_048_576;

/** What some bytes of an upstream's stream brought. */
export interface SplitEvents {
  /** Whole events in order, without repeats, as they came. */
  readonly bytes: Buffer[];
  /** How many events with an offset these are. */
  readonly count: number;
  readonly isDone: boolean;
  /** Whether an offset was skipped: what follows must not be passed on. */
  readonly hasGap: boolean;
  readonly hasError: boolean;
}

/**
 * Cuts the byte stream of an upstream into events and lets each offset pass once and in order. It works on
 * bytes: a chunk may end inside a line or inside a character, and decoding there would damage the text.
 */
export class GenerationEventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private readonly prefix: Buffer;

  public constructor(
    generation: string,
    private next: number,
  ) {
    this.prefix = Buffer.from(`id: ${generation}:`);
  }

  /** The offset that is expected next. */
  public getNextOffset(): number {
    return this.next;
  }

  /** Forgets a partial event, because a new connection begins. */
  public restart(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Adds bytes; stops at the end of the stream, at an error and at a gap. */
  public push(chunk: Buffer): SplitEvents {
    const all = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const bytes: Buffer[] = [];
    const first = this.next;
    let runStart = 0;
    let at = 0;
    let stop: 'done' | 'gap' | 'error' | undefined;
    while (stop === undefined) {
      const end = all.indexOf(EVENT_END, at);
      if (end < 0) {
        break;
      }
      const offset = this.readOffset(all, at, end);
      if (offset !== this.next) {
        // What is passed on stays one slice as long as nothing in between is left out.
        pushSlice(bytes, all, runStart, at);
        runStart = end + EVENT_END.length;
        stop = this.judge(all, at, offset);
      } else {
        this.next += 1;
      }
      at = end + EVENT_END.length;
    }
    pushSlice(bytes, all, runStart, at);
    this.pending = all.subarray(at);
    const isDamaged = this.pending.length > MAX_EVENT_BYTES;
    return {
      bytes,
      count: this.next - first,
      isDone: stop === 'done',
      hasGap: stop === 'gap' || isDamaged,
      hasError: stop === 'error',
    };
  }

  private judge(all: Buffer, at: number, offset: number | undefined) {
    if (offset !== undefined) {
      return offset > this.next ? 'gap' : undefined;
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
