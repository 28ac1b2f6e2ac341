import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as poolDesks from '../src/placement-service.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

const ENGINE = listedUpstreams.createListedUpstream('e-1');

function createReq(fixedEngineId?: string) {
  return {
    service: 'engines',
    need: {
      callId: 'c1',
      availabilityZone: 'a',
      promptTokens: 100,
      answerTokens: 400,
      leftMs: 4_000,
      excluded: [],
      fixedEngineId,
      wantsCopy: false,
      ranMs: 0,
    },
    patienceMs: 0,
    dueInMs: 1_000,
    rank: 0,
  };
}

function createDesk(clock: schemas.Clock) {
  const state = {
    list: undefined as readonly schemas.ListedUpstream[] | undefined,
    services: sites.createConfig(1).services,
    evacuated: [] as string[],
    revision: 0,
  };
  const desk = new poolDesks.PlacementService({
    clock,
    findService: (name) => state.services.find((service) => service.name === name),
    findUpstreams: () => state.list,
    isEvacuated: (zone) => state.evacuated.includes(zone),
    getEvacuationRevision: () => state.revision,
    coldBounds: { coldOverage: 1.5, coldSlack: 5 },
    retryLimiter: { maxGrants: 1, maxGrantsForNewLeader: 1, windowMs: 1_000 },
  });
  return { desk, state };
}

// Guards against "no room" from a leader that has not read the list of upstreams yet.
void tap.default.test('a leader without a list does not say that a pool is full', async (t) => {
  const { desk, state } = createDesk(new schemas.VirtualClock());
  t.match(await desk.place(createReq()), { placed: undefined, isUnknown: true });
  t.match(
    await desk.place(createReq('e-1')),
    { placed: { engineId: 'e-1' } },
    'but it keeps account',
  );
  state.list = [ENGINE];
  t.match(await desk.place({ ...createReq() }), { placed: { engineId: 'e-1' } });
  state.list = [];
  const full = await desk.place(createReq());
  t.equal(full.placed, undefined);
  t.not(full.isUnknown, true, 'a list without engines is a certain answer');
});

// Guards against a burst onto engines that their list calls cold.
void tap.default.test('cold engines get new work at the rate of their service', async (t) => {
  const clock = new schemas.VirtualClock();
  const { desk, state } = createDesk(clock);
  state.services = state.services.map((service) => ({ ...service, coldCallsPerS: 5 }));
  state.list = [{ ...ENGINE, coldMs: 2_000 }];
  const place = async (callId: string) => {
    const req = createReq();
    return desk.place({ ...req, need: { ...req.need, callId, promptTokens: 1, answerTokens: 10 } });
  };
  const placed = async (count: number) => {
    const all = await Promise.all(
      Array.from({ length: count }, (_, i) => place(`c${clock.now()}-${i}`)),
    );
    all.forEach((_, i) =>
      desk.release({ service: 'engines', callId: `c${clock.now()}-${i}`, hasFailed: false }),
    );
    return all.filter((res) => res.placed !== undefined).length;
  };
  t.equal(await placed(4), 3, '0.6 of 5 in a second, while it is cold');
  await clock.advance(2_100);
  t.equal(await placed(4), 4, 'more when it is warm');
});

// Guards against "no room" for a service that the leader's document lacks and the host's document has.
void tap.default.test('a leader that lacks a service does not say that it is full', async (t) => {
  const { desk, state } = createDesk(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.services = [];
  t.match(await desk.place(createReq()), { placed: undefined, isUnknown: true });
});

// Guards against new work on engines of an evacuated zone, and against runs there being moved away.
void tap.default.test(
  'engines of an evacuated zone get no new work and keep their runs',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { desk, state } = createDesk(clock);
    state.list = [ENGINE, { ...ENGINE, upstreamId: 'e-2', availabilityZone: 'b' }];
    t.match(await desk.place(createReq()), { placed: { engineId: 'e-1' } }, 'the near one');
    state.evacuated = ['a'];
    state.revision = 1;
    t.match(await desk.place(createReq()), { placed: { engineId: 'e-2' } });
    const run = { callId: 'c1', engineId: 'e-1', excluded: [], service: 'engines' };
    const offered = desk.awaitMigration({ ...run, patienceMs: 500 });
    await clock.advance(600);
    t.same(await offered, { takerId: undefined }, 'a run there is not handed over');
    state.evacuated = [];
    state.revision = 2;
    t.match(await desk.place(createReq()), { placed: { engineId: 'e-1' } }, 'until it ends');
  },
);

// Guards against calls that wait for room which cannot come.
void tap.default.test('a pool in evacuated zones only refuses at once', async (t) => {
  const { desk, state } = createDesk(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.evacuated = ['a'];
  state.revision = 1;
  const res = await desk.place({ ...createReq(), patienceMs: 700 });
  t.match(res, { placed: undefined, waitedMs: 0 });
  t.not(res.isUnknown, true);
});

// Guards against "no room" because of runs that ended while another host led.
void tap.default.test('a host that leads again forgets what ran when it led before', async (t) => {
  const { desk, state } = createDesk(new schemas.VirtualClock());
  state.list = [ENGINE];
  desk.startLeading(1);
  t.match(await desk.place(createReq('e-1')), { placed: { engineId: 'e-1' } });
  desk.startLeading(1);
  t.ok(desk.hasRuns('engines', 'e-1'), 'not within one leadership');
  desk.startLeading(3);
  t.notOk(desk.hasRuns('engines', 'e-1'));
});
