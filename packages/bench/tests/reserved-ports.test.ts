import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

const COUNT = 200;

// Guards against tests whose processes end at their start, since a process of an ended test still listens on a port.
void tap.default.test('ports in use are not reserved', async (t) => {
  const reserved = await fakes.ReservedPorts.take(COUNT);
  const former = reserved.list();
  const left = await Promise.all(former.map((port) => listen(port)));
  t.teardown(() => left.forEach((server) => server.close()));
  reserved.release();
  for (let round = 0; round < 50; round += 1) {
    const next = await fakes.ReservedPorts.take(COUNT);
    t.notOk(
      next.list().some((port) => former.includes(port)),
      `round ${round}`,
    );
    next.release();
  }
});

function listen(port: number): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(port, fakes.RESERVED_PORT_HOST, () => resolve(server));
  });
}
