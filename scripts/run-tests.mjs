// Runs every compiled test file as a process of its own and adds up the counts that tap printed.
// tap's own runner loads files through a transpiler that robot3's package layout breaks.
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const JOBS = 4;
const FILE_TIMEOUT_MS = 180_000;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const only = process.argv[2] ?? '';

function listTests(dir) {
  if (!fs.existsSync(dir)) return [];
  return fs
    .readdirSync(dir, { recursive: true })
    .map((name) => path.join(dir, String(name)))
    .filter((file) => file.endsWith('.test.js'));
}

// tap closes a file with `# { total: 15, pass: 15 }`, summed over its subtests.
function readCounts(stdout) {
  const summary = [...stdout.matchAll(/^# \{ (total: .*) \}$/gm)].at(-1)?.[1] ?? '';
  const read = (name) => Number(new RegExp(`\\b${name}: (\\d+)`).exec(summary)?.[1] ?? 0);
  return { passed: read('pass'), failed: read('fail') };
}

function run(file) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      env: { ...process.env, TAP_TIMEOUT: String(FILE_TIMEOUT_MS / 1_000) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (part) => (stdout += part));
    child.stderr.on('data', (part) => (stderr += part));
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.on('exit', (code) => {
      clearTimeout(timer);
      resolve({ file, code, stdout, stderr, ...readCounts(stdout) });
    });
  });
}

const folders = [
  ...fs.readdirSync('packages').map((name) => path.join('packages', name)),
  'platform',
];
const files = folders
  .flatMap((folder) => listTests(path.join(folder, 'dist', 'tests')))
  .filter((file) => file.includes(only))
  .filter((file) => fs.existsSync(file.replace('/dist/tests/', '/tests/').replace(/\.js$/, '.ts')))
  .sort();
const queue = [...files];
const results = [];
await Promise.all(
  Array.from({ length: JOBS }, async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await run(file);
      results.push(result);
      const isBad = result.code !== 0 || result.failed > 0 || result.passed === 0;
      console.log(
        `${isBad ? 'FAIL' : 'ok  '} ${file}: ${result.passed} passed, ${result.failed} failed`,
      );
      if (isBad) console.log(result.stdout + result.stderr);
    }
  }),
);
const knownRed = fs.existsSync(KNOWN_RED_FILE)
  ? fs.readFileSync(KNOWN_RED_FILE, 'utf8').trim()
  : '';
if (knownRed !== '') console.log(`known red:\n${knownRed}`);
const isKnown = (file) => knownRed.includes(path.basename(file).replace(/\.js$/, ''));
const passed = results.reduce((sum, item) => sum + item.passed, 0);
const broken = results.filter((r) => (r.code !== 0 || r.passed === 0) && !isKnown(r.file));
const failed = broken.reduce((sum, item) => sum + Math.max(item.failed, 1), 0);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
