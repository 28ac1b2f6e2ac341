import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as coreLinks from '../src/core-link.js';
import type * as coreMeshes from '../src/core-mesh.js';
import type * as procedures from '../src/core-procedures.js';

/** A link to one core host whose word the test sets; gives what the entry host was told to trust. */
function createLink(clock: schemas.VirtualClock, news: () => procedures.NewsRes) {
  const trusted: boolean[] = [];
  const api = { news: { mutate: async () => Promise.resolve(news()) } };
  const link = new coreLinks.CoreLink({
    mesh: { get: () => api } as unknown as coreMeshes.CoreMesh,
    listSeeds: () => ['127.0.1.1:1'],
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
    createAsk: (waitMs) => ({ hostId: 'h', version: -1, listStamp: '', waitMs }),
    take: (_news, isTrusted) => {
      trusted.push(isTrusted);
    },
  });
  return { link, trusted };
}

void tap.default.test(
  'a host that has just started does not serve by the word of one that may be behind',
  async (t) => {
    // The entry host has no disk and has forgotten what was in force. The core host that answers hears no leader, so
    // what it has may be old; serving by it would undo an acknowledged change. After a while nothing better will
    // come, as in a zone that is cut off, and the host serves what it can.
    const clock = new schemas.VirtualClock();
    let isCurrent = false;
    const { link, trusted } = createLink(clock, () => ({ isCurrent, cores: [] }));
    void link.run();
    await clock.advance(2_000);
    t.ok(trusted.length > 0 && trusted.every((isTrusted) => !isTrusted), 'its word is not trusted');
    await clock.advance(2_000);
    t.equal(trusted.at(-1), true, 'until nothing better can be had');
    link.stop();

    const second = createLink(clock, () => ({ isCurrent, cores: [] }));
    isCurrent = true;
    void second.link.run();
    await clock.advance(100);
    t.equal(second.trusted[0], true, 'the word of one that hears the leader is enough at once');
    second.link.stop();
    await clock.advance(1_000);
  },
);
