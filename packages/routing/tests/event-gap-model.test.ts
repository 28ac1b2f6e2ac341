import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

void tap.default.test('the usual gap is learned from streams on uneven engines', async (t) => {
  const model = new routing.EventGapModel();
  for (let n = 0; n < 60; n += 1) {
    const factor = n % 3 === 0 ? 1.3 : 1;
    const slowdown = n % 2 === 0 ? 2.5 : 1;
    // One stream in ten ran alone, one in twenty waited for something else.
    const baseMs = n % 10 === 0 ? 33 : 64;
    model.recordGap((n % 20 === 1 ? 900 : baseMs) * factor * slowdown, factor, slowdown);
  }
  t.ok(Math.abs(model.getUsualMs() - 64) < 1, `${model.getUsualMs()} ms`);
});

void tap.default.test('a few streams forecast nothing', async (t) => {
  // Guards against engines that are avoided because one stream was interrupted.
  const model = new routing.EventGapModel();
  for (let n = 0; n < 5; n += 1) {
    model.recordGap(2_000, 1, 1);
  }
  t.equal(model.getUsualMs(), 0);
});

void tap.default.test('the largest slowdown of the pool is expected for ten seconds', async (t) => {
  const model = new routing.EventGapModel();
  t.equal(model.getLargestSlowdown(0), 1);
  t.notOk(model.isStating(0));
  model.recordSlowdown(2.5, 1_000);
  model.recordSlowdown(1, 1_500);
  for (let now = 2_000; now <= 10_000; now += 500) {
    model.recordSlowdown(1, now);
  }
  t.equal(model.getLargestSlowdown(10_000), 2.5);
  t.equal(model.getLargestSlowdown(12_500), 1);
  t.ok(model.isStating(70_000));
  t.notOk(model.isStating(70_001), 'a minute after the last statement');
});
