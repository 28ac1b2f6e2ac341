import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as paths from '@bramleyridge/paths';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Keeps the event loop busy, like a host that handles much at once. */
function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    // Nothing else runs meanwhile.
  }
}

async function listen(t: tap.Test): Promise<string> {
  const server = net.createServer((socket) => socket.on('error', () => {}));
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  // Timers then run before the next events of sockets.
  await timers.setImmediate();
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

// Guards against connects that a busy host takes for timed out, and repeats at other upstreams.
void tap.default.test('a connection made while the host was busy is used', async (t) => {
  const address = await listen(t);
  const dialed = new paths.TcpDialer().dial(address, 50);
  block(200);
  const socket = await dialed;
  t.notOk(socket.destroyed);
  socket.destroy();
});

// Guards against tunnels that a busy host opens by the hundred beside connections that it has.
void tap.default.test('a sleep ends after what has arrived meanwhile', async (t) => {
  const address = await listen(t);
  const dialed = new paths.TcpDialer().dial(address, 10_000);
  const late = new schemas.SystemClock().sleep(50).then(() => undefined);
  block(200);
  const socket = await Promise.race([dialed, late]);
  t.ok(socket, 'the connection comes first');
  (await dialed).destroy();
});
