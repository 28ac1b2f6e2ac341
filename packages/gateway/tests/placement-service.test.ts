import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as placementServices from '../src/placement-service.js';
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

function createService(clock: schemas.Clock) {
  const state = {
    list: undefined as readonly schemas.ListedUpstream[] | undefined,
    services: sites.createConfig(1).services,
    evacuated: [] as string[],
    revision: 0,
  };
  const service = new placementServices.PlacementService({
    clock,
    findService: (name) => state.services.find((item) => item.name === name),
    findUpstreams: () => state.list,
    isEvacuated: (zone) => state.evacuated.includes(zone),
    getEvacuationRevision: () => state.revision,
    coldBounds: { coldOverage: 1.5, coldSlack: 5 },
    retryGrantLimits: { maxGrants: 1, maxGrantsForNewLeader: 1, windowMs: 1_000 },
  });
  return { service, state };
}

// Guards against refusals for lack of capacity by a leader that has not read the list of upstreams yet.
void tap.default.test('a leader without a list does not report a full pool', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  t.match(await service.place(createReq()), { placed: undefined, isUnknown: true });
  t.match(
    await service.place(createReq('e-1')),
    { placed: { engineId: 'e-1' } },
    'but it registers runs',
  );
  state.list = [ENGINE];
  t.match(await service.place({ ...createReq() }), { placed: { engineId: 'e-1' } });
  state.list = [];
  const full = await service.place(createReq());
  t.equal(full.placed, undefined);
  t.not(full.isUnknown, true, 'a list without engines is a definite answer');
});

// Guards against a burst of work on engines that are listed as cold.
void tap.default.test('cold engines get new work at the rate of their service', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  state.services = state.services.map((item) => ({ ...item, coldCallsPerS: 5 }));
  state.list = [{ ...ENGINE, coldMs: 2_000 }];
  const place = async (callId: string) => {
    const req = createReq();
    return service.place({
      ...req,
      need: { ...req.need, callId, promptTokens: 1, answerTokens: 10 },
    });
  };
  const placed = async (count: number) => {
    const all = await Promise.all(
      Array.from({ length: count }, (_, i) => place(`c${clock.now()}-${i}`)),
    );
    all.forEach((_, i) =>
      service.release({ service: 'engines', callId: `c${clock.now()}-${i}`, hasFailed: false }),
    );
    return all.filter((res) => res.placed !== undefined).length;
  };
  t.equal(await placed(4), 3, '0.6 of 5 per second while it is cold');
  await clock.advance(2_100);
  t.equal(await placed(4), 4, 'more when it is warm');
});

// Guards against refusals for lack of capacity if the leader's document lacks a service that the host's document has.
void tap.default.test('a leader that lacks a service does not report a full pool', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.services = [];
  t.match(await service.place(createReq()), { placed: undefined, isUnknown: true });
});

// Guards against new work on engines of an evacuated zone, and against migration of the runs there.
void tap.default.test(
  'engines of an evacuated zone get no new work and keep their runs',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { service, state } = createService(clock);
    state.list = [ENGINE, { ...ENGINE, upstreamId: 'e-2', availabilityZone: 'b' }];
    t.match(
      await service.place(createReq()),
      { placed: { engineId: 'e-1' } },
      'the one in the same zone',
    );
    state.evacuated = ['a'];
    state.revision = 1;
    t.match(await service.place(createReq()), { placed: { engineId: 'e-2' } });
    const run = { callId: 'c1', engineId: 'e-1', excluded: [], service: 'engines' };
    const offered = service.awaitMigration({ ...run, patienceMs: 500 });
    await clock.advance(600);
    t.same(await offered, { takerId: undefined }, 'a run there is not migrated');
    state.evacuated = [];
    state.revision = 2;
    t.match(
      await service.place(createReq()),
      { placed: { engineId: 'e-1' } },
      'until the evacuation ends',
    );
  },
);

// Guards against calls that wait for capacity that cannot become available.
void tap.default.test('a pool with engines only in evacuated zones refuses at once', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  state.evacuated = ['a'];
  state.revision = 1;
  const res = await service.place({ ...createReq(), patienceMs: 700 });
  t.match(res, { placed: undefined, waitedMs: 0 });
  t.not(res.isUnknown, true);
});

// Guards against refusals for lack of capacity because of runs that ended while another host led.
void tap.default.test('a re-elected leader drops the runs of its former leadership', async (t) => {
  const { service, state } = createService(new schemas.VirtualClock());
  state.list = [ENGINE];
  service.startLeading(1);
  t.match(await service.place(createReq('e-1')), { placed: { engineId: 'e-1' } });
  service.startLeading(1);
  t.ok(service.hasRuns('engines', 'e-1'), 'not within one term');
  service.startLeading(3);
  t.notOk(service.hasRuns('engines', 'e-1'));
});

// Guards against figures of engines and streams that reach no ledger, or the one of another service.
void tap.default.test('stated slowdowns and the pace of streams reach the ledger', async (t) => {
  const clock = new schemas.VirtualClock();
  const { service, state } = createService(clock);
  state.list = [ENGINE, { ...ENGINE, upstreamId: 'e-2' }];
  const load = { running: 1, waiting: 0, slowdown: 2.5 };
  service.recordLoad('engines', 'e-1', load);
  const req = createReq();
  const place = async (callId: string, excluded: string[] = []) => {
    const need = { ...req.need, callId, excluded, gapTargetMs: 180 };
    return (await service.place({ ...req, need })).placed?.engineId;
  };
  // Prompts tell that e-1 is slow by itself, and streams there have gaps of 100 ms without interference.
  for (let n = 0; n < 24; n += 1) {
    const callId = `c${n}`;
    const engineId = (await place(callId, [n % 2 === 0 ? 'e-1' : 'e-2'])) ?? 'none';
    const factor = engineId === 'e-1' ? 1.3 : 1;
    service.recordLoad('engines', engineId, { ...load, slowdown: 1 });
    await clock.advance(14 * factor);
    service.recordEvent({ service: 'engines', callId, event: 'begun' });
    await clock.advance(500);
    const pace = { msPerEvent: 30 * factor, events: 16, longestGapMs: 65 * factor };
    service.recordPace({ service: 'engines', callId, engineId, ...pace });
    service.recordPace({ service: 'other', callId, engineId, ...pace });
    service.release({ service: 'engines', callId, hasFailed: false });
  }
  service.recordLoad('engines', 'e-2', load);
  service.recordLoad('engines', 'unknown', load);
  await clock.advance(500);
  const placed = [await place('d1'), await place('d2'), await place('d3')];
  t.same(placed, ['e-2', 'e-2', 'e-2'], 'none on the slow one, though it is empty');
});
