import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as faultyServices from './support/faulty-service.js';

/** Time within which a call to a service ends, in milliseconds; below its time limit. */
const AT_ONCE_MS = 4_000;

/** The most bytes that may be written on one connection, in bytes: those that are read, and the buffers of sockets. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

/** The largest growth of the memory of the process with all daemons, in bytes; that of the smallest machine. */
const MAX_GROWTH_BYTES = 192 * 1024 * 1024;

const { ENDLESS_BODIES, ENDLESS_HEADS } = fakes;

const SERVICE_KINDS = {
  ...ENDLESS_HEADS,
  ...ENDLESS_BODIES,
  'a failure': fakes.ENDLESS_FAILURE,
  'longer than stated': fakes.LONGER_THAN_STATED,
  'bytes after an answer': fakes.ENDLESS_AFTER_ANSWER,
};

/** Kinds that bring a whole answer before bytes that are none. */
const WHOLE_BEFORE = new Set(['longer than stated', 'bytes after an answer']);

for (const way of ['direct', 'through another host']) {
  // Guards against a daemon that keeps the endless bytes of a faulty service, its own or those that it relays.
  void tap.default.test(`endless answers of a service: ${way}`, async (t) => {
    const deployment = await faultyServices.startDeployment(t);
    const url = deployment.getUrl(0);
    const known = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'booking-a')!;
    if (way !== 'direct') {
      deployment.dialers.get('a-1')!.cut('reset');
      await deployment.waitUntil('relayed', async () => {
        const { status } = await faultyServices.callService(url, 'booking', 'slots/1');
        return status === 200;
      });
    }
    for (const [kind, bytes] of Object.entries(SERVICE_KINDS)) {
      await t.test(kind, async (tt) => {
        const endless = new fakes.EndlessUpstream(bytes);
        const address = await endless.listen();
        tt.teardown(() => endless.close());
        const upstreamId = `faulty-${kind.replaceAll(' ', '-')}`;
        const faulty = { ...known, upstreamId, service: 'faulty', url: `http://${address}` };
        await faultyServices.list(deployment, [...deployment.upstreams, faulty], upstreamId);
        const rssBefore = process.memoryUsage().rss;
        // Calls that are alike would be taken for one bad call.
        for (const target of [`slots/7?${upstreamId}`, `confirms/${upstreamId}`]) {
          const { calls } = endless;
          const [seen, ordinary] = await Promise.all([
            faultyServices.callService(url, 'faulty', target),
            faultyServices.callService(url, 'booking', 'slots/8'),
          ]);
          const allowed = WHOLE_BEFORE.has(kind) ? [200, 502] : [502, 503, 504];
          tt.ok(allowed.includes(seen.status), `status ${seen.status}`);
          tt.ok(seen.status !== 503 || endless.calls === calls, 'what was sent is not refused');
          tt.ok(seen.tookMs < AT_ONCE_MS, `it took ${Math.round(seen.tookMs)} ms`);
          tt.equal(ordinary.status, 200, 'an ordinary call beside it');
        }
        tt.ok(endless.calls > 0, 'it was sent');
        await deployment.waitUntil('closed', () => endless.writing === 0);
        const taken = endless.countTaken() / endless.calls;
        tt.ok(taken < MAX_TAKEN_BYTES, `${taken} bytes taken for each send`);
        const growth = process.memoryUsage().rss - rssBefore;
        tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
      });
    }
  });
}
