import { once } from 'node:events';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

// Guards against a test process that never exits: Node.js neither resets nor closes a connection whose end is being sent.
void tap.default.test('a caller leaves while the server closes its connection', async (t) => {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const caller = new fakes.MisbehavingCaller(`127.0.0.1:${port}`);
  const accepted = once(server, 'connection') as Promise<[net.Socket]>;
  await caller.open(1, () => Buffer.alloc(0));
  const [closed] = await accepted;
  const answered = once(server, 'connection') as Promise<[net.Socket]>;
  const other = net.connect(port, '127.0.0.1');
  const [answering] = await answered;
  // Both are idle then, and report in the order in which they receive something.
  await timers.setTimeout(100);
  closed.end();
  closed.once('finish', () => answering.write('an answer'));
  await new Promise<void>((resolve) => {
    other.once('data', () => {
      caller.leave();
      resolve();
    });
  });
  other.destroy();
  server.close();
  await once(server, 'close');
  await timers.setTimeout(100);
  const open = process.getActiveResourcesInfo().filter((type) => type === 'TCPSocketWrap');
  t.equal(open.length, 0, 'no connection stays open');
});
