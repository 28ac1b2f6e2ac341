/** The bytes that end an event. */
export const EVENT_END = Buffer.from('\n\n');

const LINE_FEED = 0x0a;

/** The largest event, and the most bytes that may come between two events, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * The most parts in which an event may arrive, with what comes between two events. Each costs processor time however small
 * it is, so that an event in chunks of one byte would take as much as thousands of usual ones.
 */
export const MAX_EVENT_PARTS = 65_536;

/**
 * Holds the part of an event that has arrived. Parts are copied into one buffer that grows by doubling: they may be of
 * one byte each, and joining them one by one would take time by the square of their number.
 */
export class EventBuffer {
  private bytes: Buffer = Buffer.alloc(0);
  private length = 0;

  /** Returns the size of the partial event, in bytes. */
  public getSize(): number {
    return this.length;
  }

  /** Adds bytes; once they end an event, returns them with all that was held, and holds nothing. */
  public append(chunk: Buffer): Buffer | undefined {
    const isEndSplit = this.bytes[this.length - 1] === LINE_FEED && chunk[0] === LINE_FEED;
    if (!isEndSplit && chunk.indexOf(EVENT_END) < 0) {
      this.hold(chunk);
      return undefined;
    }
    const all =
      this.length === 0 ? chunk : Buffer.concat([this.bytes.subarray(0, this.length), chunk]);
    this.keep(Buffer.alloc(0));
    return all;
  }

  /** Holds these bytes instead of all others. */
  public keep(rest: Buffer): void {
    this.bytes = rest;
    this.length = rest.length;
  }

  private hold(chunk: Buffer): void {
    const length = this.length + chunk.length;
    if (length > this.bytes.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, 2 * this.bytes.length));
      this.bytes.copy(larger, 0, 0, this.length);
      this.bytes = larger;
    }
    chunk.copy(this.bytes, this.length);
    this.length = length;
  }
}
