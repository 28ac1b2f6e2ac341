import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

function createPace(usual = new routing.UsualEventTime()): routing.EnginePace {
  return new routing.EnginePace(usual);
}

void tap.default.test('a stated slowdown is valid for 400 ms', async (t) => {
  // Guards against an engine that is avoided long after a spell of interference.
  const pace = createPace();
  t.equal(pace.getSlowdown(0), 1, 'usual until something is stated');
  pace.applySlowdown(2.5, 100);
  t.equal(pace.getSlowdown(500), 2.5);
  t.equal(pace.getSlowdown(501), 1);
  pace.applySlowdown(2.5, 600);
  pace.applySlowdown(undefined, 700);
  t.equal(pace.getSlowdown(800), 2.5, 'an answer without a slowdown does not replace it');
});

void tap.default.test('the mean and the largest slowdown of a period', async (t) => {
  const pace = createPace();
  [1, 1, 3, 3, 1].forEach((slowdown, i) => pace.applySlowdown(slowdown, i * 200));
  t.equal(pace.getMeanSlowdown(0, 1_000), 1 + (400 * 2) / 1_000);
  t.equal(pace.getMeanSlowdown(500, 700), 3, 'within the spell');
  t.equal(pace.getMeanSlowdown(800, 1_000), 1, 'after it');
  t.equal(pace.getMeanSlowdown(900, 900), 1);
  t.equal(pace.getLargestSlowdown(0, 1_000), 3);
  t.equal(pace.getLargestSlowdown(1_900, 2_000), 1);
  // A probe that was lost: the statement counts for its validity only.
  const silent = createPace();
  silent.applySlowdown(3, 0);
  t.equal(silent.getMeanSlowdown(0, 800), 2);
});

void tap.default.test('statements are forgotten, and long histories stay cheap', async (t) => {
  // Guards against a leader whose memory grows with every probe.
  const pace = createPace();
  for (let now = 0; now < 3_600_000; now += 200) {
    pace.applySlowdown(now < 1_000 ? 4 : 1, now);
  }
  t.equal(pace.getLargestSlowdown(0, 3_600_000), 1);
});

void tap.default.test('one prefill tells the factor, without the stated slowdown', async (t) => {
  const pace = createPace();
  t.equal(pace.getFactor(), undefined);
  [0, 200, 400].forEach((at) => pace.applySlowdown(2.5, at));
  pace.recordPrefill(200, 200 * 1.3 * 2.5, 650);
  t.ok(Math.abs(pace.getFactor()! - 1.3) < 0.01, `${pace.getFactor()}`);
});

void tap.default.test('outliers and implausible observations do not change a factor', async (t) => {
  // Interference that began after the last probe makes a prefill look 2.5 times as long.
  const pace = createPace();
  [1.3, 1.29, 3.2, 1.31, 1.3, 3].forEach((ratio) => pace.recordPrefill(400, 400 * ratio, 0));
  t.ok(Math.abs(pace.getFactor()! - 1.3) < 0.02, `${pace.getFactor()}`);
  const factor = pace.getFactor();
  pace.recordPrefill(400, 10_000, 0);
  pace.recordPrefill(400, 1, 0);
  pace.recordPrefill(0, 100, 0);
  pace.recordStream(NaN, 40, 0);
  pace.recordStream(0, 40, 0);
  pace.recordStream(30, 3, 0);
  t.equal(pace.getFactor(), factor);
});

void tap.default.test('streams tell the factor relative to the pool', async (t) => {
  const usual = new routing.UsualEventTime();
  const paces = Array.from({ length: 9 }, () => createPace(usual));
  for (let n = 0; n < 40; n += 1) {
    paces.forEach((pace, i) => pace.recordStream(i % 3 === 0 ? 39 : 30, 100, n * 1_000));
  }
  const slow = paces[0]!.getFactor()!;
  const fast = paces[1]!.getFactor()!;
  t.ok(Math.abs(slow / fast - 1.3) < 0.02, `${slow} and ${fast}`);
});

void tap.default.test('a stated slowdown may include the factor of the machine', async (t) => {
  // Guards against a slow machine whose factor counts as interference: every engine is then expected
  // to become that slow, so that none is preferred for long generations.
  const slow = createPace();
  [3.25, 1.3, 1.3, 3.25].forEach((stated, i) => slow.applyStatement(stated, i * 200));
  t.equal(slow.getFactor(), 1.3, 'known before the first prompt');
  t.equal(slow.getSlowdown(700), 2.5, 'interference only');
  const usual = createPace();
  t.equal(usual.applyStatement(1, 0), 1);
  t.equal(usual.applyStatement(2.5, 200), 2.5);
  t.equal(usual.getFactor(), undefined, 'may be slow without stating it');
  slow.recordPrefill(200, 240, 600);
  t.ok(Math.abs(slow.getFactor()! - 1.2) < 0.2, 'observations go before statements');
  [1, 1].forEach((stated, i) => slow.applyStatement(stated, 60_000 + i * 30_000));
  t.equal(slow.applyStatement(2.5, 91_000), 2.5, 'a machine that has become faster');
});

void tap.default.test(
  'an impossible pace does not change the usual time of the pool',
  async (t) => {
    // Guards against one invalid report of a host by which all later factors of the pool are out of range.
    const usual = new routing.UsualEventTime();
    const pace = createPace(usual);
    [NaN, Infinity, -Infinity, -30, 1e300].forEach((ms) => pace.recordStream(ms, 40, 10_000));
    t.equal(usual.get(), undefined, 'as the first reports');
    pace.recordStream(30, 40, 10_000);
    pace.recordStream(1e300, 40, 10_000);
    t.equal(usual.get(), 30, 'as later ones');
  },
);
