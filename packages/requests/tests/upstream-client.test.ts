import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** What the upstream does with a connection on which the n-th call has come in whole. */
type Answer = (socket: net.Socket, callNumber: number) => void;

/** An upstream that writes the bytes that the test gives, so that it can break every rule of HTTP. */
async function listen(t: Teardown, answer: Answer): Promise<requests.UpstreamTarget> {
  let calls = 0;
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      if (bytes.includes('\r\n\r\n')) {
        calls += 1;
        answer(socket, calls);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { upstreamId: 'u1', url: `http://127.0.0.1:${port}` };
}

function createClient(t: Teardown): requests.UpstreamClient {
  const client = new requests.UpstreamClient({ connectMs: 300, connections: 1 });
  t.teardown(() => client.close());
  return client;
}

function createCall(isRepeatable: boolean, requestId = 'r1'): requests.OutgoingCall {
  return {
    method: 'GET',
    path: '/x',
    headers: { 'x-id': requestId },
    body: Buffer.alloc(0),
    isRepeatable,
    signal: AbortSignal.timeout(3_000),
  };
}

/** Answers belong to a call when they bring its identifier back. */
function judgeFor(requestId: string): requests.ClassifyHead {
  return ({ headers }) => (headers['x-id'] === requestId ? 'answer' : 'foreign');
}

async function get(
  client: requests.UpstreamClient,
  target: requests.UpstreamTarget,
  isRepeatable: boolean,
  requestId = 'r1',
): Promise<string> {
  const call = createCall(isRepeatable, requestId);
  const answer = await client.open(target, call, judgeFor(requestId));
  const read = await requests.readAnswer(answer, 10_000, target.upstreamId);
  return read.bytes.toString();
}

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';

void tap.default.test('an answer counts only when it came whole', async (t) => {
  // The caller gets what the upstream sent, or is told that the answer was lost; half an answer never looks
  // whole. An answer without a length ends with its connection, so only how that ends tells them apart: a
  // library that takes a reset for an end hands out the half that came.
  const cases: { name: string; answer: Answer; body?: string }[] = [
    {
      name: 'with a length, whole',
      answer: (socket) => socket.write(`${HEAD}content-length: 4\r\n\r\nbody`),
      body: 'body',
    },
    {
      name: 'with a length, cut',
      answer: (socket) => socket.end(`${HEAD}content-length: 9\r\n\r\nbody`),
    },
    {
      name: 'in chunks, cut before the last one',
      answer: (socket) => socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n`),
    },
    {
      name: 'without a length, ended',
      answer: (socket) => socket.end(`${HEAD}connection: close\r\n\r\nbody`),
      body: 'body',
    },
    {
      name: 'without a length, reset',
      answer: (socket) => {
        socket.write(`${HEAD}connection: close\r\n\r\nbo`, () =>
          setTimeout(() => socket.resetAndDestroy(), 20),
        );
      },
    },
    {
      // The bytes and the reset are found in one look at the socket, which then reports a plain end.
      name: 'without a length, reset right behind the bytes',
      answer: (socket) => {
        socket.write(`${HEAD}connection: close\r\n\r\nbo`);
        socket.resetAndDestroy();
      },
    },
    {
      name: 'more bytes than its length',
      answer: (socket) => socket.write(`${HEAD}content-length: 4\r\n\r\nbodybody`),
      body: 'body',
    },
    {
      name: 'no HTTP at all',
      answer: (socket) => socket.write('\x00\x01garbage\r\n\r\n'),
    },
  ];
  for (const isRepeatable of [false, true]) {
    for (const { name, answer, body } of cases) {
      const target = await listen(t, answer);
      const got = get(createClient(t), target, isRepeatable);
      const label = `${name}, ${isRepeatable ? 'on a kept connection' : 'on its own connection'}`;
      if (body === undefined) {
        await t.rejects(got, { kind: 'lost' } as never, label);
      } else {
        t.equal(await got, body, label);
      }
    }
  }
});

void tap.default.test(
  'a late second answer is never taken for the answer to the next call',
  async (t) => {
    // The upstream answers the first call twice, the second time just as the next call arrives on the same
    // connection. Without the identifier in the answer the next caller would get a stranger's answer.
    const target = await listen(t, (socket, n) => {
      socket.write(`${HEAD}content-length: 5\r\n\r\nfirst`);
      if (n === 2) {
        socket.write('HTTP/1.1 200 OK\r\nx-id: r2\r\ncontent-length: 6\r\n\r\nsecond');
      }
    });
    const client = createClient(t);
    t.equal(await get(client, target, true, 'r1'), 'first');
    await t.rejects(get(client, target, true, 'r2'), { kind: 'lost' } as never);
  },
);

void tap.default.test('an early answer to a long body leaves no bytes behind', async (t) => {
  // The upstream refuses before it has read the body, keeps the connection and reads on. It must find the rest
  // of that body there and nothing else, or it would run a call that nobody sent.
  const received: Buffer[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(`${HEAD}content-length: 4\r\n\r\nearl`));
    socket.on('data', (bytes: Buffer) => received.push(bytes));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  t.teardown(() => server.close());
  const client = createClient(t);
  const body = Buffer.alloc(300_000, 'b');
  const target = { upstreamId: 'u1', url: `http://127.0.0.1:${port}` };
  const call = { ...createCall(true), method: 'POST', body };
  const answer = await client.open(target, call, judgeFor('r1'));
  t.equal((await requests.readAnswer(answer, 10_000, 'u1')).bytes.toString(), 'earl');
  await client.close();
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const all = Buffer.concat(received).toString();
  const [, sent = ''] = all.split('\r\n\r\n');
  t.ok(/^b*$/.test(sent), 'what follows the head is the body, or the part of it that was read');
});

void tap.default.test('a stream that ends inside an event is broken', async (t) => {
  // An upstream that dies in the middle of a stream without a length closes the connection as one that is done
  // does. The last event without its empty line gives it away.
  const cases = [
    { name: 'whole', text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isWhole: true },
    { name: 'inside an event', text: 'id: 1\ndata: a\n\nid: 2\nda', isWhole: false },
    { name: 'nothing at all', text: '', isWhole: false },
  ];
  for (const { name, text, isWhole } of cases) {
    const target = await listen(t, (socket) =>
      socket.end(`${HEAD}connection: close\r\n\r\n${text}`),
    );
    const answer = await createClient(t).open(target, createCall(false), judgeFor('r1'));
    const read = (async () => {
      let all = '';
      for await (const part of requests.relayAnswer(answer, true, 'u1')) {
        all += part.toString();
      }
      return all;
    })();
    if (isWhole) {
      t.equal(await read, text, name);
    } else {
      await t.rejects(read, { kind: 'lost' } as never, name);
    }
  }
});
