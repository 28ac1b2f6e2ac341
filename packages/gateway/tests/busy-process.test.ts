import * as http from 'node:http';
import type * as net from 'node:net';

import * as tap from 'tap';

import * as routedAnswers from '../src/routed-answer.js';

/** Time after an event at which the next one is sent, in milliseconds; below the longest silence. */
const SENT_AFTER_MS = 1_300;

/** Time for which the process is busy then, in milliseconds; until after the longest silence. */
const BUSY_MS = 400;

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];

interface Teardown {
  teardown(handler: () => unknown): void;
}

async function listen(t: Teardown, serve: http.RequestListener): Promise<number> {
  const server = http.createServer(serve);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return (server.address() as net.AddressInfo).port;
}

function get(port: number): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    http.get({ host: '127.0.0.1', port, agent: false }, resolve).on('error', reject);
  });
}

/** Keeps this process busy. */
function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

// Guards against a stream that is sent to another engine since this process was busy while its events arrived.
void tap.default.test('events that arrived while the process was busy count', async (t) => {
  let resumes = 0;
  const enginePort = await listen(t, (_req, res) => {
    res.write(EVENTS[0]);
    const sendBusily = () => {
      res.write(EVENTS[1]);
      process.nextTick(() => block(BUSY_MS));
      setTimeout(() => res.end(), 2 * BUSY_MS);
    };
    // The next timers are due after it, and before the next read.
    setTimeout(() => setImmediate(sendBusily), SENT_AFTER_MS);
  });
  const hostPort = await listen(t, (_req, res) => {
    const relay = async () => {
      const body = await get(enginePort);
      const streamed: routedAnswers.StreamedAnswer = {
        kind: 'coming',
        answer: {
          status: 200,
          headers: body.headers,
          body,
          wasReset: () => false,
          recordStopped: () => {},
        },
        upstreamId: 'e-1',
        bytes: Buffer.alloc(0),
        paceMeter: undefined,
        release: () => {},
        recordEvents: () => {},
        confirmEnd: () => Promise.resolve(),
        canResume: () => true,
        recordSilence: () => {},
        resume: () => {
          resumes += 1;
          return Promise.resolve(undefined);
        },
      };
      await routedAnswers.deliverAnswer(res, streamed, true, () => {});
    };
    relay().catch(() => {});
  });
  const answer = await get(hostPort);
  let text = '';
  for await (const part of answer.setEncoding('utf8')) {
    text += String(part);
  }
  t.equal(text, EVENTS.join(''));
  t.equal(resumes, 0);
});
