import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

// Guards against sleeps that end at once since they are longer than a timer can be.
void tap.default.test('a sleep of any length does not end early', async (t) => {
  const clock = new schemas.SystemClock();
  for (const ms of [2 ** 31, 1e12, Infinity]) {
    const signal = AbortSignal.timeout(50);
    await t.rejects(clock.sleep(ms, signal), { name: 'TimeoutError' }, `${ms} ms`);
  }
});
