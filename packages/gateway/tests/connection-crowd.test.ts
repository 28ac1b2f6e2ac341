import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as url from 'node:url';

import * as tap from 'tap';

// Guards against a host that reads every request of a crowd of new connections and answers none of them in time. The
// load balancer sends most new connections of a region to one host for some seconds.

/** Processor time that the host spends on a request, in milliseconds; it can answer 100 requests a second. */
const REQUEST_MS = 10;

/** New connections per second before and during the crowd. */
const CALM_PER_S = 20;
const CROWD_PER_S = 300;

/** Time within which the host has to have adapted to the crowd, in milliseconds. */
const ADAPTATION_MS = 3_000;

const CALM_MS = 2_000;
const CROWD_MS = 8_000;

/** Time after which a caller gives up, in milliseconds. */
const PATIENCE_MS = 1_000;

/** Lowest share of the requests that the host reads, and of those on kept connections, that is served in time. */
const MIN_SERVED_SHARE = 0.75;

/** Interval between two requests on the kept connection, in milliseconds. */
const KEPT_PAUSE_MS = 100;

type Result = 'late' | 'served' | 'unread';

async function startHost(t: tap.Test): Promise<number> {
  const main = url.fileURLToPath(new URL('./support/busy-listener-main.js', import.meta.url));
  const child = childProcess.fork(main, [String(REQUEST_MS)]);
  t.teardown(() => child.disconnect());
  return new Promise((resolve) => {
    child.once('message', (port) => resolve(Number(port)));
  });
}

/** Sends one request; a connection that is closed before any answer was not read. */
function send(port: number, agent: http.Agent | false): Promise<Result> {
  return new Promise((resolve) => {
    const req = http.get({ host: '127.0.0.1', port, agent }, (res) => {
      res.resume();
      res.on('end', () => resolve('served'));
      res.on('error', () => resolve('late'));
    });
    const timer = setTimeout(() => {
      resolve('late');
      req.destroy();
    }, PATIENCE_MS);
    req.on('error', () => resolve('unread'));
    req.on('close', () => clearTimeout(timer));
  });
}

async function sendAtRate(port: number, perS: number, durationMs: number): Promise<Result[]> {
  const startedAt = performance.now();
  const results: Promise<Result>[] = [];
  for (;;) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= durationMs) {
      return Promise.all(results);
    }
    while (results.length < (elapsedMs * perS) / 1_000) {
      results.push(send(port, false));
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

function getServedShare(results: readonly Result[]): number {
  const read = results.filter((result) => result !== 'unread');
  return read.filter((result) => result === 'served').length / Math.max(1, read.length);
}

void tap.default.test('a crowd of new connections at one host', async (t) => {
  const port = await startHost(t);
  const calm = await sendAtRate(port, CALM_PER_S, CALM_MS);
  t.equal(getServedShare(calm), 1, 'all requests are served before');
  t.notOk(calm.includes('unread'), 'and no connection is closed');

  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  const kept: Result[] = [];
  let isCrowded = true;
  const keptDone = (async () => {
    while (isCrowded) {
      kept.push(await send(port, agent));
      await new Promise((resolve) => {
        setTimeout(resolve, KEPT_PAUSE_MS);
      });
    }
  })();
  await sendAtRate(port, CROWD_PER_S, ADAPTATION_MS);
  const keptBefore = kept.length;
  const crowd = await sendAtRate(port, CROWD_PER_S, CROWD_MS);
  isCrowded = false;
  await keptDone;
  const read = crowd.filter((result) => result !== 'unread');
  const share = getServedShare(crowd);
  t.ok(share >= MIN_SERVED_SHARE, `${share.toFixed(3)} of ${read.length} read requests served`);
  t.ok(read.length >= (CALM_PER_S * CROWD_MS) / 1_000, `${read.length} requests read`);
  const keptShare = getServedShare(kept.slice(keptBefore));
  t.ok(keptShare >= MIN_SERVED_SHARE, `${keptShare.toFixed(3)} of kept connections' requests`);
});
