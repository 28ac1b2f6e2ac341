import * as http from 'node:http';
import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

function createUpstream(port: number): schemas.Upstream {
  return {
    upstreamId: 's1',
    kind: 'service',
    service: 'booking',
    availabilityZone: 'a',
    url: `http://127.0.0.1:${port}`,
    state: 'live',
    checksFencing: false,
  };
}

function createCall(isRepeatable: boolean): requests.ServiceCall {
  const body = Buffer.from('{"booking":"b1"}');
  return { method: 'POST', path: '/confirms', headers: {}, body, isRepeatable };
}

function createClient(t: { teardown(handler: () => unknown): void }): requests.ServiceClient {
  const client = new requests.ServiceClient({
    gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
    connectMs: 300,
    answerMs: 400,
    answerBytes: 10_000,
  });
  t.teardown(() => client.close());
  return client;
}

/** Starts a server whose response the test defines; it counts connections and requests. */
async function listen(
  t: { teardown(handler: () => unknown): void },
  answer: (socket: net.Socket, res: http.ServerResponse) => void,
): Promise<{ port: number; counts: { connections: number; requests: number } }> {
  const counts = { connections: 0, requests: 0 };
  const server = http.createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      counts.requests += 1;
      answer(req.socket, res);
    });
  });
  server.on('connection', () => {
    counts.connections += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return { port: (server.address() as net.AddressInfo).port, counts };
}

void tap.default.test(
  'a failed call is classified correctly at every point of failure',
  async (t) => {
    const cases = [
      {
        name: 'closed after the call was read',
        answer: (socket: net.Socket) => socket.destroy(),
        kind: 'lost',
      },
      { name: 'no response', answer: () => {}, kind: 'lost' },
      {
        name: 'closed in the middle of the response',
        answer: (socket: net.Socket, res: http.ServerResponse) => {
          res.writeHead(200, { 'content-length': '100' });
          res.write('{"half":');
          setImmediate(() => socket.destroy());
        },
        kind: 'lost',
      },
      {
        name: 'reported as not run by the service',
        answer: (_socket: net.Socket, res: http.ServerResponse) => {
          res.writeHead(503, { 'x-not-run': '1' });
          res.end();
        },
        kind: 'refused',
      },
    ];
    for (const { name, answer, kind } of cases) {
      const { port, counts } = await listen(t, answer);
      const client = createClient(t);
      await t.rejects(
        client.send(createUpstream(port), createCall(false)),
        { kind } as never,
        name,
      );
      t.equal(counts.requests, 1, `${name}: it was sent once, and not resent by a library`);
    }
  },
);

void tap.default.test('a refused connection is classified as unreachable', async (t) => {
  const { port } = await listen(t, () => {});
  const client = createClient(t);
  const free = await new Promise<number>((resolve) => {
    const server = net.createServer().listen(0, '127.0.0.1', () => {
      const found = (server.address() as net.AddressInfo).port;
      server.close(() => resolve(found));
    });
  });
  t.not(free, port);
  const kind = { kind: 'unreachable' };
  await t.rejects(client.send(createUpstream(free), createCall(false)), kind as never);
});

void tap.default.test('a non-repeatable call is sent on a new connection', async (t) => {
  // A pooled connection may have been dropped silently, and then it is unknown whether the call arrived.
  const { port, counts } = await listen(t, (_socket, res) => res.end('{}'));
  const client = createClient(t);
  for (let i = 0; i < 3; i += 1) {
    await client.send(createUpstream(port), createCall(true));
  }
  const shared = counts.connections;
  t.ok(shared < 3, 'repeatable calls share connections');
  for (let i = 0; i < 3; i += 1) {
    await client.send(createUpstream(port), createCall(false));
  }
  t.equal(counts.connections, shared + 3, 'each non-repeatable call opens a new one');
});

// Guards against daemons that go on sending calls to an upstream which ends when it turns away a few more.
void tap.default.test('a brittle upstream that turns a call away gets a pause', async (t) => {
  const client = createClient(t);
  const { counts, port } = await listen(t, (_socket, res) => {
    res.writeHead(503, { 'x-not-run': '1', 'x-brittle': '2' });
    res.end();
  });
  const send = () =>
    client.send(createUpstream(port), createCall(true)).catch((err: unknown) => err);
  t.equal(((await send()) as requests.UpstreamError).kind, 'refused');
  t.equal(((await send()) as requests.UpstreamError).kind, 'withheld');
  t.equal(counts.requests, 1);
});

// Guards against a truncated stream of events that looks complete, because its call is not declared as a stream.
void tap.default.test(
  'events without a length that end inside an event are truncated',
  async (t) => {
    const cases = [
      { name: 'complete', text: 'data: a\n\ndata: b\n\n', isWhole: true },
      { name: 'inside an event', text: 'data: a\n\ndata: b\n', isWhole: false },
      { name: 'empty', text: '', isWhole: true },
    ];
    for (const isRepeatable of [true, false]) {
      for (const { isWhole, name, text } of cases) {
        const head =
          'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n';
        const { port } = await listen(t, (socket) => socket.end(`${head}${text}`));
        const sent = createClient(t).send(createUpstream(port), createCall(isRepeatable));
        if (isWhole) {
          t.equal((await sent).body.toString(), text, name);
        } else {
          await t.rejects(sent, { kind: 'lost' } as never, name);
        }
      }
    }
  },
);
