import * as msgpackr from 'msgpackr';
import * as xxhash from 'xxhash-wasm';

import * as schemas from '@bramleyridge/schemas';

const hasher = await xxhash.default();

/** Magic number at the start of a batch, by which an intact batch after a damaged one is found. */
const MAGIC = Buffer.from('BRL1');

/** Size of a batch header in bytes: magic number, body length and checksum. */
const HEADER_BYTES = 12;

const packr = new msgpackr.Packr({ useRecords: false });

/**
 * Encodes one batch. The checksum covers all records that are synced together, so a batch is recovered whole or not at
 * all.
 */
export function encodeBatch(batch: unknown): Buffer {
  const body = packr.pack(batch);
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32BE(body.length, 4);
  header.writeUInt32BE(hasher.h32Raw(body), 8);
  return Buffer.concat([header, body]);
}

/** The intact batches at the start of a file, and their total length in bytes. */
export interface DecodedBatchFile {
  readonly batches: unknown[];
  readonly wholeBytes: number;
}

/**
 * Decodes a file of batches. A damaged last batch is a write that a crash interrupted. It was never acknowledged,
 * because a batch is synced before it is acknowledged and before the next one is written. If an intact batch follows
 * the damage, acknowledged data is lost, so the file is rejected.
 */
export function decodeBatchFile(name: string, bytes: Buffer): DecodedBatchFile {
  const batches: unknown[] = [];
  let at = 0;
  for (;;) {
    const end = findBatchEnd(bytes, at);
    if (end === undefined) {
      break;
    }
    batches.push(packr.unpack(bytes.subarray(at + HEADER_BYTES, end)));
    at = end;
  }
  if (hasWholeBatchAfter(bytes, at)) {
    throw new schemas.StepError({ id: 'chainBroken', step: 'read-log', args: [name, at] });
  }
  return { batches, wholeBytes: at };
}

function findBatchEnd(bytes: Buffer, at: number): number | undefined {
  if (bytes.length < at + HEADER_BYTES || bytes.compare(MAGIC, 0, 4, at, at + 4) !== 0) {
    return undefined;
  }
  const end = at + HEADER_BYTES + bytes.readUInt32BE(at + 4);
  if (end > bytes.length) {
    return undefined;
  }
  const checksum = hasher.h32Raw(bytes.subarray(at + HEADER_BYTES, end));
  return checksum === bytes.readUInt32BE(at + 8) ? end : undefined;
}

function hasWholeBatchAfter(bytes: Buffer, from: number): boolean {
  for (let at = bytes.indexOf(MAGIC, from + 1); at >= 0; at = bytes.indexOf(MAGIC, at + 1)) {
    if (findBatchEnd(bytes, at) !== undefined) {
      return true;
    }
  }
  return false;
}
