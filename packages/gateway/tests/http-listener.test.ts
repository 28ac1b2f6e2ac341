import * as net from 'node:net';

import * as gateway from '@bramleyridge/gateway';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const KB = 1_024;

/** Sends a text on a new connection; resolves to the first bytes of the answer, or `undefined` without one. */
function findAnswer(port: number, text: string): Promise<string | undefined> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1');
    socket.setTimeout(300, () => socket.destroy());
    socket.on('error', () => {});
    socket.once('data', (part) => {
      resolve(part.toString());
      socket.destroy();
    });
    socket.once('close', () => resolve(undefined));
    socket.write(text);
  });
}

// Guards against unfinished heads that hold more than the configured limit, on every connection.
void tap.default.test('the parser keeps no more of a head than is configured', async (t) => {
  const listener = new gateway.HttpListener((_req, res) => requests.sendJson(res, 200, {}), {
    name: 'test',
    log: new schemas.SilentLog(),
  });
  t.teardown(() => listener.kill());
  const port = await listener.listen('127.0.0.1:0');
  listener.setHeaderBytes(4 * KB);
  const cases = [
    {
      name: 'an unfinished head within it',
      line: 1,
      header: 4 * KB - 1,
      end: '',
      status: undefined,
    },
    { name: 'an unfinished head beyond it', line: 1, header: 14 * KB, end: '', status: '431' },
    {
      name: 'the largest headers and line',
      line: 8_000,
      header: 4_000,
      end: '\r\n\r\n',
      status: '200',
    },
  ];
  for (const { end, header, line, name, status } of cases) {
    const head = `GET /${'a'.repeat(line)} HTTP/1.1\r\nhost: a\r\nx: ${'a'.repeat(header)}${end}`;
    const answer = await findAnswer(port, head);
    t.equal(answer?.slice('HTTP/1.1 '.length, 'HTTP/1.1 '.length + 3), status, name);
  }
});

/** Calls by HTTP/1.0 and returns how the connection ends, without reading the answer before `readAfterMs`. */
async function callOld(port: number, readAfterMs: number): Promise<'closed' | 'reset'> {
  const socket = net.connect(port, '127.0.0.1');
  const end = new Promise<'closed' | 'reset'>((resolve) => {
    // A reset that arrives together with data is reported as an end; an empty write fails after it.
    socket.once('end', () => socket.write('', (err) => resolve(err ? 'reset' : 'closed')));
    socket.once('error', () => resolve('reset'));
  });
  socket.write('GET / HTTP/1.0\r\n\r\n');
  await new Promise((resolve) => {
    setTimeout(resolve, readAfterMs);
  });
  socket.resume();
  return end;
}

// Guards against a part that looks whole to a caller without chunks, whose connection this system closes.
void tap.default.test('a caller without chunks whose connection is closed is reset', async (t) => {
  const limits = { connections: 8, requestsPerConnection: 2, headBytes: 1e6, stallMs: 500 };
  const options = { name: 'test', log: new schemas.SilentLog(), limits };
  const start = async (answer: gateway.RequestHandler) => {
    const listener = new gateway.HttpListener(answer, options);
    t.teardown(() => listener.kill());
    return { listener, port: await listener.listen('127.0.0.1:0') };
  };
  const part = await start((_req, res) => res.write('a part'));
  const stopped = callOld(part.port, 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  await part.listener.close(100);
  t.equal(await stopped, 'reset', 'at the end of a stop');
  const large = await start((_req, res) => res.write(Buffer.alloc(20_000 * KB)));
  t.equal(await callOld(large.port, 2_000), 'reset', 'when it does not take its answer');
  const whole = await start((_req, res) => res.end('a whole answer'));
  t.equal(await callOld(whole.port, 0), 'closed', 'but not after a whole answer');
});
