import * as tap from 'tap';

import * as callSchedulingServices from '../src/call-scheduling-service.js';
import type * as slotMessages from '../src/slot-messages.js';
import * as sites from './support/small-site.js';

/** Records how slots are returned instead of returning them, by the id of the call. */
function recordResults(t: { teardown(handler: () => unknown): void }) {
  const results = new Map<string, Pick<slotMessages.SlotRelease, 'result' | 'hasAnswered'>>();
  const { prototype } = callSchedulingServices.CallSchedulingService;
  const { release } = prototype;
  prototype.release = function record(req) {
    results.set(req.callId.split('~')[0]!, req);
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
  const returned = [200, 404, 500].map((status) => results.get(`c-${status}`)?.result);
  t.same(returned, ['answered', 'unused', 'failed']);
});

// Guards against hosts that don't tell the leader whether an upstream answers at all.
void tap.default.test('a returned slot says whether an answer began', async (t) => {
  const results = recordResults(t);
  const site = new sites.SmallSite(t);
  site.capacitySharing = { teamWeights: {} };
  await site.addUpstream('app-1', 'app', (req, res) => {
    const callId = req.headers['call-id']?.toString() ?? '';
    if (callId === 'c-closed') {
      req.socket.destroy();
      return;
    }
    res.writeHead(Number(/\d{3}/.exec(callId)?.[0] ?? 200), {
      'call-id': callId,
      ...(callId === 'c-503' && { 'not-run': 'full' }),
      ...(callId === 'c-cut' && { 'content-length': 10 }),
    });
    res.write('begun');
    setTimeout(() => (callId === 'c-cut' ? res.destroy() : res.end()), 20);
  });
  await site.start(3);
  await site.declare({});
  await site.until('served', async () => (await site.call('/plain/x', {}, '')).status === 200);
  const shown = { 200: true, 404: true, 500: true, closed: false, 503: true, cut: undefined };
  for (const [name, hasAnswered] of Object.entries(shown)) {
    const callId = `c-${name}`;
    await site.call('/plain/x', { 'call-id': callId }, '');
    await site.until('returned', () => results.has(callId));
    t.equal(results.get(callId)!.hasAnswered, hasAnswered, name);
  }
});
