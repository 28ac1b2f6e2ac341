import * as z from 'zod';

/** A name that is safe in paths, headers and identifiers: letters, digits and dashes. */
export const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes, at most 63');

/** A TCP port; with 0, the operating system assigns one. */
export const port = z.int().min(0).max(65535);

/** A SHA-256 digest in hex. */
export const sha256 = z.string().regex(/^[0-9a-f]{64}$/, '64 lower-case hex digits');
