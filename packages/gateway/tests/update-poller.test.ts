import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

import * as coreLinks from '../src/update-poller.js';
import type * as coreMeshes from '../src/core-mesh.js';
import type * as procedures from '../src/core-procedures.js';

/** A link to one core host whose word the test sets; gives what the entry host was told to trust. */
function createLink(clock: schemas.VirtualClock, news: () => procedures.UpdatesRes) {
  const trusted: boolean[] = [];
  const api = { news: { mutate: async () => Promise.resolve(news()) } };
  const link = new coreLinks.UpdatePoller({
    mesh: { get: () => api } as unknown as coreMeshes.CoreMesh,
    listSeeds: () => ['127.0.1.1:1'],
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
    createRequest: (waitMs) => ({ hostId: 'h', version: -1, listStamp: '', waitMs }),
    onUpdates: (_news, isTrusted) => {
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

/** Hosts that start at once, without a leader for a while, at core hosts that count their questions. */
async function playStart(hostCount: number, leaderlessMs: number) {
  const clock = new schemas.VirtualClock();
  const rng = xoroshiro.xoroshiro128plus(hostCount);
  const random = () => (rng.next() >>> 0) / 2 ** 32;
  const state = { questions: 0, informed: new Map<number, number>() };
  const api = {
    news: {
      mutate: async (): Promise<procedures.UpdatesRes> => {
        state.questions += 1;
        await clock.sleep(1);
        return { isCurrent: clock.now() >= leaderlessMs, leader: undefined, cores: [] };
      },
    },
  };
  const links = Array.from({ length: hostCount }, (_, i) => {
    const link = new coreLinks.UpdatePoller({
      mesh: { get: () => api } as unknown as coreMeshes.CoreMesh,
      listSeeds: () => ['c1:1', 'c2:1', 'c3:1'],
      clock,
      log: new schemas.SilentLog(),
      random,
      createRequest: (waitMs) => ({ hostId: `h${i}`, version: -1, listStamp: '', waitMs }),
      onUpdates: (news) => {
        if (news.isCurrent && !state.informed.has(i)) {
          state.informed.set(i, clock.now());
          link.stop();
        }
      },
    });
    void link.run();
    return link;
  });
  await clock.advance(leaderlessMs);
  const perHost = state.questions / hostCount;
  await clock.advance(600);
  links.forEach((link) => link.stop());
  await clock.advance(1_000);
  return { perHost, informed: [...state.informed.values()] };
}

// Guards against hundreds of hosts that ask a hundred times a second each while core hosts elect their leader.
void tap.default.test('350 hosts that start at once do not flood the core hosts', async (t) => {
  const leaderlessMs = 1_500;
  const { informed, perHost } = await playStart(350, leaderlessMs);
  t.ok(perHost <= 15, `${perHost.toFixed(1)} questions a host in ${leaderlessMs} ms`);
  t.equal(informed.length, 350, 'every host hears of the leader');
  t.ok(Math.max(...informed) - leaderlessMs <= 400, 'soon');
});
