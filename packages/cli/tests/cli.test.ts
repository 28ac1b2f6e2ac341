import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as tap from 'tap';

const PROGRAM = url.fileURLToPath(new URL('../src/bramleyctl.js', import.meta.url));
const EXAMPLES = url.fileURLToPath(new URL('../../../../examples/kalahari', import.meta.url));

function run(...args: string[]) {
  return childProcess.spawnSync(process.execPath, [PROGRAM, ...args], { encoding: 'utf8' });
}

function writeFolder(t: { teardown(handler: () => unknown): void }, files: Record<string, string>) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-cli-'));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  Object.entries(files).forEach(([name, text]) => fs.writeFileSync(path.join(folder, name), text));
  return folder;
}

void tap.default.test('the examples are valid', async (t) => {
  const done = run('validate', '-f', EXAMPLES);
  t.equal(done.status, 0);
  t.match(done.stdout, /4 declarations are valid/);
});

void tap.default.test(
  'all faults are listed with file and path, and the exit code is 2',
  async (t) => {
    const folder = writeFolder(t, {
      'broken.json': '{',
      'team.json':
        '{"kind":"team","name":"UPPER","tokenSha256":[],"availabilityZones":["a"],"colour":1}',
      'intent.json': JSON.stringify({
        kind: 'intent',
        name: 'i',
        model: 'm',
        version: 'v',
        teams: ['nobody'],
        availabilityZones: ['a'],
        room: 1,
      }),
    });
    const done = run('validate', '-f', folder);
    t.equal(done.status, 2);
    [/broken\.json: /, /team\.json: name: /, /team\.json: .*colour/, /no team nobody/].forEach(
      (fault) => {
        t.match(done.stderr, fault);
      },
    );
  },
);

void tap.default.test('each kind of result has its exit code', async (t) => {
  const cases = [
    { name: 'no command', args: [], status: 2 },
    { name: 'an unknown command', args: ['fly'], status: 2 },
    { name: 'no daemon answers', args: ['status', '--url', 'http://127.0.0.1:9'], status: 1 },
    { name: 'the schema', args: ['schema', 'settings'], status: 0 },
  ];
  cases.forEach(({ name, args, status }) => t.equal(run(...args).status, status, name));
});

void tap.default.test('the committed JSON Schemas are those that the program prints', async (t) => {
  const folder = url.fileURLToPath(new URL('../../../../docs/schemas', import.meta.url));
  ['settings', 'declaration'].forEach((what) => {
    const kept: unknown = JSON.parse(
      fs.readFileSync(path.join(folder, `${what}.schema.json`), 'utf8'),
    );
    t.same(JSON.parse(run('schema', what).stdout), kept, what);
  });
});

void tap.default.test('a call is explained from log files, with the cause first', async (t) => {
  // Log files of two hosts; one has a time before its first line and a truncated line at its end.
  const folder = writeFolder(t, {
    'a.log':
      '12.5 {"time":1,"host":"a","decision":"route","request":"c1","upstream":"e1"}\n{"time":3,"ho',
    'b.log': [
      '{"time":2,"host":"a","decision":"outcome","request":"c1","upstream":"e1","outcome":"incomplete"}',
      '{"time":2,"host":"b","decision":"outcome","request":"c2","outcome":"complete"}',
    ].join('\n'),
  });
  const files = [path.join(folder, 'a.log'), path.join(folder, 'b.log')];
  const done = run('explain', 'c1', '--logs', ...files);
  t.equal(done.status, 0);
  const [cause, ...lines] = done.stdout.trim().split('\n');
  t.equal(cause, 'engine e1 broke off, and there was no copy');
  t.equal(lines.length, 2);
  t.equal(
    run('explain', 'c9', '--logs', ...files).status,
    1,
    'an identifier that no line contains',
  );
});
