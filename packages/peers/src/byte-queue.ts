/** Size of the lengths that precede messages, in bytes. */
const LENGTH_BYTES = 4;

/**
 * Received bytes that are read message by message. They are joined only when a message is complete: joined part by part,
 * a message in many small parts would take time by the square of their number.
 */
export class ByteQueue {
  private parts: Buffer[] = [];
  private size = 0;

  /** The number of bytes that are queued. */
  public get length(): number {
    return this.size;
  }

  /** Adds received bytes. */
  public push(bytes: Buffer): void {
    if (bytes.length > 0) {
      this.parts.push(bytes);
      this.size += bytes.length;
    }
  }

  /** Reads the length at the front, which stays; `undefined` if it has not arrived. */
  public peekLength(): number | undefined {
    if (this.size < LENGTH_BYTES) {
      return undefined;
    }
    const first = this.parts[0]!;
    return (first.length >= LENGTH_BYTES ? first : this.join()).readUInt32BE(0);
  }

  /** Removes bytes from the front; all of them by default. */
  public take(count = this.size): Buffer {
    const joined = this.join();
    this.parts = count < joined.length ? [joined.subarray(count)] : [];
    this.size -= count;
    return joined.subarray(0, count);
  }

  private join(): Buffer {
    const joined = this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
    this.parts = [joined];
    return joined;
  }
}
