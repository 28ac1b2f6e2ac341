import * as crypto from 'node:crypto';

/** The length of a digest in hex digits: 128 bits, so that a call with the digest of another can't be constructed. */
const DIGEST_HEX_DIGITS = 32;

/** The fields that identify a call by its content, independent of its request id. */
export interface CallContent {
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  readonly team: string | undefined;
  readonly body: Buffer;
}

/**
 * Returns a digest of a call's content, by which a resend under another id, at another host, is recognized. The
 * content can't be derived from the digest, so it may be sent to zones in which the team's data must not be stored.
 */
export function getCallDigest({ body, host, method, path, team }: CallContent): string {
  const hash = crypto.createHash('sha256');
  // JSON keeps the boundaries between the parts, so that different parts can't concatenate to the same text.
  hash.update(JSON.stringify([method, host.toLowerCase(), path, team ?? null]));
  hash.update(body);
  return hash.digest('hex').slice(0, DIGEST_HEX_DIGITS);
}
