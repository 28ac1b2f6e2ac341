import type * as http from 'node:http';

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
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

/** The headers that are passed on: all but those of one connection, and those that it names itself. */
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
    if (value !== undefined && !HOP_HEADERS.has(name) && !named.has(name)) {
      kept[name] = value;
    }
  });
  return kept;
}
