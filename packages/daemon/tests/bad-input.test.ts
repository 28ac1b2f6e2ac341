import * as net from 'node:net';

import * as fc from 'fast-check';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { operator, sales } = deployments.TOKENS;
const CHAT = '/v1/chat/completions';

interface Answer {
  readonly status: number;
  readonly outcome: string | null;
  readonly code: string | undefined;
}

async function post(
  url: string,
  path: string,
  body: string,
  headers: Record<string, string> = { authorization: `Bearer ${sales}` },
): Promise<Answer> {
  const res = await fetch(`${url}${path}`, { method: 'POST', headers, body });
  const text = await res.text();
  const json = JSON.parse(text === '' ? '{}' : text) as { error?: { code: string } };
  return {
    status: res.status,
    outcome: res.headers.get('bramleyridge-outcome'),
    code: json.error?.code,
  };
}

/** Writes raw bytes in pieces and resolves to everything received until the connection closes. */
function writeRaw(url: string, pieces: readonly string[], everyMs: number): Promise<string> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    let text = '';
    const socket = net.connect(Number(port), hostname);
    const rest = [...pieces];
    const timer = setInterval(() => {
      const piece = rest.shift();
      if (piece !== undefined && !socket.destroyed) {
        socket.write(piece);
      }
    }, everyMs);
    const settle = () => {
      clearInterval(timer);
      resolve(text);
    };
    socket.on('data', (part) => {
      text += part.toString('utf8');
    });
    socket.on('close', settle);
    socket.on('error', () => {});
  });
}

void tap.default.test(
  'invalid input is refused with a specific error and the daemon keeps serving',
  async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1);
    await deployment.start(t);
    const url = deployment.getUrl(0);
    const body = JSON.stringify(callers.createBody(5));

    await t.test('every error has its own code, and nothing runs', async (t2) => {
      const cases = [
        { name: 'malformed JSON', body: '{"model":', status: 400, code: 'badBody' },
        { name: 'a wrong type', body: '{"model":7,"prompt":"x"}', status: 400, code: 'badBody' },
        {
          name: 'neither prompt nor messages',
          body: '{"model":"drafter"}',
          status: 400,
          code: 'badBody',
        },
        {
          name: 'an unknown model',
          body: '{"model":"x","prompt":"x"}',
          status: 404,
          code: 'noModel',
        },
        {
          name: 'a body too large',
          body: `{"x":"${'y'.repeat(300_000)}"}`,
          status: 413,
          code: 'bodyTooLarge',
        },
        {
          name: 'a wrong token',
          body,
          status: 401,
          code: 'teamToken',
          headers: { authorization: 'Bearer x' },
        },
        { name: 'no token', body, status: 401, code: 'teamToken', headers: {} },
        { name: 'no such route', body, status: 404, code: 'noRoute', path: '/v1/nothing' },
        { name: 'no such service', body, status: 404, code: 'noService', path: '/services/x/y' },
      ];
      for (const { name, status, code, path, headers, ...rest } of cases) {
        const answer = await post(url, path ?? CHAT, rest.body, headers as never);
        t2.same(answer, { status, outcome: 'not-run', code }, name);
      }
      t2.equal(deployment.engines[0]!.record.size, 0);
    });

    await t.test(
      'a client that sends its body too slowly is refused after the time limit',
      async (t2) => {
        const head = `POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sales}\r\ncontent-length: 500\r\n\r\n`;
        const answer = await writeRaw(url, [head, ...'{"model":"drafter"'.split('')], 100);
        t2.match(answer, /^HTTP\/1\.1 408 /);
        t2.match(answer, /bodyTooSlow/);
      },
    );

    await t.test('headers above the size limit are refused', async (t2) => {
      const head = `GET /v1/models HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`;
      t2.match(await writeRaw(url, [head], 1), /^HTTP\/1\.1 431 /);
    });

    await t.test(
      'arbitrary bodies on the routes of callers and operators are answered',
      async (t2) => {
        const paths = fc.constantFrom(
          CHAT,
          '/v1/completions',
          '/services/booking/confirms',
          '/operator/v1/plans',
          '/operator/v1/plans/plan-1/confirm',
          '/operator/v1/voters',
        );
        const anything = fc.oneof(
          fc.json(),
          fc.string(),
          fc.json().map((text) => text.slice(0, -1)),
        );
        const property = fc.asyncProperty(paths, anything, async (path, text) => {
          const token = path.startsWith('/operator') ? operator : sales;
          const answer = await post(url, path, text, { authorization: `Bearer ${token}` });
          return answer.status >= 200 && answer.status < 503;
        });
        await t2.resolves(fc.assert(property, { numRuns: 150, seed: 20261202 }));
      },
    );

    await t.test('requests are still served afterwards', async (t2) => {
      t2.ok(callers.isWhole(await callers.stream(url, sales, 15), 15));
    });
  },
);
