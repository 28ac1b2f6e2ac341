import { once } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const LIMITS = { connections: 10, requestsPerConnection: 4, headBytes: 1e6, stallMs: 10_000 };

// Guards against a cut stream that looks whole to a caller by HTTP/1.0, after bytes from it that can't be read.
void tap.default.test('an unmarked answer is broken off visibly', { timeout: 5_000 }, async (t) => {
  const server = http.createServer((req, res) => {
    if (connections.admit(req, res)) {
      res.writeHead(200).write('data: 1\n\n');
    }
  });
  const log = { info: () => {} } as never;
  const connections = new requests.CallerConnections(server, {
    listener: 't',
    limits: LIMITS,
    log,
  });
  server.on('connection', (socket: net.Socket) => connections.open(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const caller = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  caller.write('GET / HTTP/1.0\r\n\r\n');
  await once(caller, 'data');
  caller.write('unreadable\r\n\r\n');
  const end = await Promise.race([
    once(caller, 'end').then(() => 'whole'),
    new Promise((resolve) => {
      caller.once('error', (err: NodeJS.ErrnoException) => resolve(err.code));
    }),
  ]);
  t.equal(end, 'ECONNRESET');
});
