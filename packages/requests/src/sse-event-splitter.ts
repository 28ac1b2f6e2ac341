const EVENT_END = Buffer.from('\n\n');

/** The line of an event that names it. */
const ID_LINE = /^id: ?(.*)$/m;

/**
 * Cuts a stream of events at their ends, so that another connection can go on where this one broke off: what the
 * caller has is always a whole number of events, and the last one's identifier says how far that is.
 */
export class SseEventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private lastId: string | undefined;

  /** The identifier of the last event that was passed on. */
  public getLastId(): string | undefined {
    return this.lastId;
  }

  /** Forgets a partial event, because another connection begins with the whole of it. */
  public restart(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Adds bytes and gives the events that are now whole, without those that were passed on before. */
  public push(chunk: Buffer): Buffer {
    const all = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const whole: Buffer[] = [];
    let at = 0;
    for (;;) {
      const end = all.indexOf(EVENT_END, at);
      if (end < 0) {
        break;
      }
      const next = end + EVENT_END.length;
      if (this.isNew(all.subarray(at, end))) {
        whole.push(all.subarray(at, next));
      }
      at = next;
    }
    this.pending = all.subarray(at);
    return whole.length === 1 ? whole[0]! : Buffer.concat(whole);
  }

  /** Identifiers only grow; one that does not is an event that the caller has already. */
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
