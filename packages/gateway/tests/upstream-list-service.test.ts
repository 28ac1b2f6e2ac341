import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as procedures from '../src/core-procedures.js';
import * as listDesks from '../src/upstream-list-service.js';
import * as listReaders from '../src/upstream-list-reader.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'] as const;

function createEngine(engineId: string): schemas.ListedUpstream {
  return listedUpstreams.createListedUpstream(engineId, { address: `${engineId}:1`, slots: 24 });
}

/** A desk over seven engines, which all say that they leave once the test says so; answers come 0 to 6 ms late. */
function createDesk(clock: schemas.VirtualClock) {
  const state = { areLeaving: false, dueSince: 0 as number | undefined, coldUntil: 0 };
  const getColdMs = () => Math.max(0, state.coldUntil - clock.now());
  const engine = {
    slots: 24,
    memoryTokens: 34_000,
    tokensPerEvent: 4,
    canMove: true,
    canBackUp: true,
  };
  const desk = new listDesks.UpstreamListService({
    source: {
      list: async () =>
        Promise.resolve({
          upstreams: ENGINES.map((id) => ({ ...createEngine(id), coldMs: getColdMs() })),
          calls: 1,
          unreadable: 0,
        }),
    },
    probe: {
      isLeaving: async (address) => {
        await clock.sleep(ENGINES.findIndex((id) => address.startsWith(id)));
        return state.areLeaving;
      },
    },
    clock,
    log: new schemas.SilentLog(),
    getSettings: () => ({ listAddress: '127.0.0.1:1', listCallsPerS: 40 }) as never,
    findActiveSince: () => state.dueSince,
    hasRuns: () => true,
    findService: (name) => ({ ...sites.createConfig(1).services[0]!, name, engine }),
  });
  desk.run();
  return { desk, state };
}

void tap.default.test('engines that leave together make one list, packed once', async (t) => {
  // Seven engines are reclaimed at once and say so within a few milliseconds. Each change used to go to every entry host
  // as a list of its own, packed anew for each of them: 28 ms a list with 194 hosts, seven lists in a row, and meanwhile
  // nobody was told where to send a generation and went alone.
  const clock = new schemas.VirtualClock();
  const { desk, state } = createDesk(clock);
  await clock.advance(500);
  const before = desk.getList();
  t.equal(before?.upstreams.length, ENGINES.length);
  const stamps = new Set<string>();
  state.areLeaving = true;
  for (let ms = 0; ms < 300; ms += 1) {
    await clock.advance(1);
    stamps.add(desk.getList()?.stamp ?? '');
  }
  stamps.delete(before?.stamp ?? '');
  t.equal(stamps.size, 1, 'one list tells of all seven');
  t.ok(desk.getList()?.upstreams.every(({ saysLeaving }) => saysLeaving === true));
  t.equal(desk.getPackedList(), desk.getPackedList(), 'the same bytes for every host');
  desk.stop();
});

void tap.default.test('a packed list is the list', async (t) => {
  // A host that took it for another one would ask for it again at once, for ever.
  const list = { stamp: 's1', upstreams: ENGINES.map(createEngine) };
  const news = { isCurrent: true, cores: [] };
  t.same(procedures.findList({ ...news, packedList: procedures.packList(list) }), list);
  t.same(procedures.findList({ ...news, list }), list, 'also from a leader that does not pack');
  t.equal(procedures.findList(news), undefined);
});

// Guards against a list to every host at each reading for as long as some upstream is cold.
void tap.default.test('a cold time that only runs down makes no new list', async (t) => {
  const clock = new schemas.VirtualClock();
  const { desk, state } = createDesk(clock);
  state.coldUntil = 3_000;
  await clock.advance(400);
  const stamps = new Set<string>();
  for (let ms = 0; ms < 2_300; ms += 50) {
    await clock.advance(50);
    stamps.add(desk.getList()?.stamp ?? '');
  }
  t.equal(stamps.size, 1);
  t.ok((desk.getList()?.upstreams[0]?.coldMs ?? 0) > 2_600, 'as it was read first');
  await clock.advance(900);
  t.equal(desk.getList()?.upstreams[0]?.coldMs, 0, 'until it is over');
  state.coldUntil = clock.now() + 2_000;
  await clock.advance(400);
  t.ok((desk.getList()?.upstreams[0]?.coldMs ?? 0) > 1_500, 'or begins anew');
  desk.stop();
});

// Guards against upstreams of minutes ago being handed out by a host that leads again.
void tap.default.test('a list read in a former leadership is not in force', async (t) => {
  const clock = new schemas.VirtualClock();
  const { desk, state } = createDesk(clock);
  await clock.advance(500);
  t.ok(desk.getList());
  state.dueSince = undefined;
  await clock.advance(60_000);
  t.equal(desk.getList(), undefined);
  state.dueSince = clock.now();
  t.equal(desk.getList(), undefined, 'not before it is read anew');
  await clock.advance(50);
  t.ok(desk.getList(), 'which a new leader does at once');
  desk.stop();
});

// Guards against hundreds of hosts that read sixty pages each, because the leader reads them only every few seconds.
void tap.default.test('a list that the leader reads seldom is stale later', async (t) => {
  t.equal(listReaders.getStaleMs(300), 2_000);
  t.equal(listReaders.getStaleMs(2_400), 7_200);
  return Promise.resolve();
});
