import * as scheduling from '@bramleyridge/scheduling';
import * as tap from 'tap';

const TOTAL_MS = 10_000;
const SLOTS = 16;

/** Counts the calls that an upstream gets that closes each connection at once, but for one that hangs. */
function countSends(): number {
  const trial = new scheduling.SendTrial();
  let sends = 0;
  let hasHung = false;
  for (let now = 0; now < TOTAL_MS; now += 1) {
    for (let slot = hasHung ? 1 : 0; slot < SLOTS && trial.mayReceive(now); slot += 1) {
      const isOn = trial.isOn(now);
      sends += 1;
      trial.recordSend(sends, now);
      if (isOn && !hasHung) {
        hasHung = true;
      } else {
        trial.recordEnd(sends, false, now);
      }
    }
  }
  return sends;
}

// Guards against calls without limit to an upstream that closes connections, since a call on trial there never ends.
void tap.default.test('a call that hangs ends no trial for good', async (t) => {
  const sends = countSends();
  t.ok(sends <= 60, `${sends} calls in ${TOTAL_MS} ms`);
  return Promise.resolve();
});
