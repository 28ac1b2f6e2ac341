import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as coreHostRegistries from '../src/core-host-registry.js';

const ANNOUNCE_INTERVAL_MS = 400;
const HOSTS = [2, 3, 5];

// Guards against a replaced core host that the others contact for ever, since each learns its name from the next again.
void tap.default.test('a core host that is gone is forgotten by all', async (t) => {
  for (const hosts of HOSTS) {
    const clock = new schemas.VirtualClock();
    const ids = Array.from({ length: hosts }, (_, index) => `10.1.0.${index + 1}:7200`);
    const registries = ids.map((id) => new coreHostRegistries.CoreHostRegistry(id, clock));
    registries.forEach((registry) => registry.addNames(ids));
    registries[0]!.addNames(['10.9.9.9:7200']);
    const names = () => registries.flatMap((registry) => registry.listAll());
    for (let round = 0; round < 500; round += 1) {
      for (const [index, from] of registries.entries()) {
        await clock.advance(ANNOUNCE_INTERVAL_MS / hosts);
        const announcement = { coreId: ids[index]!, voterId: `v${index}` };
        const known = from.listAll();
        registries
          .filter((to) => to !== from)
          .forEach((to) => {
            to.recordAnnouncement(announcement);
            to.addNames(known);
            from.addNames(to.listAll());
          });
      }
    }
    t.notOk(names().includes('10.9.9.9:7200'), `after 200 s, ${hosts} hosts`);
  }
});
