import * as childProcess from 'node:child_process';
import { once } from 'node:events';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

const PROGRAM = url.fileURLToPath(new URL('../src/bramleyctl.js', import.meta.url));
const EXAMPLES = url.fileURLToPath(new URL('../../../../examples/kalahari', import.meta.url));

function run(...args: string[]) {
  return childProcess.spawnSync(process.execPath, [PROGRAM, ...args], { encoding: 'utf8' });
}

/** Runs the program without blocking this process, which serves its requests. */
async function runWhileServing(...args: string[]) {
  const child = childProcess.spawn(process.execPath, [PROGRAM, ...args]);
  const output = { stdout: '', stderr: '' };
  (['stdout', 'stderr'] as const).forEach((name) =>
    child[name].on('data', (part: Buffer) => {
      output[name] += part.toString();
    }),
  );
  const [code] = (await once(child, 'close')) as [number];
  return { ...output, code };
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

// Guards against shares that leave out a host or a priority, and against totals that look complete when a host is silent.
void tap.default.test('the calls of teams are summed up over the core hosts', async (t) => {
  const metrics = [1, 2].map(() => new telemetry.TextMetrics());
  const count = (host: number, team: string, priority: string, result: string) =>
    metrics[host]!.count('teamCalls', { service: 'app', team, priority, result });
  ['asked', 'granted'].forEach((result) => count(0, 'x', '10', result));
  ['asked', 'refused'].forEach((result) => count(1, 'x', '10', result));
  ['asked', 'granted'].forEach((result) => count(1, 'x', '2', result));
  count(1, 'a "b\\', '0', 'asked');
  metrics[0]!.count('teamAnswers', { route: 'r', team: 'x', result: 'late' });
  const addresses = await Promise.all(
    metrics.map(async (item) => {
      const server = http.createServer((req, res) => {
        void item
          .render()
          .then((text) => res.writeHead(req.url === '/metrics' ? 200 : 404).end(text));
      });
      t.teardown(() => server.close());
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    }),
  );
  const done = await runWhileServing('shares', '--metrics', ...addresses);
  t.equal(
    done.stdout,
    [
      'service team priority asked granted refused',
      'app a "b\\ 0 1 0 0',
      'app x 2 1 1 0',
      'app x 10 2 1 1\n',
    ].join('\n'),
  );
  const json = await runWhileServing('shares', '--json', '--metrics', ...addresses);
  t.same((JSON.parse(json.stdout) as unknown[])[2], {
    service: 'app',
    team: 'x',
    priority: '10',
    asked: 2,
    granted: 1,
    refused: 1,
  });
  const failed = await runWhileServing('shares', '--metrics', addresses[0]!, '127.0.0.1:9');
  t.match(failed, { code: 1, stdout: '', stderr: /127\.0\.0\.1:9/ });
  const missing = await runWhileServing('shares', '--metrics', `http://${addresses[0]!}/x`);
  t.match(missing, { code: 1, stderr: /status 404/ });
});
