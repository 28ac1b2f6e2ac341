import * as net from 'node:net';

import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Why nothing of a call is sent: the error of the connect, or a header that HTTP can't carry. */
const CASES = [
  {
    name: 'a name that does not resolve',
    connectError: { code: 'ENOTFOUND', syscall: 'getaddrinfo' },
  },
  { name: 'a port that does not exist', connectError: { code: 'ERR_SOCKET_BAD_PORT' } },
  { name: 'a header with a character beyond Latin-1', headers: { 'x-id': 'i-\u20ac' } },
  { name: 'a header with a line break', headers: { 'x-id': 'i-1\n2' } },
];

// Guards against a call that counts as one that may have run, though none of its bytes was sent.
void tap.default.test('a call of which nothing was sent has not run', async (t) => {
  let connections = 0;
  const server = net.createServer((socket) => {
    connections += 1;
    socket.on('error', () => {});
    socket.resume();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const target = requests.createTarget({ upstreamId: 'u1', url: `http://127.0.0.1:${port}` });
  const gate = requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog());
  for (const { connectError, headers = {}, name } of CASES) {
    const tcp = new paths.TcpDialer();
    const dial = connectError && (() => Promise.reject(Object.assign(new Error(), connectError)));
    const dialer = { dial: dial ?? tcp.dial.bind(tcp) };
    const links = paths.createOwnLinks({ connectMs: 300, dialer });
    const client = new requests.UpstreamClient({
      gate,
      links,
      readNotice: () => requests.EMPTY_NOTICE,
    });
    for (const isRepeatable of [true, false]) {
      const call = {
        method: 'GET',
        path: '/x',
        headers,
        body: Buffer.alloc(0),
        isRepeatable,
        permit: new requests.SendPermit('u1', false, false, Infinity),
        signal: AbortSignal.timeout(2_000),
      };
      const failure = await client
        .open(target, call, () => 'answer')
        .catch((err: requests.UpstreamError) => err.kind);
      t.not(failure, 'lost', `${name}, repeatable: ${isRepeatable}`);
    }
    await client.close();
  }
  t.equal(connections, 0, 'no connection was opened');
});
