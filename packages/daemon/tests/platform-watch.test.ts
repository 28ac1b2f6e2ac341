import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as platformWatches from '../src/platform-watch.js';

void tap.default.test('a daemon that becomes the relay reads the list at once', async (t) => {
  // Its zone has just started and nobody has read the list. Until the next look a second later every daemon of the zone
  // would have no upstreams and could not be ready. The clock of this test stands still, so only the signal can help.
  const platform = new fakes.FakePlatform(0);
  const url = await platform.listen();
  const dueChanged = new schemas.ChangeSignal();
  let isDue = false;
  const taken = new Promise<readonly schemas.Upstream[]>((resolve) => {
    const watch = new platformWatches.PlatformWatch({
      url,
      availabilityZone: 'a',
      clock: new schemas.VirtualClock(),
      log: new schemas.SilentLog(),
      isDue: () => isDue,
      dueChanged,
      take: (upstreams) => {
        watch.stop();
        resolve(upstreams);
      },
    });
    void watch.run();
  });
  isDue = true;
  dueChanged.notify();
  t.same(await taken, []);
  platform.kill();
});
