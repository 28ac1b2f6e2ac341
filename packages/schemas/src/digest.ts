import * as crypto from 'node:crypto';

/** Returns the SHA-256 of a text, in hex. */
export function getSha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/** Returns whether a secret has a given SHA-256 digest, comparing in constant time. */
export function isSecretOf(secret: string, digest: string): boolean {
  return crypto.timingSafeEqual(Buffer.from(getSha256(secret), 'hex'), Buffer.from(digest, 'hex'));
}

/** Returns the content hash of a JSON value: the first 16 hex digits of its SHA-256. */
export function getContentHash(value: unknown): string {
  return getSha256(JSON.stringify(value)).slice(0, 16);
}
