import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

import * as updatePollers from '../src/update-poller.js';
import type * as coreMeshes from '../src/core-mesh.js';
import type * as procedures from '../src/core-procedures.js';

/** Creates a poller of one core host whose answers the test sets; collects the `isTrusted` flag of each answer. */
function createPoller(clock: schemas.VirtualClock, answer: () => procedures.UpdatesRes) {
  const trusted: boolean[] = [];
  const api = { news: { mutate: async () => Promise.resolve(answer()) } };
  const poller = new updatePollers.UpdatePoller({
    mesh: { get: () => api } as unknown as coreMeshes.CoreMesh,
    listSeeds: () => ['127.0.1.1:1'],
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
    createRequest: (waitMs) => ({ hostId: 'h', version: -1, listStamp: '', waitMs }),
    onUpdates: (_updates, isTrusted) => {
      trusted.push(isTrusted);
    },
  });
  return { poller, trusted };
}

void tap.default.test(
  'a host that has just started does not serve with state that may be stale',
  async (t) => {
    // The entry host has no disk, so it has no record of the version in force. The core host that answers has no
    // contact with a leader, so its state may be stale, and serving with it would undo an acknowledged change. After a
    // while, as in a partitioned zone, no newer state can be expected, and the host serves with what it has.
    const clock = new schemas.VirtualClock();
    let isCurrent = false;
    const { poller, trusted } = createPoller(clock, () => ({ isCurrent, cores: [] }));
    void poller.run();
    await clock.advance(2_000);
    t.ok(
      trusted.length > 0 && trusted.every((isTrusted) => !isTrusted),
      'its state is not trusted',
    );
    await clock.advance(2_000);
    t.equal(trusted.at(-1), true, 'until no newer state can be expected');
    poller.stop();

    const second = createPoller(clock, () => ({ isCurrent, cores: [] }));
    isCurrent = true;
    void second.poller.run();
    await clock.advance(100);
    t.equal(
      second.trusted[0],
      true,
      'the state of a host in contact with the leader is trusted at once',
    );
    second.poller.stop();
    await clock.advance(1_000);
  },
);

/** Starts hosts at the same time, without a leader at first, and counts the polls that core hosts receive. */
async function simulateStart(hostCount: number, leaderlessMs: number) {
  const clock = new schemas.VirtualClock();
  const rng = xoroshiro.xoroshiro128plus(hostCount);
  const random = () => (rng.next() >>> 0) / 2 ** 32;
  const state = { polls: 0, informed: new Map<number, number>() };
  const api = {
    news: {
      mutate: async (): Promise<procedures.UpdatesRes> => {
        state.polls += 1;
        await clock.sleep(1);
        return { isCurrent: clock.now() >= leaderlessMs, leader: undefined, cores: [] };
      },
    },
  };
  const pollers = Array.from({ length: hostCount }, (_, i) => {
    const poller = new updatePollers.UpdatePoller({
      mesh: { get: () => api } as unknown as coreMeshes.CoreMesh,
      listSeeds: () => ['c1:1', 'c2:1', 'c3:1'],
      clock,
      log: new schemas.SilentLog(),
      random,
      createRequest: (waitMs) => ({ hostId: `h${i}`, version: -1, listStamp: '', waitMs }),
      onUpdates: (updates) => {
        if (updates.isCurrent && !state.informed.has(i)) {
          state.informed.set(i, clock.now());
          poller.stop();
        }
      },
    });
    void poller.run();
    return poller;
  });
  await clock.advance(leaderlessMs);
  const perHost = state.polls / hostCount;
  await clock.advance(600);
  pollers.forEach((poller) => poller.stop());
  await clock.advance(1_000);
  return { perHost, informed: [...state.informed.values()] };
}

// Guards against hundreds of hosts that each poll a hundred times a second while the core hosts elect a leader.
void tap.default.test('350 hosts that start at once do not flood the core hosts', async (t) => {
  const leaderlessMs = 1_500;
  const { informed, perHost } = await simulateStart(350, leaderlessMs);
  t.ok(perHost <= 15, `${perHost.toFixed(1)} polls per host in ${leaderlessMs} ms`);
  t.equal(informed.length, 350, 'every host reaches the leader');
  t.ok(Math.max(...informed) - leaderlessMs <= 400, 'within 400 ms of the election');
});
