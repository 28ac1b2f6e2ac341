import * as eventBuffers from './event-buffer.js';

const { EVENT_END, MAX_EVENT_BYTES, MAX_EVENT_PARTS } = eventBuffers;

/** The line with the identifier of an event. */
const ID_LINE = /^id: ?(.*)$/m;

/** What holds no event: lines of comments only. Each line can match in one way only, so a test takes linear time. */
const COMMENTS = /^:[^\n\r]*(?:\n:[^\n\r]*)*\n?$/;

/** Returns the number of complete events in bytes of a stream. */
export function countSseEvents(bytes: Buffer): number {
  let count = 0;
  let end = bytes.indexOf(EVENT_END);
  while (end >= 0) {
    count += 1;
    end = bytes.indexOf(EVENT_END, end + EVENT_END.length);
  }
  return count;
}

/**
 * Splits a stream of server-sent events so that another connection can continue where one broke off: the caller
 * receives only complete events, and the identifier of the last one marks the position.
 */
export class SseEventSplitter {
  private readonly pending = new eventBuffers.EventBuffer();
  private lastId: string | undefined;
  /** Bytes of comments and repeats since the last event. */
  private skippedBytes = 0;
  /** Number of parts that have arrived since the last event. */
  private parts = 0;

  /** Returns the identifier of the last event that was returned by `push`. */
  public getLastId(): string | undefined {
    return this.lastId;
  }

  /** Returns whether more bytes have come without an event than a sound stream has, or in more parts. */
  public isCorrupt(): boolean {
    const isTooLarge = this.skippedBytes + this.pending.getSize() > MAX_EVENT_BYTES;
    return isTooLarge || this.parts > MAX_EVENT_PARTS;
  }

  /** Discards a partial event, because a new connection starts with the complete one. */
  public restart(): void {
    this.pending.keep(Buffer.alloc(0));
    this.skippedBytes = 0;
    this.parts = 0;
  }

  /**
   * Adds bytes, which may have arrived in several parts, and returns the events that are now complete, without those that
   * were returned before.
   */
  public push(chunk: Buffer, parts = 1): Buffer {
    this.parts += parts;
    const all = this.pending.append(chunk);
    if (all === undefined) {
      return Buffer.alloc(0);
    }
    const complete: Buffer[] = [];
    let at = 0;
    for (;;) {
      const end = all.indexOf(EVENT_END, at);
      if (end < 0) {
        break;
      }
      const next = end + EVENT_END.length;
      if (this.isPassed(all.subarray(at, end))) {
        complete.push(all.subarray(at, next));
      }
      at = next;
    }
    this.pending.keep(all.subarray(at));
    return complete.length === 1 ? complete[0]! : Buffer.concat(complete);
  }

  /** Identifiers increase, so an event with one that does not was delivered before. Whatever has none always passes. */
  private isPassed(bytes: Buffer): boolean {
    const text = bytes.toString('latin1');
    const id = ID_LINE.exec(text)?.[1];
    const isRepeat =
      id !== undefined && this.lastId !== undefined && Number(id) <= Number(this.lastId);
    if (isRepeat || COMMENTS.test(text)) {
      this.skippedBytes += bytes.length + EVENT_END.length;
      return !isRepeat;
    }
    this.skippedBytes = 0;
    this.parts = 0;
    this.lastId = id ?? this.lastId;
    return true;
  }
}
