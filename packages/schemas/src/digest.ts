import * as crypto from 'node:crypto';

/** The hex SHA-256 of a text. */
export function getSha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/** Whether a secret has a digest, compared in constant time. */
export function isSecretOf(secret: string, digest: string): boolean {
  return crypto.timingSafeEqual(Buffer.from(getSha256(secret), 'hex'), Buffer.from(digest, 'hex'));
}

/** The content hash of a JSON value. */
export function getContentHash(value: unknown): string {
  return getSha256(JSON.stringify(value)).slice(0, 16);
}
