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
    t.ok(registries[0]!.listOthers().includes('10.9.9.9:7200'));
    const names = () => registries.flatMap((registry) => registry.listOthers());
    for (let round = 0; round < 500; round += 1) {
      for (const [index, from] of registries.entries()) {
        await clock.advance(ANNOUNCE_INTERVAL_MS / hosts);
        const announcement = { coreId: ids[index]!, voterId: `v${index}` };
        const known = from.listHeard();
        registries
          .filter((to) => to !== from)
          .forEach((to) => {
            to.recordAnnouncement(announcement);
            to.addNames(known);
            from.addNames(to.listHeard());
          });
      }
    }
    t.notOk(names().includes('10.9.9.9:7200'), `after 200 s, ${hosts} hosts`);
  }
});

// Guards against a core host that only some of the others ever contact, since nobody passes its name on.
void tap.default.test(
  'a core host that one of the others hears becomes known to all',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const ids = ['10.1.0.1:7200', '10.1.0.2:7200', '10.1.0.3:7200', '10.1.0.4:7200'];
    const registries = new Map(
      ids.map((id) => [id, new coreHostRegistries.CoreHostRegistry(id, clock)] as const),
    );
    // Each knows the one before it.
    ids.slice(1).forEach((id, index) => registries.get(id)!.addNames([ids[index]!]));
    for (let round = 0; round < 5; round += 1) {
      await clock.advance(ANNOUNCE_INTERVAL_MS);
      for (const [id, from] of registries) {
        from.listOthers().forEach((peer) => {
          const to = registries.get(peer)!;
          to.recordAnnouncement({ coreId: id, voterId: id });
          to.addNames(from.listHeard());
          from.addNames(to.listHeard());
        });
      }
    }
    registries.forEach((registry) => t.same(registry.listHeard().sort(), ids));
  },
);
