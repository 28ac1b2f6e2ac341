/**
 * Size from which an upstream may have answered a request without reading it, in bytes. A smaller one is taken in with
 * its first read.
 */
export const LARGE_REQUEST_BYTES = 16 * 1024;

/**
 * Time for which a reset may follow the end of an upstream's bytes, in milliseconds: the time limit for a connect, as an
 * upstream that is farther away counts as unreachable.
 */
export const RESET_MS = 150;
