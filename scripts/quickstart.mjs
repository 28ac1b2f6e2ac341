// Installs dependencies, builds the project and runs the quickstart on loopback with the given arguments.
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';

const run = (cmd, args) => {
  const { status } = spawnSync(cmd, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};
if (!fs.existsSync('node_modules/.package-lock.json')) {
  console.log('installing');
  run('npm', ['ci', '--ignore-scripts', '--no-progress', '--loglevel=error']);
}
console.log('building');
run('npx', ['tsc', '-b']);
run(process.execPath, ['packages/bench/dist/src/quickstart.js', ...process.argv.slice(2)]);
