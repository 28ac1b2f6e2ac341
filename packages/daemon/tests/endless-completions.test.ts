import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as endlessEngines from './support/endless-engine.js';
import * as faultyServices from './support/faulty-service.js';
import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

/** Time for which a completion is observed, in milliseconds; its caller then leaves. */
const COMPLETION_MS = 1_500;

/** The most bytes that may be written on one connection, in bytes: those that are read, and the buffers of sockets. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

/** The largest growth of the memory of the process with all daemons, in bytes; that of the smallest machine. */
const MAX_GROWTH_BYTES = 192 * 1024 * 1024;

/** Time for which endless reports are sent, in milliseconds. */
const REPORTS_MS = 2_000;

const { ENDLESS_BODIES, ENDLESS_EVENTS, ENDLESS_HEADS } = fakes;

const COMPLETION_KINDS = {
  'informational responses': ENDLESS_HEADS['informational responses']!,
  'one header value': ENDLESS_HEADS['one header value']!,
  'a body without a length': ENDLESS_BODIES['a body without a length']!,
  'one chunk extension': ENDLESS_BODIES['one chunk extension']!,
  trailers: ENDLESS_BODIES.trailers!,
  'a failure': fakes.ENDLESS_FAILURE,
  ...ENDLESS_EVENTS,
};

const REPORT_KINDS = {
  'informational responses': ENDLESS_HEADS['informational responses']!,
  'a body without a length': ENDLESS_BODIES['a body without a length']!,
  'one chunk extension': ENDLESS_BODIES['one chunk extension']!,
  trailers: ENDLESS_BODIES.trailers!,
  'a failure': fakes.ENDLESS_FAILURE,
};

for (const way of ['direct', 'through another host']) {
  // Guards against a daemon that keeps the endless completion of a faulty engine.
  void tap.default.test(`endless completions: ${way}`, async (t) => {
    const deployment = await faultyServices.startDeployment(t);
    const url = deployment.getUrl(0);
    const engine = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'engine-a-1')!;
    const endless = new endlessEngines.EndlessEngine(Number(new URL(engine.url).port));
    const faulty = { ...engine, upstreamId: 'engine-faulty', url: await endless.listen() };
    t.teardown(() => endless.close());
    await faultyServices.list(
      deployment,
      deployment.upstreams.map((item) => (item === engine ? faulty : item)),
      faulty.upstreamId,
    );
    if (way !== 'direct') {
      deployment.dialers.get('a-1')!.cut('reset');
    }
    await deployment.waitUntil('served', async () => {
      const { outcome } = await callers.stream(url, sales, 10);
      const { status } = await faultyServices.callService(url, 'booking', 'slots/1');
      return outcome === 'complete' && status === 200;
    });
    for (const [kind, bytes] of Object.entries(COMPLETION_KINDS)) {
      for (const isStream of [true, false]) {
        await t.test(`${kind}, ${isStream ? 'streamed' : 'whole'}`, async (tt) => {
          const rssBefore = process.memoryUsage().rss;
          const takenBefore = endless.taken;
          const callsBefore = endless.calls;
          endless.bytes = bytes;
          let received = '';
          const ordinary = faultyServices.callService(url, 'booking', 'slots/9');
          await fetch(`${url}/v1/chat/completions`, {
            method: 'POST',
            headers: { authorization: `Bearer ${sales}` },
            body: JSON.stringify(callers.createBody(100, isStream)),
            signal: AbortSignal.timeout(COMPLETION_MS),
          })
            .then(async (res) => {
              received = `${res.status} ${await res.text()}`;
            })
            .catch(() => {});
          endless.bytes = undefined;
          const { status, tookMs } = await ordinary;
          tt.equal(status, 200, `an ordinary call beside it, after ${Math.round(tookMs)} ms`);
          tt.notOk(received.includes('"outcome":"complete"'), 'no complete answer');
          await deployment.waitUntil('closed', () => endless.writing === 0);
          const sends = endless.calls - callsBefore;
          const taken = (endless.taken - takenBefore) / Math.max(1, sends);
          tt.ok(taken < MAX_TAKEN_BYTES, `${taken} bytes taken for each of ${sends} sends`);
          const growth = process.memoryUsage().rss - rssBefore;
          tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
        });
      }
    }
    t.ok(endless.calls > 0, 'completions were sent');
  });
}

// Guards against a daemon that keeps the endless reports of an engine.
void tap.default.test('endless load reports', async (t) => {
  const deployment = await faultyServices.startDeployment(t);
  const url = deployment.getUrl(0);
  const engine = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'engine-a-1')!;
  for (const [kind, bytes] of Object.entries(REPORT_KINDS)) {
    await t.test(kind, async (tt) => {
      const endless = new fakes.EndlessUpstream(bytes);
      const address = await endless.listen();
      tt.teardown(() => endless.close());
      const upstreamId = `endless-${kind.replaceAll(' ', '-')}`;
      const rssBefore = process.memoryUsage().rss;
      const faulty = { ...engine, upstreamId, url: `http://${address}` };
      await faultyServices.list(deployment, [...deployment.upstreams, faulty], upstreamId);
      await deployment.waitUntil('asked', () => endless.calls > 0);
      await deployments.pause(REPORTS_MS);
      tt.equal((await faultyServices.callService(url, 'booking', 'slots/3')).status, 200);
      deployment.platform.set(deployment.upstreams);
      const taken = endless.countTaken() / Math.max(1, endless.calls);
      tt.ok(taken < MAX_TAKEN_BYTES, `${taken} bytes taken for each of ${endless.calls} calls`);
      const growth = process.memoryUsage().rss - rssBefore;
      tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
    });
  }
});
