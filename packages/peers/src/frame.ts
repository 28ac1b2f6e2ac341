import * as msgpackr from 'msgpackr';

import * as schemas from '@bramleyridge/schemas';

import * as byteQueues from './byte-queue.js';

/** Size of a frame's length prefix. */
const LENGTH_BYTES = 4;

/** Largest frame that a peer accepts, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** A message on the connection; its first element is the discriminant. */
export type Frame =
  | readonly [kind: 'call', id: number, path: string, input: unknown]
  | readonly [kind: 'cancel', id: number]
  /** Part of a call that is larger than one part; sent only to a peer that has announced `parts`. */
  | readonly [kind: 'part', id: number, offset: number, bytes: Uint8Array, isLast: boolean]
  /** Acknowledges the parts of a call, with the number of bytes received. */
  | readonly [kind: 'taken', id: number, bytes: number]
  /** Announces that this end knows calls in parts; hosts of the previous version ignore it. */
  | readonly [kind: 'parts']
  | readonly [kind: 'result', id: number, output: unknown]
  | readonly [kind: 'failure', id: number, message: string, code: string]
  /** Asks for a tunnel; hosts of the previous version ignore the last element. */
  | readonly [
      kind: 'tunnel',
      address: string,
      connectMs: number,
      takesLeaving: boolean,
      isCheck?: boolean,
    ]
  | readonly [kind: 'tunnelled', result: string]
  | readonly [kind: 'ping']
  | readonly [kind: 'pong'];

/**
 * Creates a codec that sends the field names of each object shape once per connection and direction. Later objects
 * of the same shape refer to them; otherwise field names make up most of the bytes of heartbeats and grants.
 */
function createPackr(): msgpackr.Packr {
  return new msgpackr.Packr({ useRecords: true, sequential: true });
}

/** Encodes the frames sent on one connection. Frames must be sent in the order in which they are encoded. */
export class FrameWriter {
  private readonly packr = createPackr();

  /** Encodes one frame, preceded by its length. */
  public encode(frame: Frame): Buffer {
    const body = this.packr.pack(frame);
    const head = Buffer.allocUnsafe(LENGTH_BYTES);
    head.writeUInt32BE(body.length);
    return Buffer.concat([head, body]);
  }
}

/** Buffers the bytes received on a connection and decodes complete frames. */
export class FrameReader {
  private readonly packr = createPackr();
  private readonly pending = new byteQueues.ByteQueue();

  /** Accepts frames of up to `maxBytes`. */
  public constructor(private readonly maxBytes = MAX_FRAME_BYTES) {}

  /** Returns the memory that the unfinished frame takes, in bytes. */
  public getHeldBytes(): number {
    return this.pending.allocatedBytes;
  }

  /** Returns the bytes that follow the last frame; no more frames are read after it. */
  public takeRest(): Buffer {
    return this.pending.take();
  }

  /** Drops the unfinished frame. */
  public clear(): void {
    this.pending.clear();
  }

  /** Whether a frame has begun to arrive. */
  public isInFrame(): boolean {
    return this.pending.length > 0;
  }

  /** Appends bytes and yields every frame that is now complete. */
  public *push(bytes: Buffer): Generator<Frame> {
    this.pending.push(bytes);
    for (;;) {
      const length = this.pending.peekLength();
      if (length === undefined) {
        return;
      }
      checkLength(length, this.maxBytes);
      const end = LENGTH_BYTES + length;
      if (this.pending.length < end) {
        return;
      }
      yield this.packr.unpack(this.pending.take(end).subarray(LENGTH_BYTES)) as Frame;
    }
  }
}

function checkLength(length: number, maxBytes: number): void {
  if (length > maxBytes) {
    throw new schemas.StepError({
      id: 'frameTooLarge',
      step: 'read-frame',
      args: [length, maxBytes],
    });
  }
}
