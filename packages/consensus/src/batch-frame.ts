import * as msgpackr from 'msgpackr';
import * as xxhash from 'xxhash-wasm';

import * as schemas from '@bramleyridge/schemas';

const hasher = await xxhash.default();

/** Marks the start of a batch, so that a later whole batch can be found behind a damaged one. */
const MAGIC = Buffer.from('BRL1');

/** Magic, length and checksum. */
const HEAD_BYTES = 12;

const packr = new msgpackr.Packr({ useRecords: false });

/** Encodes one batch: everything that is synced together stands or falls together. */
export function encodeBatch(batch: unknown): Buffer {
  const body = packr.pack(batch);
  const head = Buffer.alloc(HEAD_BYTES);
  MAGIC.copy(head);
  head.writeUInt32BE(body.length, 4);
  head.writeUInt32BE(hasher.h32Raw(body), 8);
  return Buffer.concat([head, body]);
}

/** Every whole batch of a file, and the length up to which the file is whole. */
export interface DecodedBatchFile {
  readonly batches: unknown[];
  readonly wholeBytes: number;
}

/**
 * Reads a file of batches. A damaged end is a write that a crash cut short: nothing was promised on it,
 * since a batch is synced before any promise and before the next is written. Damage with a whole batch
 * behind it is something else: promises were made on what is lost, so the file is refused.
 */
export function decodeBatchFile(name: string, bytes: Buffer): DecodedBatchFile {
  const batches: unknown[] = [];
  let at = 0;
  for (;;) {
    const end = findBatchEnd(bytes, at);
    if (end === undefined) {
      break;
    }
    batches.push(packr.unpack(bytes.subarray(at + HEAD_BYTES, end)));
    at = end;
  }
  if (hasWholeBatchAfter(bytes, at)) {
    throw new schemas.StepError({ id: 'chainBroken', step: 'read-log', args: [name, at] });
  }
  return { batches, wholeBytes: at };
}

function findBatchEnd(bytes: Buffer, at: number): number | undefined {
  if (bytes.length < at + HEAD_BYTES || bytes.compare(MAGIC, 0, 4, at, at + 4) !== 0) {
    return undefined;
  }
  const end = at + HEAD_BYTES + bytes.readUInt32BE(at + 4);
  if (end > bytes.length) {
    return undefined;
  }
  const sum = hasher.h32Raw(bytes.subarray(at + HEAD_BYTES, end));
  return sum === bytes.readUInt32BE(at + 8) ? end : undefined;
}

function hasWholeBatchAfter(bytes: Buffer, from: number): boolean {
  for (let at = bytes.indexOf(MAGIC, from + 1); at >= 0; at = bytes.indexOf(MAGIC, at + 1)) {
    if (findBatchEnd(bytes, at) !== undefined) {
      return true;
    }
  }
  return false;
}
