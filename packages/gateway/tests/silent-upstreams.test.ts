import type * as http from 'node:http';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Time for which the upstreams are silent, in milliseconds. */
const SILENCE_MS = 1_200;

/** Answers calls, but for a while when it is silent. */
class PausingUpstream {
  public runs = 0;
  private readonly held: (() => void)[] = [];
  private isSilent = false;

  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    const reply = () => {
      if (req.url !== '/health') {
        this.runs += 1;
      }
      res.writeHead(200, { 'call-id': String(req.headers['call-id'] ?? ''), 'content-length': 2 });
      res.end('ok');
    };
    if (this.isSilent) {
      this.held.push(reply);
    } else {
      setTimeout(reply, 10);
    }
  }

  public pause(): void {
    this.isSilent = true;
    setTimeout(() => {
      this.isSilent = false;
      this.held.splice(0).forEach((reply) => reply());
    }, SILENCE_MS);
  }
}

// Guards against upstreams that are sound and silent for a second being taken for ended, or their paths for lost.
void tap.default.test('all upstreams are silent for a second', async (t) => {
  const site = new smallSites.SmallSite(t);
  await site.start(3);
  await site.addEntry();
  const upstreams = [new PausingUpstream(), new PausingUpstream(), new PausingUpstream()];
  for (const [i, upstream] of upstreams.entries()) {
    await site.addUpstream(`app-${i}`, 'app', (req, res) => upstream.answer(req, res));
  }
  await site.declare({});
  await site.until('serving', async () => (await site.call('/once/x')).status === 200);
  await site.until('relays known', () => site.entry.countRelays() > 0);
  const before = upstreams.reduce((sum, { runs }) => sum + runs, 0);
  upstreams.forEach((upstream) => upstream.pause());
  const calls = Array.from({ length: 30 }, (_, i) =>
    site.call(i % 2 === 0 ? '/plain/x' : '/once/x', { 'call-id': `c${i}`, patience: '4000' }),
  );
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  t.same(
    statuses.filter((status) => status !== 200),
    [],
    'every call is served when the upstreams go on',
  );
  t.equal(upstreams.reduce((sum, { runs }) => sum + runs, 0) - before, 30, 'each ran once');
  const events = site.lines.map(({ event }) => event);
  t.notOk(events.includes('path-blocked'), 'no path is taken for lost');
  t.notOk(events.includes('process-ended'), 'no process is taken for ended');
});
