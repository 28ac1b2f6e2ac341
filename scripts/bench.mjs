// Builds the project and runs one benchmark: npm run bench -- NAME
import { spawnSync } from 'node:child_process';

const run = (cmd, args) => {
  const { status } = spawnSync(cmd, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};
run('npx', ['tsc', '-b']);
run(process.execPath, [
  '--expose-gc',
  'packages/bench/dist/src/bench.js',
  ...process.argv.slice(2),
]);
