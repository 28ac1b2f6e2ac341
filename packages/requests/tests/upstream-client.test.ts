import * as net from 'node:net';

import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** Called with a connection on which the n-th call has been received completely. */
type Answer = (socket: net.Socket, callNumber: number) => void;

/** Starts an upstream that writes arbitrary bytes, so that a test can violate HTTP. */
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
  return requests.createTarget({ upstreamId: 'u1', url: `http://127.0.0.1:${port}` });
}

function createClient(t: Teardown): requests.UpstreamClient {
  const client = new requests.UpstreamClient({
    gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
    readNotice: () => requests.EMPTY_NOTICE,
    connectMs: 300,
    connections: 1,
  });
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
    permit: new requests.SendPermit('u1', false, false, Infinity),
    signal: AbortSignal.timeout(3_000),
  };
}

/** Classifies a response as that of a call if it returns the call's identifier. */
function createClassifier(requestId: string): requests.ClassifyHead {
  return ({ headers }) => (headers['x-id'] === requestId ? 'answer' : 'foreign');
}

async function get(
  client: requests.UpstreamClient,
  target: requests.UpstreamTarget,
  isRepeatable: boolean,
  requestId = 'r1',
): Promise<string> {
  const call = createCall(isRepeatable, requestId);
  const answer = await client.open(target, call, createClassifier(requestId));
  const read = await requests.readAnswer(answer, 10_000, target.upstreamId);
  return read.bytes.toString();
}

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';

void tap.default.test('a response counts only if it is complete', async (t) => {
  // The caller gets the complete response or the failure `lost`; a truncated response must not look complete. A
  // response without a length ends with its connection, so only the kind of that end tells the two apart: a library
  // that treats a reset as an end returns a truncated response.
  const cases: { name: string; answer: Answer; body?: string }[] = [
    {
      name: 'with a length, complete',
      answer: (socket) => socket.write(`${HEAD}content-length: 4\r\n\r\nbody`),
      body: 'body',
    },
    {
      name: 'with a length, truncated',
      answer: (socket) => socket.end(`${HEAD}content-length: 9\r\n\r\nbody`),
    },
    {
      name: 'chunked, truncated before the last chunk',
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
      // The bytes and the reset arrive in one read of the socket, which then reports a plain end.
      name: 'without a length, reset directly after the bytes',
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
      name: 'not HTTP',
      answer: (socket) => socket.write('\x00\x01garbage\r\n\r\n'),
    },
  ];
  for (const isRepeatable of [false, true]) {
    for (const { name, answer, body } of cases) {
      const target = await listen(t, answer);
      const got = get(createClient(t), target, isRepeatable);
      const label = `${name}, ${isRepeatable ? 'on a pooled connection' : 'on a new connection'}`;
      if (body === undefined) {
        await t.rejects(got, { kind: 'lost' } as never, label);
      } else {
        t.equal(await got, body, label);
      }
    }
  }
});

void tap.default.test('a late second response is never returned for the next call', async (t) => {
  // The upstream responds to the first call twice, the second time when the next call arrives on the same
  // connection. Without the identifier in the response the next caller would get the response to another call.
  const target = await listen(t, (socket, n) => {
    socket.write(`${HEAD}content-length: 5\r\n\r\nfirst`);
    if (n === 2) {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r2\r\ncontent-length: 6\r\n\r\nsecond');
    }
  });
  const client = createClient(t);
  t.equal(await get(client, target, true, 'r1'), 'first');
  await t.rejects(get(client, target, true, 'r2'), { kind: 'lost' } as never);
});

void tap.default.test(
  'an early response to a long body leaves no bytes on the connection',
  async (t) => {
    // The upstream responds before it has read the body, keeps the connection open and continues to read. It must
    // receive the rest of that body and nothing else, or it would run a call that was never sent.
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
    const target = requests.createTarget({ upstreamId: 'u1', url: `http://127.0.0.1:${port}` });
    const call = { ...createCall(true), method: 'POST', body };
    const answer = await client.open(target, call, createClassifier('r1'));
    t.equal((await requests.readAnswer(answer, 10_000, 'u1')).bytes.toString(), 'earl');
    await client.close();
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    const all = Buffer.concat(received).toString();
    const [, sent = ''] = all.split('\r\n\r\n');
    t.ok(/^b*$/.test(sent), 'only the body, or a part of it, follows the head');
  },
);

// Guards against a call that is sent without having passed the gate, or twice with one permit.
void tap.default.test('nothing is sent without a valid permit', async (t) => {
  let calls = 0;
  const target = await listen(t, (socket) => {
    calls += 1;
    socket.end(`${HEAD}connection: close\r\ncontent-length: 0\r\n\r\n`);
  });
  const client = createClient(t);
  const call = createCall(true);
  await client.open(target, call, createClassifier('r1'));
  await t.rejects(client.open(target, call, createClassifier('r1')), { kind: 'withheld' } as never);
  const other = {
    ...createCall(false),
    permit: new requests.SendPermit('u2', false, false, Infinity),
  };
  await t.rejects(client.open(target, other, createClassifier('r1')), {
    kind: 'withheld',
  } as never);
  t.equal(calls, 1);
});

void tap.default.test('a stream that ends inside an event is truncated', async (t) => {
  // An upstream that exits during a stream without a length closes the connection in the same way as at the end. Only
  // the missing empty line after the last event shows it.
  const cases = [
    { name: 'complete', text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isWhole: true },
    { name: 'inside an event', text: 'id: 1\ndata: a\n\nid: 2\nda', isWhole: false },
    { name: 'empty', text: '', isWhole: false },
  ];
  for (const { name, text, isWhole } of cases) {
    const target = await listen(t, (socket) =>
      socket.end(`${HEAD}connection: close\r\n\r\n${text}`),
    );
    const answer = await createClient(t).open(target, createCall(false), createClassifier('r1'));
    const read = (async () => {
      let all = '';
      for await (const part of requests.relayAnswer(answer, 'events', 'u1')) {
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

// Guards against calls that end as perhaps run, and are not sent elsewhere, although no connection was made for them.
void tap.default.test('a connect that gets no answer in time is unreachable', async (t) => {
  const dialer = {
    dial: (address: string) =>
      Promise.reject(
        Object.assign(new Error(`connect ETIMEDOUT ${address}`), {
          code: 'ETIMEDOUT',
          syscall: 'connect',
        }),
      ),
  };
  const client = new requests.UpstreamClient({
    gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
    readNotice: () => requests.EMPTY_NOTICE,
    links: paths.createOwnLinks({ connectMs: 100, dialer }),
  });
  t.teardown(() => client.close());
  for (const isRepeatable of [true, false]) {
    const target = requests.createTarget({ upstreamId: 'u1', url: 'http://127.0.0.1:1' });
    const failure = await client
      .open(target, createCall(isRepeatable), () => 'answer')
      .catch((err: unknown) => err);
    t.equal((failure as requests.UpstreamError).kind, 'unreachable');
  }
});

// Guards against calls that are repeated, or refused as not run, since this side closed the connection that they were on.
void tap.default.test('a call whose connections are closed may have run', async (t) => {
  for (const isRepeatable of [true, false]) {
    let hasArrived = () => {};
    const arrived = new Promise<void>((resolve) => {
      hasArrived = resolve;
    });
    const target = await listen(t, () => hasArrived());
    const client = createClient(t);
    const call = { ...createCall(isRepeatable), signal: AbortSignal.timeout(1_000) };
    const failure = client.open(target, call, () => 'answer').catch((err: unknown) => err);
    await arrived;
    await client.close();
    t.equal(((await failure) as requests.UpstreamError).kind, 'lost');
  }
});

// Guards against a call that was never written, and yet counts as one that its upstream may have run.
void tap.default.test('a call that can not be written as a request is withheld', async (t) => {
  let calls = 0;
  const upstream = await listen(t, () => {
    calls += 1;
  });
  const client = createClient(t);
  const cases = [
    { name: 'a line break in a header', change: { headers: { 'x-id': 'a\r\nb' } } },
    { name: 'a character that is no byte', change: { headers: { 'x-id': '\u5317' } } },
    { name: 'a blank in the path', change: { path: '/x y' } },
  ];
  for (const { change, name } of cases) {
    for (const isRepeatable of [true, false]) {
      const call = { ...createCall(isRepeatable), ...change };
      const expected = { kind: 'withheld', id: 'callUnsendable' } as never;
      await t.rejects(
        client.open(upstream, call, () => 'answer'),
        expected,
        name,
      );
    }
  }
  t.equal(calls, 0);
});
