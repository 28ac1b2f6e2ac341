import type * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const LIMITS: requests.ConnectionLimits = {
  connections: 4,
  requestsPerConnection: 2,
  headBytes: 1e6,
  stallMs: 60_000,
};

function waitFor(emitter: events.EventEmitter, name: string): Promise<void> {
  return new Promise((resolve) => {
    emitter.once(name, () => resolve());
  });
}

function readPart(socket: net.Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once('data', (part: Buffer) => resolve(String(part)));
  });
}

/** Server that leaves requests unanswered until the test answers them. */
class LimitedServer {
  public readonly handled: { req: http.IncomingMessage; res: http.ServerResponse }[] = [];
  public readonly closed: string[] = [];
  /** Number of requests that the parser has made of the bytes of all connections, and of those that were passed on. */
  public made = 0;
  public parsed = 0;
  /** Number of connections that there is room for. */
  public room = Infinity;
  /** Called with each request that is handled. */
  public onRequest: (req: http.IncomingMessage) => void = () => {};
  public readonly connections: requests.CallerConnections;
  private readonly server: http.Server;
  private readonly sockets: net.Socket[] = [];

  public constructor(limits: Partial<requests.ConnectionLimits> = {}) {
    const countMade = () => {
      this.made += 1;
    };
    class CountedRequest extends requests.CallerRequest {
      public constructor(socket: net.Socket) {
        super(socket);
        countMade();
      }
    }
    this.server = http.createServer({ IncomingMessage: CountedRequest }, (req, res) => {
      this.parsed += 1;
      if (this.connections.admit(req, res)) {
        this.handled.push({ req, res });
        this.onRequest(req);
        this.connections.discardUnread(req, res);
      }
    });
    this.connections = new requests.CallerConnections(this.server, {
      listener: 'test',
      limits: { ...LIMITS, ...limits },
      findRoom: () => this.room,
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

  public async waitParsed(count: number): Promise<void> {
    while (this.parsed < count) {
      await waitFor(this.server, 'request');
    }
  }
}

const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

// Guards against headers that are left out in silence, such as the key by which a call is recognised when it is sent again.
void tap.default.test('a request with too many headers is refused', async (t) => {
  const server = new LimitedServer();
  await server.start(t);
  const cases = [256, 257, 288, 1_100].map((count) => ({ count, isServed: count <= 256 }));
  for (const { count, isServed } of cases) {
    const fields = Array.from({ length: count - 2 }, (_, index) => `${index.toString(36)}:\r\n`);
    const head = ['GET / HTTP/1.1\r\nhost: a\r\n', ...fields, 'idempotency-key: k\r\n\r\n'];
    const handled = server.handled.length;
    const { parsed } = server;
    const socket = await server.connect(head.join(''));
    await server.waitParsed(parsed + 1);
    t.equal(server.handled.length, isServed ? handled + 1 : handled, `${count} headers`);
    if (isServed) {
      t.equal(server.handled.at(-1)?.req.headers['idempotency-key'], 'k');
    } else {
      t.match(await readPart(socket), /^HTTP\/1\.1 431 [^]*connection: close/i);
    }
  }
});

// Guards against a handler of what can't be read that answers otherwise than Node.js, or leaves the connection open.
void tap.default.test(
  'a request that can not be read is answered and its connection closed',
  async (t) => {
    const server = new LimitedServer();
    await server.start(t);
    const post = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
    const cases = [
      {
        text: 'no request\r\n\r\n',
        answer: /^HTTP\/1\.1 400 Bad Request\r\nConnection: close\r\n\r\n$/,
      },
      { text: `GET / HTTP/1.1\r\nx: ${'a'.repeat(70_000)}`, answer: /^HTTP\/1\.1 431 / },
      { text: `${post}1;${'a'.repeat(70_000)}`, answer: /^HTTP\/1\.1 413 / },
    ];
    for (const { answer, text } of cases) {
      t.match(await waitText(await server.connect(text), 'never'), answer);
    }
  },
);

// Guards against an answer that is followed by another one, which would pass for that of a later request.
void tap.default.test('an answer that has begun is not followed by a second one', async (t) => {
  const server = new LimitedServer();
  await server.start(t);
  const socket = await server.connect(GET);
  await server.waitHandled(1);
  const { res } = server.handled[0]!;
  res.write('begun');
  const received = waitText(socket, 'never');
  await readPart(socket);
  socket.write('no request\r\n\r\n');
  t.notMatch(await received, /400/);
  t.ok(res.destroyed);
});

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

void tap.default.test(
  'no request is parsed after the one that closes its connection',
  async (t) => {
    // Guards against a process that runs out of memory when the bytes of many closed connections are read in one round.
    const server = new LimitedServer();
    await server.start(t);
    const socket = await server.connect(GET.repeat(500));
    await waitFor(socket, 'close');
    t.equal(server.parsed, LIMITS.requestsPerConnection + 1);
  },
);

// Guards against readers that wait for a body until their time limit, and against an error that ends the process.
void tap.default.test(
  'a connection that is closed while it is parsed ends its bodies',
  async (t) => {
    const server = new LimitedServer({ requestsPerConnection: 4 });
    const aborted: Promise<void>[] = [];
    server.onRequest = (req) => {
      if (req.url === '/closed') {
        aborted.push(waitFor(req, 'aborted'));
        req.on('error', () => {});
        req.socket.destroy(new Error('closed'));
      }
    };
    await server.start(t);
    const post = 'POST /closed HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nbody';
    const unended = await server.connect(`${GET}${post}`);
    const followed = await server.connect(`${GET.replace('/', '/closed')}${GET}`);
    await Promise.all([unended, followed].map((socket) => waitFor(socket, 'close')));
    await aborted[0];
    t.equal(server.connections.count(), 0);
  },
);

// Guards against a process that runs out of memory for requests that Node.js answers before any limit is asked.
for (const { name, text, status } of [
  { name: 'without a host', text: 'GET / HTTP/1.1\r\n\r\n', status: 400 },
  { name: 'that expect anything', text: `${GET.slice(0, -2)}expect: x\r\n\r\n`, status: 417 },
]) {
  void tap.default.test(`requests ${name} count like others`, async (t) => {
    const server = new LimitedServer();
    await server.start(t);
    const one = await server.connect(text);
    const answer = await new Promise<Buffer>((resolve) => {
      one.once('data', resolve);
    });
    t.equal(answer.toString('latin1').slice(0, 12), `HTTP/1.1 ${status}`);
    server.made = 0;
    const crowd = await server.connect(text.repeat(500));
    crowd.resume();
    await waitFor(crowd, 'close');
    t.ok(server.made <= LIMITS.requestsPerConnection + 2, `${server.made} of 500 are parsed`);
    t.equal(server.handled.length, 0);
  });
}

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

// Guards against heads without bounds, and callers cut off, while connections to upstreams leave no room for others.
void tap.default.test('the shares of connections stay while there is no room', async (t) => {
  const server = new LimitedServer({ headBytes: 5_000 });
  await server.start(t);
  const sockets = [];
  for (let i = 0; i < 4; i += 1) {
    sockets.push(await server.connect(i < 2 ? GET : ''));
  }
  await server.waitHandled(2);
  server.room = 1;
  sockets.slice(0, 2).forEach((socket) => socket.write(GET));
  await server.waitParsed(4);
  t.same(server.closed, [], 'two requests ahead are kept');
  const large = GET.replace('\r\n\r\n', `\r\nx: ${'a'.repeat(3_300)}\r\n\r\n`);
  sockets.slice(2).forEach((socket) => socket.write(large));
  await server.waitParsed(6);
  t.same(server.closed, ['head-bytes'], 'and heads of more than 5,000 bytes are not');
  await server.connect();
  t.equal(server.closed.at(-1), 'full', 'nor is another connection');
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

/** Limits under which two large heads find room, and a connection has the equal share of less than one. */
const HEAD_LIMITS = { headBytes: 163_840 };
const LARGE_FIELDS = 'a:\r\n'.repeat(250);
const LARGE_GET = `GET / HTTP/1.1\r\nhost: a\r\n${LARGE_FIELDS}\r\n`;
const LARGE_POST = `POST / HTTP/1.1\r\nhost: a\r\n${LARGE_FIELDS}content-length: 1\r\n\r\n`;

void tap.default.test(
  'a large head makes room for the next while its body is awaited',
  async (t) => {
    // Guards against heads of many small headers, which take many times their bytes for as long as bodies are not ended.
    const server = new LimitedServer(HEAD_LIMITS);
    await server.start(t);
    const first = await server.connect(LARGE_POST);
    await server.waitHandled(1);
    const second = await server.connect(LARGE_POST);
    await server.waitHandled(2);
    await server.connect(LARGE_POST);
    await server.waitHandled(3);
    await waitFor(first, 'close');
    t.notOk(second.destroyed, 'only the one that has waited longest is closed');
    t.same(server.closed, ['head-bytes']);
  },
);

void tap.default.test('heads that are not ended make room for others', async (t) => {
  // Guards against heads of many small headers that are never ended, of which no handler hears.
  const server = new LimitedServer({ headBytes: 125_000 });
  await server.start(t);
  const small = await server.connect('GET / HTTP/1.1\r\nhost: a\r\n');
  const large = [];
  for (let i = 0; i < 3; i += 1) {
    large.push(await server.connect(`GET / HTTP/1.1\r\nhost: a\r\n${'a:\r\n'.repeat(200)}`));
  }
  await waitFor(large[0]!, 'close');
  t.same(server.closed, ['head-bytes'], 'the one that has waited longest is closed');
  small.write('\r\n');
  large[1]!.write('\r\n');
  await server.waitHandled(2);
});

void tap.default.test('a head within the share of a connection is always taken', async (t) => {
  // Guards against large heads that keep ordinary callers out, or cut calls that run.
  const server = new LimitedServer(HEAD_LIMITS);
  await server.start(t);
  const running = [await server.connect(LARGE_GET), await server.connect(LARGE_GET)];
  await server.waitHandled(2);
  const late = await server.connect(LARGE_GET);
  await waitFor(late, 'close');
  t.same(server.closed, ['head-bytes'], 'where all are at work, the new large one is closed');
  await server.connect(GET);
  await server.waitHandled(3);
  t.notOk(running.some(({ destroyed }) => destroyed));
});

void tap.default.test('the head of an answered request counts until its body ends', async (t) => {
  // Guards against heads that Node.js keeps behind a refusal, for a body that is never ended.
  const server = new LimitedServer(HEAD_LIMITS);
  await server.start(t);
  for (let i = 0; i < 3; i += 1) {
    await server.connect(LARGE_POST);
    await server.waitHandled(i + 1);
    const { res } = server.handled[i]!;
    res.end('no');
    await waitFor(res, 'close');
  }
  t.same(server.closed, ['head-bytes']);
  const [first, ...others] = server.handled.map(({ req }) => req.socket);
  t.ok(first?.destroyed, 'the one that has waited longest is closed');
  t.notOk(others.some(({ destroyed }) => destroyed));
});

void tap.default.test('the head of a request that has ended does not count', async (t) => {
  // Guards against a count that grows with the requests of a connection, or with connections that were closed.
  const server = new LimitedServer(HEAD_LIMITS);
  await server.start(t);
  const kept = await server.connect();
  for (let i = 0; i < 20; i += 1) {
    if (i % 2 === 0) {
      kept.write(`${LARGE_POST}a`);
      await server.waitHandled(i + 1);
      const { res } = server.handled[i]!;
      res.end('ok');
      await waitFor(res, 'close');
    } else {
      const left = await server.connect(LARGE_POST);
      await server.waitHandled(i + 1);
      const { req } = server.handled[i]!;
      left.destroy();
      await waitFor(req, 'close');
    }
  }
  t.same(server.closed, []);
});

const CHUNKED_POST = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const createChunks = (count: number, bytes: number) =>
  `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`.repeat(count);

/** Reads from a socket until a text arrives. */
async function waitText(socket: net.Socket, text: string): Promise<string> {
  let received = '';
  for await (const part of socket) {
    received += String(part);
    if (received.includes(text)) {
      break;
    }
  }
  return received;
}

void tap.default.test(
  'a body in small parts behind an unanswered request is not kept',
  async (t) => {
    // Guards against bodies that nobody reads, of which a part of one byte takes some hundred bytes of memory.
    const server = new LimitedServer();
    await server.start(t);
    const socket = await server.connect(`${GET}${CHUNKED_POST}${createChunks(5_000, 1)}`);
    await waitFor(socket, 'close');
    t.same(server.closed, ['small-parts']);
    t.ok(
      server.handled.every(({ req, res }) => req.readableLength === 0 && res.destroyed),
      'nothing of it is kept, and both handlers hear of the end',
    );
  },
);

void tap.default.test(
  'small parts of a body that is discarded after its answer end nothing',
  async (t) => {
    // Guards against a refusal that is followed by the end of its connection, where the caller still sends.
    const server = new LimitedServer();
    await server.start(t);
    const socket = await server.connect(CHUNKED_POST);
    await server.waitHandled(1);
    const { res } = server.handled[0]!;
    res.end('no');
    await waitFor(res, 'close');
    socket.write(`${createChunks(5_000, 1)}0\r\n\r\n${GET}`);
    await server.waitHandled(2);
    t.same(server.closed, []);
  },
);

void tap.default.test('a refusal that waits for its turn leaves its connection open', async (t) => {
  // Guards against an answer that is lost, or a request that is dropped, since one between them was refused.
  const server = new LimitedServer({ requestsPerConnection: 3 });
  await server.start(t);
  const socket = await server.connect(`${GET}${CHUNKED_POST}${createChunks(100, 1_000)}`);
  await server.waitHandled(2);
  const [slow, refused] = server.handled;
  requests.sendRefusal(refused!.req, refused!.res, requests.createHostFull());
  socket.write(`${createChunks(100, 1_000)}0\r\n\r\n${GET}`);
  await server.waitHandled(3);
  server.handled[2]!.res.end('last');
  slow!.res.end('first');
  const received = await waitText(socket, 'last');
  t.match(received, /first[^]*503[^]*last/);
  t.same(server.closed, []);
});

void tap.default.test(
  'a refusal whose body has not ended closes its connection at its turn',
  async (t) => {
    // Guards against a body without end that is received for as long as its caller sends.
    const server = new LimitedServer();
    await server.start(t);
    const socket = await server.connect(`${GET}${CHUNKED_POST}${createChunks(10, 1_000)}`);
    await server.waitHandled(2);
    const [slow, refused] = server.handled;
    requests.sendRefusal(refused!.req, refused!.res, requests.createHostFull());
    slow!.res.end('first');
    const received = await waitText(socket, 'never');
    t.match(received, /first[^]*503/);
  },
);
