import * as fs from 'node:fs';
import * as readline from 'node:readline';

import type * as telemetry from '@bramleyridge/telemetry';

/** Where a line's JSON begins; whoever collects lines may have put a time or a host before it. */
const JSON_START = '{';

/**
 * Reads the lines of log files that a call's explanation may need: its own, and the starts of processes. Files are
 * read as they come, since those of a day do not fit in memory.
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
    // Half a line at the end of a file that is still written, or a line of another program.
    return undefined;
  }
}
