const EVENT_END = Buffer.from('\n\n');

/** The line with the identifier of an event. */
const ID_LINE = /^id: ?(.*)$/m;

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
  private pending: Buffer = Buffer.alloc(0);
  private lastId: string | undefined;

  /** Returns the identifier of the last event that was returned by `push`. */
  public getLastId(): string | undefined {
    return this.lastId;
  }

  /** Discards a partial event, because a new connection starts with the complete one. */
  public restart(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Adds bytes and returns the events that are now complete, without those that were returned before. */
  public push(chunk: Buffer): Buffer {
    const all = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const complete: Buffer[] = [];
    let at = 0;
    for (;;) {
      const end = all.indexOf(EVENT_END, at);
      if (end < 0) {
        break;
      }
      const next = end + EVENT_END.length;
      if (this.isNew(all.subarray(at, end))) {
        complete.push(all.subarray(at, next));
      }
      at = next;
    }
    this.pending = all.subarray(at);
    return complete.length === 1 ? complete[0]! : Buffer.concat(complete);
  }

  /** Identifiers increase, so an event with one that does not was delivered before. Events without one always pass. */
  private isNew(event: Buffer): boolean {
    const id = ID_LINE.exec(event.toString('latin1'))?.[1];
    if (id === undefined) {
      return true;
    }
    if (this.lastId !== undefined && Number(id) <= Number(this.lastId)) {
      return false;
    }
    this.lastId = id;
    return true;
  }
}
