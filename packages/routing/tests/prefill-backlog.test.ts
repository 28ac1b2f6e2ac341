import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

void tap.default.test('the speed of reading is learned from the prompts', async (t) => {
  const speed = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(speed);
  // An engine that reads 14 tokens a millisecond, twice as fast as taken at first.
  for (let n = 0, now = 0; n < 60; n += 1) {
    backlog.add(`c${n}`, 2_800, now);
    now += 200;
    backlog.recordFirstEvent(`c${n}`, now);
  }
  t.ok(Math.abs(speed.getMs(2_800) - 200) < 10, `${Math.round(speed.getMs(2_800))} ms`);
});

void tap.default.test('what cannot be a reading teaches nothing', async (t) => {
  // A first event that is told late, or at once because the prompt was cached whole, is no measure of the engine.
  const speed = new routing.PrefillRate();
  const before = speed.getMs(3_000);
  speed.observe(3_000, 20_000);
  speed.observe(3_000, 1);
  t.equal(speed.getMs(3_000), before);
});

void tap.default.test('prompts that wait add up and are read one after the other', async (t) => {
  const speed = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(speed);
  const one = speed.getMs(2_100);
  t.equal(backlog.getMs(0), 0);
  backlog.add('c1', 2_100, 0);
  backlog.add('c2', 2_100, 0);
  t.equal(backlog.getMs(0), 2 * one);
  t.equal(backlog.getMs(one / 2), 1.5 * one);
  // The first one's event is late: nothing behind it can have been read meanwhile.
  t.equal(backlog.getMs(3 * one), one);
  backlog.recordFirstEvent('c1', 3 * one);
  t.ok(backlog.getMs(3 * one) <= 1.1 * speed.getMs(2_100));
  backlog.remove('c2', 3 * one);
  t.equal(backlog.getMs(3 * one), 0);
});

void tap.default.test('a host that died does not bar an engine for good', async (t) => {
  // Its prompts are never told to have begun. Without a bound the engine would get no work for as long as it lives.
  const speed = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(speed);
  const one = speed.getMs(3_000);
  ['lost-1', 'lost-2', 'lost-3'].forEach((callId) => backlog.add(callId, 3_000, 0));
  t.ok(backlog.getMs(3 * one) > one, 'for a while they count');
  const later = Array.from({ length: 20 }, (_, n) => backlog.getMs(n * one));
  t.equal(later.at(-1), 0);
});
