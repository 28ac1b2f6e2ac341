import * as msgpackr from 'msgpackr';

import * as schemas from '@bramleyridge/schemas';

/** Size of a frame's length prefix. */
const LENGTH_BYTES = 4;

/** Largest frame that a peer accepts, in bytes; large enough for a snapshot of the configuration. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** A message on the connection; its first element is the discriminant. */
export type Frame =
  | readonly [kind: 'call', id: number, path: string, input: unknown]
  | readonly [kind: 'cancel', id: number]
  | readonly [kind: 'result', id: number, output: unknown]
  | readonly [kind: 'failure', id: number, message: string, code: string]
  | readonly [kind: 'tunnel', address: string, connectMs: number]
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
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the bytes that follow the last frame; no more frames are read after it. */
  public takeRest(): Buffer {
    const rest = this.pending;
    this.pending = Buffer.alloc(0);
    return rest;
  }

  /** Appends bytes and yields every frame that is now complete. */
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
