import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as platformPollers from '../src/platform-poller.js';

void tap.default.test('a daemon that becomes the relay reads the list at once', async (t) => {
  // Its zone has just started and nobody has read the list. Until the next look a second later every daemon of the zone
  // would have no upstreams and could not be ready. The clock of this test stands still, so only the signal can help.
  const platform = new fakes.FakePlatform(0);
  const url = await platform.listen();
  const activeChanged = new schemas.ChangeSignal();
  let isActive = false;
  const taken = new Promise<readonly schemas.Upstream[]>((resolve) => {
    const watch = new platformPollers.PlatformPoller({
      url,
      availabilityZone: 'a',
      clock: new schemas.VirtualClock(),
      log: new schemas.SilentLog(),
      isActive: () => isActive,
      activeChanged,
      onUpstreams: (upstreams) => {
        watch.stop();
        resolve(upstreams);
      },
    });
    void watch.run();
  });
  isActive = true;
  activeChanged.notify();
  t.same(await taken, []);
  platform.kill();
});
