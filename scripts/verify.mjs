// Installs dependencies, checks the format, compiles, lints and tests; the last line holds the total test counts.
import { spawnSync } from 'node:child_process';

const steps = [
  ['npm', ['ci', '--ignore-scripts', '--no-progress', '--loglevel=error']],
  ['npx', ['prettier', '--check', '--log-level=warn', '.']],
  ['npx', ['tsc', '-b']],
  ['npx', ['eslint', '.', '--max-warnings', '0']],
  ['node', ['scripts/run-tests.mjs']],
];
for (const [cmd, args] of steps) {
  console.log(`> ${cmd} ${args.join(' ')}`);
  const { status } = spawnSync(cmd, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}
