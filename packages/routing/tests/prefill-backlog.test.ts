import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

void tap.default.test('the prefill rate is learned from first events', async (t) => {
  const rate = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(rate);
  // An engine with a prefill rate of 14 tokens per millisecond, twice the initial rate.
  for (let n = 0, now = 0; n < 60; n += 1) {
    backlog.add(`c${n}`, 2_800, now);
    now += 200;
    backlog.recordFirstEvent(`c${n}`, now);
  }
  t.ok(Math.abs(rate.getMs(2_800) - 200) < 10, `${Math.round(rate.getMs(2_800))} ms`);
});

void tap.default.test('implausible observations are ignored', async (t) => {
  // A first event that is reported late, or immediately because the whole prompt was cached, says
  // nothing about the engine.
  const rate = new routing.PrefillRate();
  const before = rate.getMs(3_000);
  rate.observe(3_000, 20_000);
  rate.observe(3_000, 1);
  t.equal(rate.getMs(3_000), before);
});

void tap.default.test('waiting prompts add up and are processed one after the other', async (t) => {
  const rate = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(rate);
  const one = rate.getMs(2_100);
  t.equal(backlog.getMs(0), 0);
  backlog.add('c1', 2_100, 0);
  backlog.add('c2', 2_100, 0);
  t.equal(backlog.getMs(0), 2 * one);
  t.equal(backlog.getMs(one / 2), 1.5 * one);
  // The first event of the first prompt is late: nothing behind it can be complete meanwhile.
  t.equal(backlog.getMs(3 * one), one);
  backlog.recordFirstEvent('c1', 3 * one);
  t.ok(backlog.getMs(3 * one) <= 1.1 * rate.getMs(2_100));
  backlog.remove('c2', 3 * one);
  t.equal(backlog.getMs(3 * one), 0);
});

void tap.default.test('a crashed host does not block an engine permanently', async (t) => {
  // Their first events are never reported. Without a limit the engine would get no work for the
  // rest of its lifetime.
  const rate = new routing.PrefillRate();
  const backlog = new routing.PrefillBacklog(rate);
  const one = rate.getMs(3_000);
  ['lost-1', 'lost-2', 'lost-3'].forEach((callId) => backlog.add(callId, 3_000, 0));
  t.ok(backlog.getMs(3 * one) > one, 'they count for a while');
  const later = Array.from({ length: 20 }, (_, n) => backlog.getMs(n * one));
  t.equal(later.at(-1), 0);
});
