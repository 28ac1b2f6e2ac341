import type * as http from 'node:http';
import type * as net from 'node:net';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Descriptors of the hosts; 17 of them are for connections of callers and to upstreams. */
const DESCRIPTORS = 130;
const CALL_CONNECTIONS = 17;

/** Calls that they are enough for, and calls that are made. */
const MAX_CALLS = Math.floor(CALL_CONNECTIONS / 2);
const CALLS = 12;

/** Result of a call whose connection was closed without an answer. */
const CLOSED = 0;

/** Leaves calls unanswered, but for probes, and counts the connections that calls came on. */
class WaitingUpstream {
  public peak = 0;
  private readonly waiting: (() => void)[] = [];
  private readonly sockets = new Set<net.Socket>();

  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    const reply = () => {
      res.writeHead(200, { 'call-id': String(req.headers['call-id'] ?? ''), 'content-length': 2 });
      res.end('ok');
    };
    if (req.url !== '/once/slow') {
      reply();
      return;
    }
    this.sockets.add(req.socket);
    req.socket.once('close', () => this.sockets.delete(req.socket));
    this.peak = Math.max(this.peak, this.sockets.size);
    this.waiting.push(reply);
  }

  public release(): void {
    this.waiting.splice(0).forEach((reply) => reply());
  }
}

// Guards against calls whose connections to upstreams take every descriptor; the host then reaches no other host.
void tap.default.test('calls beyond the descriptors of their host are refused', async (t) => {
  const site = new smallSites.SmallSite(t);
  site.fileDescriptors = DESCRIPTORS;
  await site.start(3);
  await site.addEntry();
  const upstream = new WaitingUpstream();
  await site.addUpstream('app-0', 'app', (req, res) => upstream.answer(req, res));
  await site.declare({});
  await site.until('serving', async () => (await site.call('/once/x')).status === 200);
  const statuses: number[] = [];
  const calls = Array.from({ length: CALLS }, async (_, i) => {
    const { status } = await site
      .call('/once/slow', { 'call-id': `c${i}`, patience: '20000' })
      .catch(() => ({ status: CLOSED }));
    statuses.push(status);
  });
  await site.until('refused', () => statuses.length >= CALLS - MAX_CALLS);
  t.ok(
    statuses.every((status) => status === 503 || status === CLOSED),
    'as not run, or by closing the connection unread',
  );
  t.ok(upstream.peak > 0 && upstream.peak <= MAX_CALLS, `${upstream.peak} calls are sent`);
  upstream.release();
  await Promise.all(calls);
  t.equal(statuses.filter((status) => status === 200).length, upstream.peak, 'and served');
  t.equal((await site.call('/once/x', { 'call-id': 'late' })).status, 200, 'as are later calls');
});
