import type * as http from 'node:http';

/** The transfer codings of a body whose end is marked: the last of them is the chunked one. */
const CHUNKED_LAST = /(?:^|,)\s*chunked\s*$/i;

/** Returns whether the headers of an answer mark the end of its body; otherwise it ends with its connection. */
export function isEndMarked(headers: http.IncomingHttpHeaders): boolean {
  const isChunked = CHUNKED_LAST.test(String(headers['transfer-encoding'] ?? ''));
  return headers['content-length'] !== undefined || isChunked;
}
