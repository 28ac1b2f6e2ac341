import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

/** Folder of the results: a JSON file and a Markdown page for each benchmark. */
export const RESULTS_FOLDER = url.fileURLToPath(
  new URL('../../../../docs/measurements', import.meta.url),
);

/** A row of a table. */
export type TableRow = Readonly<Record<string, string | number>>;

/** Creates a Markdown table. */
export function createTable(rows: readonly TableRow[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(' | ')} |`;
  return [
    line(columns),
    line(columns.map(() => '---')),
    ...rows.map((row) => line(columns.map((column) => row[column] ?? ''))),
  ].join('\n');
}

/** Creates a heading with a Markdown table. */
export function createSection(title: string, rows: readonly TableRow[]): string {
  return `## ${title}\n\n${createTable(rows)}\n`;
}

/** Describes the machine on which the figures are measured. */
export function getMachine(): { cores: number; memoryGb: number; node: string; model: string } {
  return {
    cores: os.cpus().length,
    memoryGb: Math.round(os.totalmem() / 2 ** 30),
    node: process.version,
    model: os.cpus()[0]?.model.trim() ?? 'unknown',
  };
}

/** Writes results as JSON and as a page, and prints the page. */
export function writeResults(name: string, results: object, sections: readonly string[]): void {
  fs.mkdirSync(RESULTS_FOLDER, { recursive: true });
  const json = { machine: getMachine(), ...results };
  fs.writeFileSync(path.join(RESULTS_FOLDER, `${name}.json`), `${JSON.stringify(json, null, 1)}\n`);
  const head = `# ${name}\n\nWritten by \`npm run bench -- ${name}\`; the figures are in \`${name}.json\`.\n`;
  const page = [head, ...sections].join('\n');
  fs.writeFileSync(path.join(RESULTS_FOLDER, `${name}.md`), page);
  process.stdout.write(`${page}\n`);
}

/** Reads stored results; returns undefined when there are none. */
export function findResults<T>(name: string): T | undefined {
  const file = path.join(RESULTS_FOLDER, `${name}.json`);
  return fs.existsSync(file) ? (JSON.parse(fs.readFileSync(file, 'utf8')) as T) : undefined;
}
