import * as http from 'node:http';
import type * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as processExitDetectors from '../src/process-exit-detector.js';

// A connection may be reset while its process keeps running. Treating that as an exit would hold calls back without
// need; only an address that refuses connections proves that the process has exited.

async function listen(): Promise<{ readonly server: http.Server; readonly address: string }> {
  const server = http.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` };
}

void tap.default.test('a process has exited when its address refuses connections', async (t) => {
  const { server, address } = await listen();
  t.teardown(() => server.close());
  const detector = new processExitDetectors.ProcessExitDetector(new schemas.SystemClock());
  t.equal(
    await detector.hasExited({ upstreamId: 'p1', address }),
    false,
    'the address accepts connections',
  );
  server.close();
  t.equal(
    await detector.hasExited({ upstreamId: 'p2', address }),
    true,
    'the address refuses connections',
  );
});

void tap.default.test('runs that break off together cause one check', async (t) => {
  const clock = new schemas.VirtualClock();
  let checks = 0;
  const detector = new processExitDetectors.ProcessExitDetector(clock, async () => {
    checks += 1;
    return Promise.resolve(false);
  });
  const target = { upstreamId: 'p1', address: '127.0.0.1:1' };
  const all = await Promise.all(Array.from({ length: 24 }, () => detector.hasExited(target)));
  t.same([checks, new Set(all).size, all[0]], [1, 1, true]);
  await detector.hasExited({ ...target, upstreamId: 'p2' });
  t.equal(checks, 2, 'another process is checked separately');
  await clock.advance(1_000);
  await detector.hasExited(target);
  t.equal(checks, 3, 'the same one is checked again later');
});

// Guards against missing an exit because the exiting process still accepted a connection.
void tap.default.test(
  'a process that still listens while it exits is detected as exited',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const answers = [true, true, false];
    const detector = new processExitDetectors.ProcessExitDetector(clock, async () =>
      Promise.resolve(answers.shift() ?? true),
    );
    const target = { upstreamId: 'p1', address: '127.0.0.1:1' };
    const exited = detector.hasExited(target);
    await clock.advance(1_000);
    t.equal(await exited, true);
    const running = detector.hasExited({ ...target, upstreamId: 'p2' });
    await clock.advance(1_000);
    t.equal(await running, false, 'a process that keeps listening has not exited');
  },
);
