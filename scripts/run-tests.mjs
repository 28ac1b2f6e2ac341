// Runs every compiled test file in its own process and sums up the counts that tap prints.
// tap's own runner is not used: it loads files through a transpiler that fails on the package layout of robot3.
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as knownRedTests from '../packages/bench/dist/src/known-red.js';

const CONCURRENT_FILES = 4;

// Files whose tests run whole fleets under load in one process and check real times. They run one after the other, with
// fewer others beside them: otherwise they measure how the files share the processors.
const LOADED_FILES = [
  'daemon/dist/tests/crashing-prompts',
  'daemon/dist/tests/hostile-data',
  'daemon/dist/tests/short-completions',
  'daemon/dist/tests/short-heads',
  'daemon/dist/tests/wrong-heads',
  'gateway/dist/tests/brittle-upstreams',
  'gateway/dist/tests/capacity-sharing',
  'gateway/dist/tests/connection-crowd',
  'gateway/dist/tests/crashing-calls',
  'gateway/dist/tests/crashing-prompts',
  'gateway/dist/tests/cut-fleet',
  'gateway/dist/tests/cut-off-hosts',
  'gateway/dist/tests/leaderless-suspects',
  'gateway/dist/tests/short-heads',
  'gateway/dist/tests/wrong-heads',
  'platform/dist/tests/hostile-data',
  'platform/dist/tests/short-heads',
];
// Files whose tests measure the memory of processes under attack. Each runs alone, after all others.
const LONE_FILES = [
  'bench/dist/tests/misbehaving-callers',
  'platform/dist/tests/misbehaving-bursts',
  'platform/dist/tests/misbehaving-callers',
  'platform/dist/tests/misbehaving-connections',
  'platform/dist/tests/misbehaving-peers',
];
const CONCURRENT_BESIDE_LOADED = 2;
const FILE_TIMEOUT_MS = 180_000;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const pathFilter = process.argv[2] ?? '';

function listTests(dir) {
  if (!fs.existsSync(dir)) return [];
  return fs
    .readdirSync(dir, { recursive: true })
    .map((name) => path.join(dir, String(name)))
    .filter((file) => file.endsWith('.test.js'));
}

// tap ends the output of a file with `# { total: 15, pass: 15 }`, summed over its subtests.
function readCounts(stdout) {
  const summary = [...stdout.matchAll(/^# \{ (total: .*) \}$/gm)].at(-1)?.[1] ?? '';
  return { passed: Number(/\bpass: (\d+)/.exec(summary)?.[1] ?? 0) };
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
  .filter((file) => file.includes(pathFilter))
  .filter((file) => fs.existsSync(file.replace('/dist/tests/', '/tests/').replace(/\.js$/, '.ts')))
  .sort();
const knownRedText = fs.existsSync(KNOWN_RED_FILE) ? fs.readFileSync(KNOWN_RED_FILE, 'utf8') : '';
const knownRed = knownRedTests.parseKnownRed(knownRedText);
const isListed = (file, names) => names.some((name) => file.endsWith(`${name}.test.js`));
const isLoaded = (file) => isListed(file, LOADED_FILES);
const isLone = (file) => isListed(file, LONE_FILES);
const results = [];

async function runAll(queue) {
  for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
    const startedAt = Date.now();
    const result = await run(file);
    const verdict = knownRedTests.judgeTestRun(result, knownRed);
    results.push({ ...result, ...verdict });
    const mark = verdict.failed > 0 ? 'FAIL' : 'ok  ';
    const tookS = Math.round((Date.now() - startedAt) / 1_000);
    console.log(`${mark} ${file}: ${result.passed} passed, ${verdict.failed} failed, ${tookS} s`);
    verdict.knownFailures.forEach((name) => console.log(`known red: ${file} "${name}"`));
    if (verdict.failed > 0 || verdict.knownFailures.length > 0) {
      console.log(result.stdout + result.stderr);
    }
  }
}

function runLanes(count, queue) {
  return Promise.all(Array.from({ length: count }, () => runAll(queue)));
}

const others = files.filter((file) => !isLoaded(file) && !isLone(file));
const loaded = files.filter(isLoaded);
await Promise.all([
  runLanes(CONCURRENT_BESIDE_LOADED, others),
  runAll(loaded).then(() => runLanes(CONCURRENT_FILES - CONCURRENT_BESIDE_LOADED, others)),
]);
await runAll(files.filter(isLone));
if (knownRed.length > 0) console.log(`${KNOWN_RED_FILE}:\n${knownRedText.trim()}`);
const passed = results.reduce((sum, item) => sum + item.passed, 0);
const failed = results.reduce((sum, item) => sum + item.failed, 0);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
