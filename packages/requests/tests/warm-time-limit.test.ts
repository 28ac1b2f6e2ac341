import * as http from 'node:http';
import type * as net from 'node:net';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Time limit of an answer, in milliseconds. */
const ANSWER_MS = 500;

/** Time within which a call whose time is over must end, in milliseconds. */
const MAX_MS = 2_000;

/** Interval at which unused memory is collected, in milliseconds. */
const COLLECT_INTERVAL_MS = 50;

/** Number of calls before, after which the functions of a client are optimized, and how many are made at once. */
const WARM_UP_CALLS = 2_000;
const CONCURRENT_CALLS = 16;

/** Starts a service that answers, but sends only the head of its answer for `/silent`. */
async function startService(t: tap.Test): Promise<schemas.Upstream> {
  const server = http.createServer((req, res) => {
    if (req.url === '/silent') {
      res.writeHead(200, { 'content-length': 10 }).flushHeaders();
    } else {
      res.end('answer');
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    upstreamId: 'u1',
    kind: 'service',
    service: 'booking',
    availabilityZone: 'a',
    url: `http://127.0.0.1:${port}`,
    state: 'live',
    checksFencing: false,
  };
}

for (const isRepeatable of [true, false]) {
  const kind = isRepeatable ? 'repeatable' : 'single';

  // Guards against a time limit that is collected as unused memory once many calls were made, so that a call never ends.
  void tap.default.test(`the time limit of a ${kind} call holds after many calls`, async (t) => {
    v8.setFlagsFromString('--expose-gc');
    const collect = vm.runInNewContext('gc') as () => void;
    const upstream = await startService(t);
    const client = new requests.ServiceClient({
      gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
      connectMs: 300,
      answerMs: ANSWER_MS,
      answerBytes: 10_000,
    });
    const send = (path: string) =>
      client.send(upstream, {
        method: 'GET',
        path,
        headers: {},
        body: Buffer.alloc(0),
        isRepeatable,
      });
    let left = WARM_UP_CALLS;
    const sendOften = async () => {
      while (left > 0) {
        left -= 1;
        // In a process that stands still, one of them may run out of time.
        await send('/confirms').catch(() => {});
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_CALLS }, sendOften));
    const timer = setInterval(collect, COLLECT_INTERVAL_MS);
    t.teardown(async () => {
      clearInterval(timer);
      await client.close();
    });
    const result = send('/silent').then(
      () => 'answered',
      () => 'over',
    );
    const late = new Promise((resolve) => {
      setTimeout(() => resolve('waiting'), MAX_MS);
    });
    t.equal(await Promise.race([result, late]), 'over');
  });
}
