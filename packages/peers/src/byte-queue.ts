import * as schemas from '@bramleyridge/schemas';

/** Size of the lengths that precede messages, in bytes. */
const LENGTH_BYTES = 4;

/**
 * Received bytes that are read message by message. They are joined only when a message is complete: joined part by part,
 * a message in many small parts would take time by the square of their number.
 */
export class ByteQueue {
  private readonly blocks = new schemas.ByteBlocks();

  /** The number of bytes that are queued. */
  public get length(): number {
    return this.blocks.length;
  }

  /** The number of bytes of memory that they take. */
  public get allocatedBytes(): number {
    return this.blocks.allocatedBytes;
  }

  /** Adds received bytes. */
  public push(bytes: Buffer): void {
    this.blocks.push(bytes);
  }

  /** Reads the length at the front, which stays; `undefined` if it has not arrived. */
  public peekLength(): number | undefined {
    return this.blocks.peek(LENGTH_BYTES)?.readUInt32BE(0);
  }

  /** Removes all bytes. */
  public clear(): void {
    this.blocks.clear();
  }

  /** Removes bytes from the front; all of them by default. */
  public take(count = this.length): Buffer {
    return this.blocks.take(count);
  }
}
