import type * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const LIMITS: requests.ConnectionLimits = {
  connections: 4,
  requestsPerConnection: 2,
  stallMs: 60_000,
};

function waitFor(emitter: events.EventEmitter, name: string): Promise<void> {
  return new Promise((resolve) => {
    emitter.once(name, () => resolve());
  });
}

/** Server that leaves requests unanswered until the test answers them. */
class LimitedServer {
  public readonly handled: { req: http.IncomingMessage; res: http.ServerResponse }[] = [];
  public readonly closed: string[] = [];
  public readonly connections: requests.CallerConnections;
  private readonly server: http.Server;
  private readonly sockets: net.Socket[] = [];

  public constructor(limits: Partial<requests.ConnectionLimits> = {}) {
    this.server = http.createServer((req, res) => {
      if (this.connections.admit(req, res)) {
        this.handled.push({ req, res });
      }
    });
    this.connections = new requests.CallerConnections(this.server, {
      listener: 'test',
      limits: { ...LIMITS, ...limits },
      log: new schemas.SilentLog(),
      onClosed: (reason) => this.closed.push(reason),
    });
    this.server.prependListener('connection', (socket) => this.connections.open(socket));
  }

  public async start(t: tap.Test): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await waitFor(this.server, 'listening');
    t.teardown(() => {
      this.sockets.forEach((socket) => socket.destroy());
      this.server.close();
    });
  }

  /** Connects and sends requests; resolves once the server has the connection. */
  public async connect(text = ''): Promise<net.Socket> {
    const { port } = this.server.address() as net.AddressInfo;
    const accepted = waitFor(this.server, 'connection');
    const socket = net.connect(port, '127.0.0.1');
    this.sockets.push(socket);
    socket.on('error', () => {});
    await accepted;
    socket.write(text);
    return socket;
  }

  public async waitHandled(count: number): Promise<void> {
    while (this.handled.length < count) {
      await waitFor(this.server, 'request');
    }
  }
}

const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

void tap.default.test('a connection with too many requests ahead is closed', async (t) => {
  // Guards against handlers by the thousand, and against those that wait forever for the end of a queued response.
  const server = new LimitedServer();
  await server.start(t);
  const socket = await server.connect(GET.repeat(500));
  await waitFor(socket, 'close');
  t.equal(server.handled.length, 2, 'only the first are handled');
  t.same(server.closed, ['requests-ahead']);
  t.equal(server.connections.count(), 0);
  t.ok(
    server.handled.every(({ res }) => res.destroyed),
    'and each of them hears of the end',
  );
});

void tap.default.test('requests that are answered do not count', async (t) => {
  // Guards against a limit on the life of a kept connection.
  const server = new LimitedServer();
  await server.start(t);
  const socket = await server.connect();
  for (let i = 0; i < 10; i += 1) {
    socket.write(GET);
    await server.waitHandled(i + 1);
    const { res } = server.handled[i]!;
    res.end('ok');
    await waitFor(res, 'close');
  }
  t.same(server.closed, []);
});

void tap.default.test('the idle connection that has waited longest makes room', async (t) => {
  // Guards against idle connections that keep ordinary callers out.
  const server = new LimitedServer({ connections: 2 });
  await server.start(t);
  const idle = await server.connect();
  const busy = await server.connect(GET);
  await server.waitHandled(1);
  await server.connect(GET);
  await server.waitHandled(2);
  await waitFor(idle, 'close');
  t.same(server.closed, ['evicted']);
  t.notOk(busy.destroyed, 'a call that runs is not cut');
  const late = await server.connect(GET);
  await waitFor(late, 'close');
  t.same(server.closed, ['evicted', 'full'], 'where all are at work, the new one is closed');
});

void tap.default.test('a caller that waits for its answer is not stalled', async (t) => {
  // Guards against an end of calls whose upstream takes its time.
  const server = new LimitedServer({ stallMs: 50 });
  await server.start(t);
  const waiting = await server.connect(GET);
  const stalled = await server.connect('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\na');
  await waitFor(stalled, 'close');
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  t.notOk(waiting.destroyed);
  t.same(server.closed, ['stalled'], 'one that does not end its body is');
});
