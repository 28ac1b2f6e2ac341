import * as http from 'node:http';
import type * as net from 'node:net';

import * as gateway from '@bramleyridge/gateway';
import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

interface Answer {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly code: string | undefined;
}

/** Begins to send a document and returns the request with its answer. */
function begin(port: number, declaredBytes: number) {
  const req = http.request({ host: '127.0.0.1', port, method: 'PUT', agent: false });
  req.setHeader('content-length', declaredBytes);
  const answer = new Promise<Answer>((resolve, reject) => {
    req.on('error', reject);
    req.on('response', (res) => {
      let text = '';
      res.on('data', (part: Buffer) => {
        text += part.toString();
      });
      res.on('end', () => {
        const { error } = JSON.parse(text) as { error?: { code: string } };
        const retryAfter = res.headers['retry-after'];
        resolve({ status: res.statusCode ?? 0, retryAfter, code: error?.code });
      });
    });
  });
  req.write('[');
  return { req, answer };
}

void tap.default.test('a host receives no more documents than its memory holds', async (t) => {
  // Guards against a core host that ends over its memory because several operators send large documents at once.
  const intake = new gateway.DocumentIntake();
  const server = http.createServer((req, res) => {
    intake
      .receive(req, res, async (text) => Promise.resolve(text.length))
      .then(
        (length) => requests.sendJson(res, 200, { length }),
        (err: unknown) => requests.sendRefusal(req, res, requests.toRefusal(err)),
      );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const bytes = gateway.MAX_DOCUMENT_BYTES;

  const tooLarge = begin(port, bytes + 1);
  t.match(await tooLarge.answer, { status: 413, code: 'bodyTooLarge' }, 'one over the limit');

  const held = [begin(port, bytes), begin(port, bytes), begin(port, bytes)];
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const fourth = await begin(port, bytes).answer;
  t.match(fourth, { status: 503, retryAfter: '0.5', code: 'documentsHeld' }, 'one too many');

  held.forEach(({ req }) => req.end(Buffer.alloc(bytes - 1, 'x')));
  const answers = await Promise.all(held.map(({ answer }) => answer));
  t.ok(
    answers.every(({ status }) => status === 200),
    'those that were begun are received',
  );
  const last = begin(port, 2);
  last.req.end(']');
  t.equal((await last.answer).status, 200, 'and later ones too');
});
