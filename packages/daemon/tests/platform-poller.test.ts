import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as platformPollers from '../src/platform-poller.js';

void tap.default.test('a daemon that becomes the relay polls the list at once', async (t) => {
  // The zone has just started and no daemon has read the list. Without the signal, every daemon of
  // the zone would have no upstreams and not be ready until the next poll a second later. The
  // virtual clock of this test does not advance, so only the signal can trigger the poll.
  const platform = new fakes.FakePlatform(0);
  const url = await platform.listen();
  const activeChanged = new schemas.ChangeSignal();
  let isActive = false;
  const taken = new Promise<readonly schemas.Upstream[]>((resolve) => {
    const poller = new platformPollers.PlatformPoller({
      url,
      availabilityZone: 'a',
      clock: new schemas.VirtualClock(),
      log: new schemas.SilentLog(),
      isActive: () => isActive,
      activeChanged,
      onUpstreams: (upstreams) => {
        poller.stop();
        resolve(upstreams);
      },
    });
    void poller.run();
  });
  isActive = true;
  activeChanged.notify();
  t.same(await taken, []);
  platform.kill();
});
