import * as schemas from '@bramleyridge/schemas';
import * as msgpackr from 'msgpackr';

/** Size above which a call is sent in parts, and size of a part, in bytes. */
export const PART_BYTES = 64 * 1024;

/** Largest call that is sent in parts, in bytes. */
export const MAX_CALL_BYTES = 64 * 1024 * 1024;

/** Bytes that may be on their way without an acknowledgment; other frames wait behind no more than these. */
const WINDOW_BYTES = 2 * PART_BYTES;

// A call in parts is encoded apart from the frames of its connection, since frames are decoded between its parts.
const packr = new msgpackr.Packr({ useRecords: false });

/** A part of a call; `offset` is its position in the encoded call, in bytes. */
export interface CallPart {
  readonly offset: number;
  readonly bytes: Uint8Array;
  readonly isLast: boolean;
}

/** Sends one call in parts, as fast as the peer acknowledges them. */
export class CallPartSender {
  private readonly encoded: Buffer;
  private sentBytes = 0;

  public constructor(
    path: string,
    input: unknown,
    private readonly send: (part: CallPart) => void,
  ) {
    this.encoded = packr.pack([path, input]);
  }

  /** Sends the parts that fit into the window after `takenBytes` bytes, which the peer has acknowledged. */
  public advance(takenBytes: number): void {
    while (this.sentBytes < Math.min(this.encoded.length, takenBytes + WINDOW_BYTES)) {
      const offset = this.sentBytes;
      const bytes = this.encoded.subarray(offset, offset + PART_BYTES);
      this.sentBytes += bytes.length;
      this.send({ offset, bytes, isLast: this.sentBytes === this.encoded.length });
    }
  }
}

/** Collects the parts of one call. */
export class CallPartCollector {
  private readonly body = new schemas.ByteBlocks();

  /** The number of bytes received. */
  public get receivedBytes(): number {
    return this.body.length;
  }

  /** The memory that the received parts take, in bytes. */
  public get allocatedBytes(): number {
    return this.body.allocatedBytes;
  }

  /** Adds a part; throws if the call is larger than {@link MAX_CALL_BYTES}. */
  public add({ bytes }: CallPart): void {
    const length = this.body.length + bytes.length;
    if (length > MAX_CALL_BYTES) {
      const args = [length, MAX_CALL_BYTES];
      throw new schemas.StepError({ id: 'frameTooLarge', step: 'read-part', args });
    }
    this.body.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
  }

  /** Decodes the complete call. */
  public decode(): readonly [path: string, input: unknown] {
    return packr.unpack(this.body.take()) as [string, unknown];
  }
}
