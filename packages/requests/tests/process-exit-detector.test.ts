import * as http from 'node:http';
import type * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as endChecks from '../src/process-exit-detector.js';

// A connection that closes may have been reset while its process lives on. Taking that for an end would hold calls back
// for nothing; nobody listening at the address shows that the process is gone.

async function listen(): Promise<{ readonly server: http.Server; readonly url: string }> {
  const server = http.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}` };
}

void tap.default.test('a process has ended when nobody listens at its address', async (t) => {
  const { server, url } = await listen();
  t.teardown(() => server.close());
  const check = new endChecks.ProcessExitDetector(new schemas.SystemClock());
  t.equal(await check.hasExited({ upstreamId: 'p1', url }), false, 'it listens');
  server.close();
  t.equal(await check.hasExited({ upstreamId: 'p2', url }), true, 'nobody does');
});

void tap.default.test('runs that break off together cost one question', async (t) => {
  const clock = new schemas.VirtualClock();
  let asked = 0;
  const check = new endChecks.ProcessExitDetector(clock, async () => {
    asked += 1;
    return Promise.resolve(false);
  });
  const target = { upstreamId: 'p1', url: 'http://127.0.0.1:1' };
  const all = await Promise.all(Array.from({ length: 24 }, () => check.hasExited(target)));
  t.same([asked, new Set(all).size, all[0]], [1, 1, true]);
  await check.hasExited({ ...target, upstreamId: 'p2' });
  t.equal(asked, 2, 'another process is asked anew');
  await clock.advance(1_000);
  await check.hasExited(target);
  t.equal(asked, 3, 'and the same one later');
});

// Guards against an end that counts for nothing because the process still took a connection while it ended.
void tap.default.test('a process that still listens while it ends has ended', async (t) => {
  const clock = new schemas.VirtualClock();
  const answers = [true, true, false];
  const check = new endChecks.ProcessExitDetector(clock, async () =>
    Promise.resolve(answers.shift() ?? true),
  );
  const target = { upstreamId: 'p1', url: 'http://127.0.0.1:1' };
  const ended = check.hasExited(target);
  await clock.advance(1_000);
  t.equal(await ended, true);
  const lives = check.hasExited({ ...target, upstreamId: 'p2' });
  await clock.advance(1_000);
  t.equal(await lives, false, 'one that goes on listening has not');
});
