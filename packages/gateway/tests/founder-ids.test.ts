import * as tap from 'tap';

import * as hostSettings from '../src/host-settings.js';

const SEEDS = ['10.0.0.1:7000', '10.0.0.1:7000', 'no address', '10.0.0.3:7000'];

function createSettings(
  isFirstStart: boolean,
  seeds: readonly string[],
): hostSettings.HostSettings {
  const usable = seeds.filter((seed) => !seed.includes(' '));
  const unusableSeeds = seeds.filter((seed) => seed.includes(' '));
  return { isFirstStart, peerPort: 1, seeds: usable, unusableSeeds } as never;
}

// Guards against a second log, founded by a majority of the founders that a host can read.
void tap.default.test('seeds that are no addresses count as founders', async (t) => {
  const ids = hostSettings.listFounderIds(createSettings(true, SEEDS));
  t.equal(ids.length, 3, 'each host once');
  t.equal(ids.at(-1), 'no address');
  t.same(hostSettings.listFounderIds(createSettings(false, SEEDS)), [], 'at the first start only');
  return Promise.resolve();
});
