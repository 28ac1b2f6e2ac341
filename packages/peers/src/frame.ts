import * as msgpackr from 'msgpackr';

import * as schemas from '@bramleyridge/schemas';

/** The bytes of a frame's length prefix. */
const LENGTH_BYTES = 4;

/** The largest frame that a peer accepts, in bytes; a snapshot of the configuration fits. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** What travels on the link, told apart by its first element. */
export type Frame =
  | readonly [kind: 'call', id: number, path: string, input: unknown]
  | readonly [kind: 'cancel', id: number]
  | readonly [kind: 'result', id: number, output: unknown]
  | readonly [kind: 'failure', id: number, message: string, code: string]
  | readonly [kind: 'ping']
  | readonly [kind: 'pong'];

/**
 * The names of an object's fields travel once for each connection and direction; later objects of the same
 * shape refer to them. Names were the larger part of heartbeats and grants.
 */
function createPackr(): msgpackr.Packr {
  return new msgpackr.Packr({ useRecords: true, sequential: true });
}

/** Encodes the frames of one direction of one connection, in order. */
export class FrameWriter {
  private readonly packr = createPackr();

  /** Encodes one frame with its length before it. */
  public encode(frame: Frame): Buffer {
    const body = this.packr.pack(frame);
    const head = Buffer.allocUnsafe(LENGTH_BYTES);
    head.writeUInt32BE(body.length);
    return Buffer.concat([head, body]);
  }
}

/** Collects the bytes of a connection and gives back whole frames. */
export class FrameReader {
  private readonly packr = createPackr();
  private pending: Buffer = Buffer.alloc(0);

  /** Adds bytes and yields every frame that is now whole. */
  public *push(bytes: Buffer): Generator<Frame> {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    while (this.pending.length >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        throw new schemas.StepError({
          id: 'frameTooLarge',
          step: 'read-frame',
          args: [length, MAX_FRAME_BYTES],
        });
      }
      if (this.pending.length < LENGTH_BYTES + length) {
        return;
      }
      const body = this.pending.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
      this.pending = this.pending.subarray(LENGTH_BYTES + length);
      yield this.packr.unpack(body) as Frame;
    }
  }
}
