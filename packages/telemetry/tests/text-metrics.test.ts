import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

void tap.default.test('counters, histograms and gauges are rendered as text', async (t) => {
  const metrics = new telemetry.TextMetrics();
  metrics.count('calls', { route: 'r1', outcome: 'complete', reason: 'none' });
  metrics.count('calls', { route: 'r1', outcome: 'complete', reason: 'none' });
  metrics.time('callMs', 42, { route: 'r1' });
  let level = 1;
  metrics.registerGauge('activeCalls', () => level);
  level = 7;
  const text = await metrics.render();
  t.match(
    text,
    /bramleyridge_calls_total\{route="r1",outcome="complete",reason="none"\} 2/,
    'a counter',
  );
  t.match(text, /bramleyridge_call_duration_ms_bucket\{le="50",route="r1"\} 1/, 'a histogram');
  t.match(text, /bramleyridge_active_calls 7/, 'a gauge with its value at the time of rendering');
  t.match(text, /# HELP bramleyridge_active_calls /, 'a description');
});

void tap.default.test('the number of label sets is limited', async (t) => {
  // Guards against memory that grows with the number of route names, when an operator declares thousands of routes or
  // renames them with every version. The sum over all label sets stays correct.
  const metrics = new telemetry.TextMetrics();
  for (let i = 0; i < 2_000; i += 1) {
    metrics.count('calls', { route: `r${i}`, outcome: 'complete', reason: 'none' });
  }
  const lines = (await metrics.render())
    .split('\n')
    .filter((line) => line.startsWith('bramleyridge_calls_total{'));
  t.ok(lines.length <= 501, `${lines.length} sets`);
  const sum = lines.reduce((total, line) => total + Number(line.split(' ').at(-1)), 0);
  t.equal(sum, 2_000);
});

void tap.default.test(
  'every metric of the catalogue has a unique name, a description and a unit',
  async (t) => {
    const all = Object.values(telemetry.METRICS);
    t.equal(new Set(all.map(({ name }) => name)).size, all.length);
    all.forEach(({ help, kind, name }) => {
      t.ok(help.length > 10, name);
      t.equal(
        kind === 'counter',
        name.endsWith('_total'),
        `${name} has the suffix of a counter if and only if it is one`,
      );
      t.ok(kind !== 'histogram' || name.endsWith('_ms'), `${name} ends in its unit`);
    });
  },
);
