import * as crypto from 'node:crypto';
import * as zlib from 'node:zlib';

import type * as intents from '@bramleyridge/intents';
import type * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** Size of a part, in bytes; it takes 75 ms on a link of 7 Mbit/s. */
const PART_BYTES = 64 * 1024;

/** Time for which a former version is kept after its last part was read, in milliseconds. */
const KEEP_MS = 5_000;

/** Size of the versions that are kept, in bytes; the newest is always kept. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024;

/** Compression level: the fastest, which makes a document of many routes ten times smaller. */
const COMPRESSION_LEVEL = 1;

/** Largest text that is unpacked, in bytes. */
const MAX_TEXT_BYTES = 64 * 1024 * 1024;

interface PackedDocument {
  readonly version: number;
  readonly digest: string;
  readonly bytes: Buffer;
  readAt: number;
}

/**
 * Compressed documents that entry hosts fetch in parts. Each is compressed once for all hosts, and a host that has begun
 * to fetch a version can finish it although newer ones follow.
 */
export class PackedDocuments {
  private readonly packed = new Map<number, PackedDocument>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Returns the first part of a document. */
  public getFirstPart(document: intents.DeclaredDocument): procedures.DocumentPart {
    return this.createPart(this.getPacked(document), 0);
  }

  /** Returns a part of the newest document or of a former one; `undefined` if that is not kept in this form. */
  public findPart(
    { digest, offset, version }: procedures.DocumentPartReq,
    newest: intents.DeclaredDocument | undefined,
  ): procedures.DocumentPart | undefined {
    const packed = newest?.version === version ? this.getPacked(newest) : this.packed.get(version);
    return packed?.digest === digest ? this.createPart(packed, offset) : undefined;
  }

  private createPart(packed: PackedDocument, offset: number): procedures.DocumentPart {
    const { bytes, digest, version } = packed;
    packed.readAt = this.clock.now();
    return {
      version,
      digest,
      totalBytes: bytes.length,
      offset,
      bytes: bytes.subarray(offset, offset + PART_BYTES),
    };
  }

  private getPacked({ text, version }: intents.DeclaredDocument): PackedDocument {
    const known = this.packed.get(version);
    if (known !== undefined) {
      return known;
    }
    const bytes = zlib.deflateSync(text, { level: COMPRESSION_LEVEL });
    const digest = crypto.createHash('sha256').update(bytes).digest('base64url');
    const packed = { version, digest, bytes, readAt: this.clock.now() };
    this.packed.set(version, packed);
    this.evictFormer();
    return packed;
  }

  private evictFormer(): void {
    const newestFirst = [...this.packed.values()].sort((a, b) => b.version - a.version);
    let keptBytes = 0;
    newestFirst.forEach(({ bytes, readAt, version }, i) => {
      keptBytes += bytes.length;
      const isIdle = this.clock.now() - readAt > KEEP_MS;
      if (i > 0 && (isIdle || keptBytes > MAX_KEPT_BYTES)) {
        this.packed.delete(version);
      }
    });
  }
}

/** Returns the text of a document from all of its parts. */
export function unpackDocument(parts: readonly Uint8Array[]): string {
  const options = { maxOutputLength: MAX_TEXT_BYTES };
  return zlib.inflateSync(Buffer.concat(parts), options).toString('utf8');
}
