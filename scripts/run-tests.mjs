// Runs every compiled test under tap and ends with the counts that tap itself reported.
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const only = process.argv[2] ?? '';
const files = fs.globSync
  ? fs.globSync('packages/*/dist/tests/**/*.test.js')
  : fs
      .readdirSync('packages')
      .map((name) => path.join('packages', name, 'dist', 'tests'))
      .filter((dir) => fs.existsSync(dir))
      .flatMap((dir) =>
        fs.readdirSync(dir, { recursive: true }).map((f) => path.join(dir, String(f))),
      )
      .filter((file) => file.endsWith('.test.js'));
const chosen = files.filter((file) => file.includes(only)).sort();
if (chosen.length === 0) {
  console.error('no test file found; run `npm run build` first');
  process.exit(1);
}
const run = spawnSync(
  process.execPath,
  [
    'node_modules/tap/dist/esm/run.mjs',
    '--disable-coverage',
    '--allow-empty-coverage',
    '--reporter=tap',
    '--jobs=4',
    '--timeout=120',
    ...chosen,
  ],
  { encoding: 'utf8', maxBuffer: 1 << 28 },
);
const lines = run.stdout.split('\n');
const isCase = (line) => /^\s*(not )?ok \d+/.test(line);
// A line that only closes a subtest repeats what its own assertions said, so it is not counted.
const closers = new Set();
lines.forEach((line, i) => {
  const depth = line.search(/\S/);
  if (isCase(line) && /^\s*\}/.test(lines[i + 1] ?? '')) closers.add(i);
  if (isCase(line) && i > 0) {
    for (let j = i - 1; j >= 0 && j > i - 4; j -= 1) {
      if (/^\s*1\.\.\d+/.test(lines[j]) && lines[j].search(/\S/) > depth) closers.add(i);
    }
  }
});
const counted = lines.filter((line, i) => isCase(line) && !closers.has(i));
const failed = counted.filter(
  (line) => /^\s*not ok/.test(line) && !/# (TODO|SKIP)/i.test(line),
).length;
const passed = counted.filter((line) => /^\s*ok/.test(line) && !/# (TODO|SKIP)/i.test(line)).length;
const bad = run.status !== 0 || failed > 0 || passed === 0;
if (bad || process.env.TAP_VERBOSE) process.stdout.write(run.stdout);
if (bad) process.stderr.write(run.stderr);
console.log(`${passed} passed, ${Math.max(failed, bad ? 1 : 0)} failed`);
process.exit(bad ? 1 : 0);
