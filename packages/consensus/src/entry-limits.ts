import * as schemas from '@bramleyridge/schemas';

/** Largest entry of the log, in bytes; every voter holds a few of them in memory and on disk. */
export const MAX_ENTRY_BYTES = 10 * 1024 * 1024;

/** Size of the entries that a leader appends before a majority has stored them, in bytes. */
export const MAX_UNCOMMITTED_BYTES = 2 * MAX_ENTRY_BYTES;

/** Returns the size of a command's data, in bytes; throws a refusal if it is too large for an entry. */
export function measureCommand(data: unknown): number {
  const bytes = schemas.estimateEncodedBytes(data);
  if (bytes > MAX_ENTRY_BYTES) {
    throw new schemas.Refusal({
      id: 'entryTooLarge',
      step: 'propose',
      status: 413,
      outcome: 'not-run',
      args: [bytes, MAX_ENTRY_BYTES],
    });
  }
  return bytes;
}
