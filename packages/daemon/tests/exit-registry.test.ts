import * as tap from 'tap';

import * as exitRegistries from '../src/exit-registry.js';

function createRegistry() {
  const time = { now: 100_999 };
  return { time, registry: new exitRegistries.ExitRegistry(() => time.now) };
}

// Guards against one exit that counts as two because a busy daemon notices late that its calls were lost.
void tap.default.test('calls sent before an exit were lost by it', async (t) => {
  const { registry, time } = createRegistry();
  const first = registry.identify('engine-1', 50);
  time.now += 5_000;
  t.equal(registry.identify('engine-1', 5_001), first, 'sent before the exit');
  t.equal(registry.identify('engine-1', 4_000), first, 'sent shortly after it');
  t.not(registry.identify('engine-2', 5_001), first, 'another upstream');
  t.not(registry.identify('engine-1', 2_000), first, 'sent to the next process');
});

// Guards against one exit that counts as two because two daemons noticed it on either side of a full second.
void tap.default.test('daemons agree on an exit', async (t) => {
  const one = createRegistry();
  const other = createRegistry();
  other.time.now += 3;
  const seen = one.registry.identify('engine-1', 0);
  const seenElsewhere = other.registry.identify('engine-1', 0);
  t.equal(one.registry.translate(seenElsewhere), seen);
  t.equal(other.registry.translate(seen), seenElsewhere);
  t.equal(one.registry.translate('engine-1@200000'), 'engine-1@200000', 'a later exit');
  t.equal(one.registry.translate('engine-3'), 'engine-3', 'no exit');
});

// Guards against exits of the past that are taken for the next one after many others.
void tap.default.test('exits of many upstreams are kept', async (t) => {
  const { registry, time } = createRegistry();
  const ids = Array.from({ length: 500 }, (_, i) => registry.identify(`engine-${i}`, 0));
  time.now += 10_000;
  ids.forEach((id, i) => registry.identify(`engine-${i}`, 11_000) === id || t.fail(id));
  t.pass('all known');
});
