import * as tap from 'tap';

import * as callSchedulingServices from '../src/call-scheduling-service.js';
import * as sites from './support/small-site.js';

/** Records how slots are returned instead of returning them, by the id of the call. */
function recordResults(t: { teardown(handler: () => unknown): void }): Map<string, string> {
  const results = new Map<string, string>();
  const { prototype } = callSchedulingServices.CallSchedulingService;
  const { release } = prototype;
  prototype.release = function record(req) {
    results.set(req.callId.split('~')[0]!, req.result);
    release.call(this, req);
  };
  t.teardown(() => {
    prototype.release = release;
  });
  return results;
}

// Guards against upstreams that count as fast because they reject invalid calls at once.
void tap.default.test('only served calls show how long calls take', async (t) => {
  const results = recordResults(t);
  const site = new sites.SmallSite(t);
  site.capacitySharing = { teamWeights: {} };
  await site.addUpstream('app-1', 'app', (req, res) => {
    const callId = req.headers['call-id']?.toString() ?? '';
    res.writeHead(Number(/\d{3}/.exec(callId)?.[0] ?? 200), { 'call-id': callId }).end();
  });
  await site.start(3);
  await site.declare({});
  await site.until('served', async () => (await site.call('/plain/x', {}, '')).status === 200);
  for (const status of [200, 404, 500]) {
    const res = await site.call('/plain/x', { 'call-id': `c-${status}` }, '');
    t.equal(res.status, status);
  }
  await site.until('returned', () => results.has('c-500'));
  const returned = [200, 404, 500].map((status) => results.get(`c-${status}`));
  t.same(returned, ['answered', 'unused', 'failed']);
});
