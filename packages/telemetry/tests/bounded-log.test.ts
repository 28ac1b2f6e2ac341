import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

type Line = Record<string, unknown>;

function createLog(clock: schemas.Clock) {
  const lines: Line[] = [];
  const add = (fields: object) => {
    lines.push(fields as Line);
  };
  const metrics = new telemetry.TextMetrics();
  const log = new telemetry.BoundedLog({
    log: { debug: add, info: add, warn: add, error: add },
    clock,
    metrics,
  });
  return { lines, log, metrics };
}

void tap.default.test(
  'a burst of one kind of line suppresses neither failures nor other kinds',
  async (t) => {
    // 5,000 calls a second succeed for two seconds while a few fail. Guards against lost lines about failures, and
    // against an unbounded volume of lines for the log collector.
    const clock = new schemas.VirtualClock();
    const { lines, log, metrics } = createLog(clock);
    for (let i = 0; i < 10_000; i += 1) {
      log.info({ decision: 'outcome', outcome: 'complete', request: `c${i}` });
      if (i % 200 === 0) {
        log.info({ decision: 'outcome', outcome: 'incomplete', request: `f${i}` });
        await clock.advance(40);
      }
    }
    log.warn({ event: 'list-lost' });
    const count = (outcome: string) => lines.filter((line) => line.outcome === outcome).length;
    t.equal(count('incomplete'), 50, 'every failure is logged');
    t.ok(count('complete') <= 160 + 2 * 80, `${count('complete')} successes`);
    t.ok(lines.some((line) => line.event === 'list-lost'));
    const summaries = lines
      .filter((line) => line.event === 'log-lines-left-out')
      .map((line) => (line.counts as Record<string, number>).outcome ?? 0);
    t.ok(
      summaries.length >= 1 && summaries.length <= 3,
      'dropped lines are summarized at most once a second',
    );
    t.match(
      await metrics.render(),
      /bramleyridge_log_lines_left_out_total\{kind="outcome"\} [1-9]\d{3}/,
      'dropped lines are counted in a metric',
    );
  },
);

void tap.default.test('normal load is logged in full', async (t) => {
  const clock = new schemas.VirtualClock();
  const { lines, log } = createLog(clock);
  for (let i = 0; i < 600; i += 1) {
    log.info({ decision: 'route', request: `c${i}` });
    await clock.advance(25);
  }
  t.equal(lines.length, 600, '40 lines a second');
});
