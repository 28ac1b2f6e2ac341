import type * as http from 'node:http';

/** Hop-by-hop headers, which apply to one connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'te',
  'trailer',
  'expect',
]);

/** Returns the headers to forward: all but hop-by-hop headers and those that the `connection` header names. */
export function pickEndToEndHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = new Set(
    String(headers.connection ?? '')
      .toLowerCase()
      .split(',')
      .map((name) => name.trim()),
  );
  const kept: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && !named.has(name)) {
      kept[name] = value;
    }
  });
  return kept;
}
