import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nconnection: close\r\n\r\nbo';

/** Ports that have four digits, so that a zero may stand before them. */
const LOW_PORTS = Array.from({ length: 200 }, (_, index) => 9_700 + index);

async function listen(t: tap.Test, host: string): Promise<number> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => {
      socket.write(HEAD);
      socket.resetAndDestroy();
    });
  });
  t.teardown(() => server.close());
  for (const port of LOW_PORTS) {
    const isListening = await new Promise<boolean>((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (isListening) {
      return port;
    }
  }
  throw new Error('no port is free');
}

const CASES = [
  { host: '127.0.0.1', format: (port: number) => `127.0.0.1:${port}` },
  { host: '127.0.0.1', format: (port: number) => `127.0.0.1:0${port}` },
  { host: '::1', format: (port: number) => `[::1]:${port}` },
];

// Guards against a truncated answer that counts as whole, since its reset is counted under another form of the address.
void tap.default.test('a reset shows at an address in any form that is accepted', async (t) => {
  for (const { format, host } of CASES) {
    const listed = format(await listen(t, host));
    const address = schemas.address.parse(listed);
    const client = new requests.UpstreamClient({
      gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
      readNotice: () => requests.EMPTY_NOTICE,
    });
    t.teardown(() => client.close());
    const target = { upstreamId: 'u1', address, origin: `http://${address}` };
    const call = {
      method: 'GET',
      path: '/x',
      headers: {},
      body: Buffer.alloc(0),
      isRepeatable: false,
      permit: new requests.SendPermit('u1', false, false, Infinity),
      signal: AbortSignal.timeout(3_000),
    };
    const read = async () =>
      requests.readAnswer(await client.open(target, call, () => 'answer'), 10_000, 'u1');
    await t.rejects(read(), { kind: 'lost' } as never, listed);
  }
});
