import * as net from 'node:net';

import * as paths from '@bramleyridge/paths';
import * as tap from 'tap';

/** Returns the address of a port at which nothing listens. */
async function findClosedAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

// Guards against a process that ends because a connection of the HTTP library's own connector fails.
void tap.default.test('a failed connect fails its request only', async (t) => {
  const agent = paths.createBoundedAgent({});
  t.teardown(() => agent.destroy());
  const origin = `http://${await findClosedAddress()}`;
  const failures: unknown[] = [];
  const noteFailure = (err: unknown) => failures.push(err);
  process.on('uncaughtException', noteFailure);
  t.teardown(() => process.off('uncaughtException', noteFailure));
  await t.rejects(
    agent.request({ origin, path: '/', method: 'GET', signal: AbortSignal.timeout(2_000) }),
    /ECONNREFUSED/,
  );
  t.same(failures, []);
});
