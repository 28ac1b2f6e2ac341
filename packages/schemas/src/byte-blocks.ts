/** Size from which a part stays as it is, in bytes. */
const MIN_OWN_BYTES = 4 * 1_024;

/** Sizes of the blocks that small parts are copied into, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1_024;

const EMPTY = Buffer.alloc(0);

/**
 * Bytes that arrive in parts. Small parts are copied into blocks: a Buffer of one byte takes some hundred bytes of memory,
 * so that a sender chooses how much its bytes cost.
 */
export class ByteBlocks {
  private blocks: Buffer[] = [];
  /** Block with room for small parts, which is the last one, and the number of its bytes in use. */
  private open = EMPTY;
  private openBytes = 0;
  private size = 0;
  private allocated = 0;

  /** The number of bytes that have arrived. */
  public get length(): number {
    return this.size;
  }

  /** The number of bytes of memory that they take. */
  public get allocatedBytes(): number {
    return this.allocated;
  }

  /** Adds a part. */
  public push(part: Buffer): void {
    if (part.length === 0) {
      return;
    }
    if (this.size === 0 || part.length >= MIN_OWN_BYTES) {
      this.seal();
      this.blocks.push(part);
      this.allocated += part.length;
    } else {
      this.copy(part);
    }
    this.size += part.length;
  }

  /** Returns the first bytes without removing them; `undefined` if fewer have arrived. */
  public peek(count: number): Buffer | undefined {
    if (this.size < count) {
      return undefined;
    }
    const first = this.getFirst();
    return (first.length >= count ? first : this.join()).subarray(0, count);
  }

  /** Removes and returns bytes from the front; all of them by default. */
  public take(count = this.size): Buffer {
    const joined = this.join();
    const rest = joined.subarray(count);
    this.blocks = rest.length > 0 ? [rest] : [];
    this.size = rest.length;
    this.allocated = rest.length;
    return joined.subarray(0, count);
  }

  /** Removes all bytes. */
  public clear(): void {
    this.blocks = [];
    this.open = EMPTY;
    this.openBytes = 0;
    this.size = 0;
    this.allocated = 0;
  }

  private copy(part: Buffer): void {
    const copied = part.copy(this.open, this.openBytes);
    this.openBytes += copied;
    if (copied === part.length) {
      return;
    }
    this.seal();
    const blockBytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.allocated));
    this.open = Buffer.allocUnsafeSlow(Math.max(blockBytes, part.length - copied));
    this.blocks.push(this.open);
    this.allocated += this.open.length;
    this.openBytes = part.copy(this.open, 0, copied);
  }

  /** Ends the block that small parts are copied into. */
  private seal(): void {
    if (this.open.length > 0) {
      this.blocks[this.blocks.length - 1] = this.open.subarray(0, this.openBytes);
    }
    this.open = EMPTY;
    this.openBytes = 0;
  }

  private getFirst(): Buffer {
    const [first = EMPTY] = this.blocks;
    return first === this.open ? first.subarray(0, this.openBytes) : first;
  }

  private join(): Buffer {
    this.seal();
    if (this.blocks.length > 1) {
      this.blocks = [Buffer.concat(this.blocks)];
    }
    this.allocated = this.size;
    return this.blocks[0] ?? EMPTY;
  }
}
