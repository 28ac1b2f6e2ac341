import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as streamTimes from '../src/stream-times.js';
import * as queueingUpstreams from './support/queueing-upstream.js';
import * as sites from './support/small-site.js';
import * as fixtures from './support/slot-fixture.js';

/** Lists the samples of the counters that exist only where capacity is shared, without those of histograms. */
async function listSamples(metrics: telemetry.TextMetrics): Promise<string[]> {
  const text = await metrics.render();
  return text
    .split('\n')
    .filter((line) => /^bramleyridge_(team_calls|team_answers|slots)_total/.test(line))
    .map((line) => line.replace('bramleyridge_', ''));
}

// Guards against counts of a team that differ from what the leader decided, and against withdrawn calls that look like
// refusals for want of capacity.
void tap.default.test('slots are counted by team at the leader', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = client.request(fixtures.createAsk('c1'));
  await fixture.clock.advance(10);
  const abort = new AbortController();
  const left = client.request(fixtures.createAsk('c2', { team: undefined }), abort.signal);
  const failed = t.rejects(left, { message: 'left' });
  await fixture.clock.advance(10);
  abort.abort(new Error('left'));
  await fixture.clock.advance(10);
  await failed;
  const late = client.request(fixtures.createAsk('c3', { dueInMs: 30, leftMs: 30, priority: 7 }));
  await fixture.clock.advance(100);
  t.equal((await late).slot, undefined);
  (await first).slot!.releaseUnused();
  await fixture.clock.advance(10);
  t.same(await listSamples(fixture.metrics), [
    'team_calls_total{service="app",team="x",priority="0",result="asked"} 1',
    'team_calls_total{service="app",team="x",priority="0",result="granted"} 1',
    'team_calls_total{service="app",team="none",priority="0",result="asked"} 1',
    'team_calls_total{service="app",team="x",priority="7",result="asked"} 1',
    'team_calls_total{service="app",team="x",priority="7",result="refused"} 1',
    'slots_total{service="app",decision="granted"} 1',
    'slots_total{service="app",decision="refused"} 1',
  ]);
  t.match(await fixture.metrics.render(), /slot_wait_ms_count\{service="app"\} 2/);
});

// Guards against decisions that a host takes without the leader but that look like the leader's.
void tap.default.test('slots without the leader are counted as such', async (t) => {
  const fixture = new fixtures.SlotFixture();
  fixture.leader = undefined;
  const client = fixture.createClient('h1', 'i1', 1);
  await client.request(fixtures.createAsk('c1'));
  fixture.hostUpstreams = undefined;
  fixture.upstreams = undefined;
  await fixture.createClient('h2').request(fixtures.createAsk('c2'));
  t.same(await listSamples(fixture.metrics), [
    'slots_total{service="app",decision="alone"} 1',
    'slots_total{service="app",decision="unknown"} 1',
  ]);
});

// Guards against answers that are counted as on time although their caller considers them late.
void tap.default.test('a stream is on time by its first event and its gaps', async (t) => {
  const route = { ...sites.createConfig(1).routes[0]!, targetMs: 100, gapTargetMs: 50 };
  const cases = [
    { name: 'no event, at the target', pauses: [], endMs: 100, isOnTime: true },
    { name: 'no event, after the target', pauses: [], endMs: 101, isOnTime: false },
    { name: 'events in time, a long stream', pauses: [100, 50, 50, 50], endMs: 0, isOnTime: true },
    { name: 'a late first event', pauses: [101, 10], endMs: 0, isOnTime: false },
    { name: 'a long gap', pauses: [20, 51, 10], endMs: 0, isOnTime: false },
  ];
  for (const { endMs, isOnTime, name, pauses } of cases) {
    const clock = new schemas.VirtualClock();
    const metrics = new telemetry.SilentMetrics();
    const times = new streamTimes.StreamTimes(clock.now(), route, clock, metrics);
    for (const pauseMs of pauses) {
      await clock.advance(pauseMs);
      times.recordEvents();
    }
    await clock.advance(endMs);
    t.equal(times.isOnTime(), isOnTime, name);
  }
});

// Guards against metrics that appear in a deployment without capacity sharing, and against ones that are missing with it.
[false, true].forEach((isShared) => {
  const name = `calls are counted by team if capacity is shared: ${isShared}`;
  void tap.default.test(name, async (t) => {
    const site = new sites.SmallSite(t);
    site.capacitySharing = isShared ? { teamWeights: {} } : undefined;
    const app = new queueingUpstreams.QueueingUpstream({
      concurrency: 2,
      queueLimit: 2,
      serviceMs: 5,
    });
    await site.addUpstream('app-1', 'app', app.answer);
    await site.start(3);
    const routes = sites.createConfig(1).routes.map((item) => ({ ...item, targetMs: 5_000 }));
    await site.declare({ routes, teams: [{ name: 's1', keys: ['s1'] }] });
    await site.until('served', async () => {
      const { status } = await site.call('/plain/x', { key: 's1' }, '');
      return status === 200;
    });
    await site.call('/plain/x', { key: 's1' }, '');
    const { expectedMs, slowdown } = site.lines.findLast(({ decision }) => decision === 'route')!;
    t.equal(typeof expectedMs, isShared ? 'number' : 'undefined', 'in the line `route`');
    t.equal(slowdown, undefined, 'the upstream states none');
    const hosts = [site.metrics, ...site.coreMetrics];
    const samples = (await Promise.all(hosts.map(listSamples))).flat();
    const expected = [
      /^team_answers_total\{route=".*",team="s1",result="on-time"\}/,
      /^slots_total\{service="app",decision="granted"\}/,
      /^team_calls_total\{service="app",team="s1",priority="\d",result="granted"\}/,
    ];
    expected.forEach((pattern) =>
      t.equal(
        samples.some((line) => pattern.test(line)),
        isShared,
        String(pattern),
      ),
    );
    t.equal(samples.length > 0, isShared, samples.join('; '));
  });
});
