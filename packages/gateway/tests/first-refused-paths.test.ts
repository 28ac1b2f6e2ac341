import type * as http from 'node:http';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

function answer(req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(200, { 'call-id': String(req.headers['call-id'] ?? ''), 'content-length': 2 });
  res.end('ok');
}

// Guards against calls that fail as if they might have run, since their host finds its path blocked before it sends them.
void tap.default.test('the first call whose connection is refused is served', async (t) => {
  for (const kind of ['refused', 'reset'] as const) {
    const site = new smallSites.SmallSite(t, 'first');
    await site.start(3);
    await site.addEntry();
    for (const name of ['app-1', 'app-2', 'app-3', 'app-4']) {
      await site.addUpstream(name, 'app', answer);
    }
    await site.declare({});
    await site.until('serving', async () => (await site.call('/once/x')).status === 200);
    await site.until('relays known', () => site.entry.countRelays() > 0);
    site.dialers.get('entry')!.cut(kind);
    const { status } = await site.call('/plain/x', { 'call-id': kind, patience: '4000' });
    t.equal(status, 200, kind);
  }
});
