import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as procedures from '../src/core-procedures.js';
import * as upstreamListServices from '../src/upstream-list-service.js';
import * as upstreamListReaders from '../src/upstream-list-reader.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'] as const;

function createEngine(engineId: string): schemas.ListedUpstream {
  return listedUpstreams.createListedUpstream(engineId, { address: `${engineId}:1`, slots: 24 });
}

/** Creates a service with seven engines, which all report leaving once the test sets so, with delays of 0 to 6 ms. */
function createService(clock: schemas.VirtualClock, readMs = 0) {
  const state = { areLeaving: false, activeSince: 0 as number | undefined, coldUntil: 0 };
  const getColdMs = () => Math.max(0, state.coldUntil - clock.now());
  const engine = {
    slots: 24,
    memoryTokens: 34_000,
    tokensPerEvent: 4,
    canMove: true,
    canBackUp: true,
  };
  const service = new upstreamListServices.UpstreamListService({
    source: {
      list: async () => {
        await clock.sleep(readMs);
        return {
          upstreams: ENGINES.map((id) => ({ ...createEngine(id), coldMs: getColdMs() })),
          calls: 1,
          unreadable: 0,
        };
      },
    },
    probe: {
      probe: async (address) => {
        await clock.sleep(ENGINES.findIndex((id) => address.startsWith(id)));
        return { isLeaving: state.areLeaving, notice: requests.EMPTY_NOTICE, load: undefined };
      },
    },
    clock,
    log: new schemas.SilentLog(),
    getSettings: () => ({ listAddress: '127.0.0.1:1', listCallsPerS: 40 }) as never,
    findActiveSince: () => state.activeSince,
    hasRuns: () => true,
    onLoad: () => {},
    gate: requests.createLocalGate(clock, new schemas.SilentLog()),
    findService: (name) => ({ ...sites.createConfig(1).services[0]!, name, engine }),
  });
  service.run();
  return { service, state };
}

void tap.default.test('engines that leave together cause one new list, encoded once', async (t) => {
  // Seven engines are reclaimed at once and report it within a few milliseconds. If each change went to every entry
  // host as a separate list that is encoded for each of them, a list would take 28 ms with 194 hosts. During seven
  // lists in a row placement requests would go unanswered, and hosts would use fallback placement.
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  await clock.advance(500);
  const before = service.getList();
  t.equal(before?.upstreams.length, ENGINES.length);
  const stamps = new Set<string>();
  state.areLeaving = true;
  for (let ms = 0; ms < 300; ms += 1) {
    await clock.advance(1);
    stamps.add(service.getList()?.stamp ?? '');
  }
  stamps.delete(before?.stamp ?? '');
  t.equal(stamps.size, 1, 'one list contains all seven reports');
  t.ok(service.getList()?.upstreams.every(({ saysLeaving }) => saysLeaving === true));
  t.notOk(
    service.getList()?.upstreams.some(({ hasStatedLeaving }) => hasStatedLeaving === true),
    'a report to a probe may be dropped',
  );
  t.equal(service.getPackedList(), service.getPackedList(), 'the same bytes for every host');
  service.stop();
});

// Guards against hosts that go on sending to an upstream which has told one of them that it leaves.
void tap.default.test('what leaves by its own statement is marked for all hosts', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service } = createService(clock);
  await clock.advance(500);
  const { upstreamId } = service.getList()!.upstreams[2]!;
  service.recordLeaving([upstreamId, 'unknown']);
  await clock.advance(20);
  const marked = () => service.getList()!.upstreams.filter(({ saysLeaving }) => saysLeaving);
  t.same(
    marked().map((item) => item.upstreamId),
    [upstreamId],
  );
  await clock.advance(10_000);
  t.equal(marked().length, 1, 'for good');
  t.equal(marked()[0]?.hasStatedLeaving, true);
  service.stop();
});

// Guards against a new leader that drops what hosts report to it before it has read the platform's list.
void tap.default.test('a statement reported before the first read is kept', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock, 100);
  service.recordLeaving(['e3', 'unknown']);
  await clock.advance(500);
  const marked = () =>
    service.getList()!.upstreams.filter(({ hasStatedLeaving }) => hasStatedLeaving === true);
  t.same(
    marked().map((item) => item.upstreamId),
    ['e3'],
  );
  state.activeSince = undefined;
  await clock.advance(1_000);
  service.recordLeaving(['e4']);
  await clock.advance(1_000);
  state.activeSince = clock.now();
  await clock.advance(500);
  t.equal(marked().length, 2, 'nor in a later leadership');
  service.stop();
});

void tap.default.test('an encoded list decodes to the same list', async (t) => {
  // A host that decoded a different list would request it again at once, indefinitely.
  const list = { stamp: 's1', upstreams: ENGINES.map(createEngine) };
  const updates = { isCurrent: true, cores: [] };
  t.same(procedures.findList({ ...updates, packedList: procedures.packList(list) }), list);
  t.same(
    procedures.findList({ ...updates, list }),
    list,
    'also from a leader that does not encode it',
  );
  t.equal(procedures.findList(updates), undefined);
});

// Guards against a new list for every host at each read while some upstream is cold.
void tap.default.test('a cold period that only elapses causes no new list', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  state.coldUntil = 3_000;
  await clock.advance(400);
  const stamps = new Set<string>();
  for (let ms = 0; ms < 2_300; ms += 50) {
    await clock.advance(50);
    stamps.add(service.getList()?.stamp ?? '');
  }
  t.equal(stamps.size, 1);
  t.ok((service.getList()?.upstreams[0]?.coldMs ?? 0) > 2_600, 'as it was read first');
  await clock.advance(900);
  t.equal(service.getList()?.upstreams[0]?.coldMs, 0, 'until it is over');
  state.coldUntil = clock.now() + 2_000;
  await clock.advance(400);
  t.ok((service.getList()?.upstreams[0]?.coldMs ?? 0) > 1_500, 'or starts again');
  service.stop();
});

// Guards against a re-elected leader that distributes a list from minutes ago.
void tap.default.test('a list read in a former leadership is not in force', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  await clock.advance(500);
  t.ok(service.getList());
  state.activeSince = undefined;
  await clock.advance(60_000);
  t.equal(service.getList(), undefined);
  state.activeSince = clock.now();
  t.equal(service.getList(), undefined, 'not before it is read again');
  await clock.advance(50);
  t.ok(service.getList(), 'which a new leader does at once');
  service.stop();
});

// Guards against hundreds of hosts that read sixty pages each because the leader reads the list only every few seconds.
void tap.default.test('a list that the leader reads less often becomes stale later', async (t) => {
  t.equal(upstreamListReaders.getStaleMs(300), 2_000);
  t.equal(upstreamListReaders.getStaleMs(2_400), 7_200);
  return Promise.resolve();
});
