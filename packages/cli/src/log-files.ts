import * as fs from 'node:fs';
import * as readline from 'node:readline';

import type * as telemetry from '@bramleyridge/telemetry';

/** First character of a line's JSON; log collectors may prepend a time or a host name. */
const JSON_START = '{';

/**
 * Reads the log lines needed to explain a call: those that contain its identifier, and the starts of processes. Files
 * are streamed, since a day of log lines does not fit in memory.
 */
export async function readLinesOn(
  files: readonly string[],
  request: string,
): Promise<telemetry.LogLine[]> {
  const found: telemetry.LogLine[] = [];
  for (const file of files) {
    const lines = readline.createInterface({ input: fs.createReadStream(file) });
    for await (const text of lines) {
      const line = text.includes(request) || text.includes('"started"') ? parse(text) : undefined;
      if (line !== undefined) {
        found.push(line);
      }
    }
  }
  return found;
}

function parse(text: string): telemetry.LogLine | undefined {
  const start = text.indexOf(JSON_START);
  try {
    return start < 0 ? undefined : (JSON.parse(text.slice(start)) as telemetry.LogLine);
  } catch {
    // A truncated line at the end of a file that is still being written, or a line of another program.
    return undefined;
  }
}
