import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as callAdmissions from '../src/call-admission.js';
import type * as procedures from '../src/core-procedures.js';
import * as upstreamDirectories from '../src/upstream-directory.js';
import * as upstreamPickers from '../src/upstream-picker.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

/** A leader that places every generation on one engine, or does not answer; records what is reported to it. */
class FixedPlacer implements upstreamPickers.GenerationPlacer {
  public readonly registered: string[] = [];
  public readonly fixedEngineIds: (string | undefined)[] = [];
  public readonly events: string[] = [];
  public readonly gapTargets: (number | undefined)[] = [];

  public constructor(private readonly engineId: string | undefined) {}

  public async place(
    _service: string,
    spec: routing.PlacementSpec,
  ): Promise<procedures.PlaceRes | undefined> {
    this.fixedEngineIds.push(spec.fixedEngineId);
    this.gapTargets.push(spec.gapTargetMs);
    if (this.engineId === undefined) {
      return Promise.resolve(undefined);
    }
    const placed: routing.Placement = { engineId: this.engineId, copyAt: undefined, share: 0.1 };
    return Promise.resolve({ placed, waitedMs: 0 });
  }

  public async awaitMigration() {
    return Promise.resolve({ takerId: this.engineId });
  }

  public registerRun(_service: string, spec: routing.PlacementSpec): void {
    this.registered.push(spec.callId);
  }

  public unregisterRun(): void {}

  public reportPace(): void {}

  public reportEvent(callId: string, event: string): void {
    this.events.push(`${callId} ${event}`);
  }
}

function createDirectory(clock: schemas.Clock, engineIds: readonly string[]) {
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  directory.applyList(
    { stamp: 's1', upstreams: engineIds.map((id) => listedUpstreams.createListedUpstream(id)) },
    0,
  );
  return directory;
}

/** Creates the picker of a host whose list has one engine. */
function createPicker(
  clock: schemas.Clock,
  placer: upstreamPickers.GenerationPlacer,
  directory = createDirectory(clock, ['e-1']),
  gate = requests.createLocalGate(clock, new schemas.SilentLog()),
  findOwnedSlots?: () => ReadonlyMap<string, number>,
) {
  return new upstreamPickers.UpstreamPicker({
    findOwnedSlots,
    directory,
    placer,
    availabilityZone: 'a',
    gate,
    coldSendQuota: new routing.ColdSendQuota('host', () => 16),
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
  });
}

function createCall(): callAdmissions.AdmittedCall {
  const config = sites.createConfig(1);
  return {
    facts: {
      requestId: 'c1',
      callerTimeoutMs: 4_000,
      key: 'k1',
      generation: { promptTokens: 100, maxTokens: 400, hintTokens: 400, prefixParts: [] },
      forwardedHeaders: {},
    },
    route: config.routes[2]!,
    service: config.services[1]!,
    team: undefined,
    regions: undefined,
    method: 'POST',
    path: '/drafts/x',
    limits: config.limits,
    arrivedAt: 0,
    endsAt: 4_000,
  };
}

function createPlainCall(coldCallsPerS: number): callAdmissions.AdmittedCall {
  const config = sites.createConfig(1);
  const { facts, ...call } = createCall();
  return {
    ...call,
    facts: { ...facts, generation: undefined },
    route: config.routes[0]!,
    service: { ...config.services[0]!, coldCallsPerS },
  };
}

void tap.default.test(
  'a generation placed on an engine that is not listed here runs elsewhere',
  async (t) => {
    // An engine has just started. The leader has it in its list and places a generation there; this host's list is
    // older and has no address for it. The caller must not be refused while other engines are listed, and the leader
    // must not count for 39 s a run that never took place.
    const clock = new schemas.VirtualClock();
    const placer = new FixedPlacer('e-new');
    const picker = createPicker(clock, placer);
    const picked = await picker.pick(createCall(), new Set());
    t.equal(picked.upstreamId, 'e-1', 'it runs on one that is listed');
    t.same(placer.fixedEngineIds, [undefined, 'e-1'], 'and the ledger gets its id');
  },
);

// Guards against a leader that cannot tell the teams apart.
void tap.default.test('the leader is told the team of a generation', async (t) => {
  const teams: (string | undefined)[] = [];
  const placer = new FixedPlacer('e-1');
  placer.place = async (_service, _spec, wait?: upstreamPickers.PlacementWait) => {
    teams.push(wait?.team);
    return Promise.resolve(undefined);
  };
  const picker = createPicker(new schemas.VirtualClock(), placer);
  await picker.pick(createCall(), new Set());
  await picker.pick({ ...createCall(), team: { name: 'sales', keys: ['k1'] } }, new Set());
  t.same(teams, [undefined, 'sales']);
});

// Guards against long generations placed where their gaps exceed the target of their route.
void tap.default.test('the gap target of the route is sent with a placement', async (t) => {
  const placer = new FixedPlacer('e-1');
  const picker = createPicker(new schemas.VirtualClock(), placer);
  const call = createCall();
  await picker.pick(call, new Set());
  await picker.pick({ ...call, route: { ...call.route, gapTargetMs: 180 } }, new Set());
  t.same(placer.gapTargets, [undefined, 180]);
});

// Guards against a refusal for lack of capacity by a new leader that has no list.
void tap.default.test('a host uses fallback placement while the leader has no list', async (t) => {
  const fixedEngineIds: (string | undefined)[] = [];
  const placer = new FixedPlacer(undefined);
  placer.place = async (_service, spec) => {
    fixedEngineIds.push(spec.fixedEngineId);
    return Promise.resolve({ placed: undefined, waitedMs: 0, isUnknown: true });
  };
  const picker = createPicker(new schemas.VirtualClock(), placer);
  t.equal((await picker.pick(createCall(), new Set())).upstreamId, 'e-1');
  t.same(fixedEngineIds, [undefined, 'e-1'], 'and the ledger gets its id');
});

void tap.default.test('a generation placed by fallback is registered', async (t) => {
  // Hosts report their runs to a new leader. The runs that this host placed without a leader must be included, or the
  // new leader fills the same engine a second time.
  const clock = new schemas.VirtualClock();
  const placer = new FixedPlacer(undefined);
  const picker = createPicker(clock, placer);
  const picked = await picker.pick(createCall(), new Set());
  t.equal(picked.upstreamId, 'e-1');
  t.same(placer.registered, ['c1']);
});

// Guards against a cold upstream that crashes under the calls of all hosts, and against calls held until it is warm.
void tap.default.test('a cold upstream gets no more than this host’s share', async (t) => {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  const cold = listedUpstreams.createListedUpstream('app-1', { service: 'app', coldMs: 2_000 });
  directory.applyList({ stamp: 's1', upstreams: [cold] }, 0);
  const picker = createPicker(clock, new FixedPlacer(undefined), directory);
  const call = createPlainCall(40);
  t.equal(
    (await picker.pick(call, new Set())).upstreamId,
    'app-1',
    'its share is one call: 40 x 0.4 / 16',
  );
  await t.rejects(picker.pick(call, new Set()), { id: 'noUpstream' } as never);
  directory.applyList(
    { stamp: 's2', upstreams: [cold, { ...cold, upstreamId: 'app-2', coldMs: 0 }] },
    0,
  );
  t.equal((await picker.pick(call, new Set())).upstreamId, 'app-2', 'a warm one gets the rest');
  directory.applyList({ stamp: 's3', upstreams: [cold] }, 0);
  await clock.advance(2_100);
  for (let i = 0; i < 5; i += 1) {
    t.equal((await picker.pick(call, new Set())).upstreamId, 'app-1', 'all calls when it is warm');
  }
  directory.noteUnreachable('app-1');
  await clock.advance(1_100);
  await picker.pick(call, new Set());
  await t.rejects(picker.pick(call, new Set()), { id: 'noUpstream' } as never);
});

void tap.default.test('a target engine that is not listed here yet is rejected', async (t) => {
  // The leader requests the migration of a run to an engine that this host's list does not have yet, so the KV cache
  // cannot be copied there. Unless the host reports that, the run counts as backed up and is lost with its engine.
  const clock = new schemas.VirtualClock();
  const unknown = new FixedPlacer('e-9');
  const res = await createPicker(clock, unknown).awaitMigrationTarget(createCall(), 'e-0', []);
  t.same(res, { isAnswered: false, target: undefined });
  t.same(unknown.events, ['c1 turn-over']);
  const known = new FixedPlacer('e-1');
  const other = await createPicker(clock, known).awaitMigrationTarget(createCall(), 'e-0', []);
  t.equal(other.target?.upstreamId, 'e-1');
  t.same(known.events, []);
});

// Guards against a leader that places a call on an engine which has told this host that it takes none, time after time.
void tap.default.test(
  'engines that take no calls by their own statement are excluded',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const gate = requests.createLocalGate(clock, new schemas.SilentLog());
    const directory = createDirectory(clock, ['e-1', 'e-2', 'e-3']);
    const excluded: (readonly string[])[] = [];
    const placer = new FixedPlacer('e-1');
    const { place } = placer;
    placer.place = async (service, spec) => {
      excluded.push(spec.excluded);
      return place.call(placer, service, spec);
    };
    const picker = createPicker(clock, placer, directory, gate);
    const record = (upstreamId: string, notice: Partial<requests.UpstreamNotice>) => {
      const { processId } = directory.find(upstreamId)!;
      gate.recordAnswer({ upstreamId, processId }, { ...requests.EMPTY_NOTICE, ...notice });
      return { processId, upstreamId };
    };
    record('e-2', { rest: { kind: 'named', restMs: 3_000 } });
    directory.noteLeaving(record('e-3', { isLeaving: true }));
    t.equal((await picker.pick(createCall(), new Set())).upstreamId, 'e-1');
    t.same(
      excluded,
      [['e-2', 'e-3']],
      'one that rests, and one that leaves before the list says so',
    );
    record('e-1', { rest: { kind: 'named', restMs: 2_000 } });
    const refusal = await picker.pick(createCall(), new Set()).catch((err: unknown) => err);
    t.ok(refusal instanceof schemas.Refusal, 'refused at once when none is left');
    const { options } = refusal as schemas.Refusal;
    t.equal(options.id, 'resting');
    t.ok(options.retryAfterS! >= 2 && options.retryAfterS! <= 3, 'until the first rest ends');
    t.equal(excluded.length, 1, 'without a request to the leader');
  },
);

// Guards against calls sent to a machine that has stated that it is slowed, and against any change without a statement.
void tap.default.test('a call goes where it is expected to end sooner', async (t) => {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  const upstreams = ['app-1', 'app-2'].map((id) =>
    listedUpstreams.createListedUpstream(id, { service: 'app' }),
  );
  directory.applyList({ stamp: 's1', upstreams }, 0);
  const picker = createPicker(clock, new FixedPlacer(undefined), directory);
  const pick = async () => (await picker.pick(createPlainCall(40), new Set())).upstreamId;
  const [slowed, usual] = ['app-1', 'app-2'].map((id) => directory.find(id)!.load);
  usual!.trackCall(0);
  slowed!.serviceTime.recordAnswer(125, undefined, clock.now());
  usual!.serviceTime.recordAnswer(50, undefined, clock.now());
  t.equal(await pick(), 'app-1', 'the one with fewer calls while none states a slowdown');
  slowed!.applyReport({ running: 0, waiting: 0, slots: 4, slowdown: 2.5 }, clock.now());
  t.equal(await pick(), 'app-2', 'the faster one after that');
  await clock.advance(61_000);
  t.equal(await pick(), 'app-1', 'as before when the statement is over a minute old');
});

// Guards against callers who are told one constant time although the leader states another, and against a change of
// that constant where the leader states none.
void tap.default.test('a full pool refuses with the time that the leader states', async (t) => {
  const placer = new FixedPlacer(undefined);
  const picker = createPicker(new schemas.VirtualClock(), placer);
  for (const [retryAfterMs, retryAfterS] of [
    [undefined, 2],
    [730, 0.73],
  ] as const) {
    const full = { running: 3, share: 0.95, retryAfterMs };
    placer.place = async () => Promise.resolve({ placed: undefined, waitedMs: 0, full });
    const refusal = await picker.pick(createCall(), new Set()).catch((err: unknown) => err);
    t.ok(refusal instanceof schemas.Refusal);
    t.match((refusal as schemas.Refusal).options, { id: 'noRoom', status: 503, retryAfterS });
  }
});

// Guards against hosts without a leader that together send more runs to a brittle engine than it takes.
void tap.default.test(
  'without a leader, a host uses its own slots of brittle engines',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const directory = createDirectory(clock, ['e-1', 'e-2']);
    const owned = new Map([['e-2', 1]]);
    const picker = createPicker(
      clock,
      new FixedPlacer(undefined),
      directory,
      undefined,
      () => owned,
    );
    t.equal((await picker.pick(createCall(), new Set())).upstreamId, 'e-2');
    directory.find('e-2')!.load.trackCall(0);
    await t.rejects(picker.pick(createCall(), new Set()), { name: 'noUpstream' });
  },
);

// Guards against an upstream that answers no call and is preferred, since its calls end at once.
for (const kind of ['plain calls', 'generations']) {
  void tap.default.test(
    `a host without a leader spares one that answers none: ${kind}`,
    async (t) => {
      const clock = new schemas.VirtualClock();
      const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
      const [service, create] =
        kind === 'generations' ? ['engines', createCall] : ['app', () => createPlainCall(40)];
      const upstreams = ['u-1', 'u-2'].map((id) =>
        listedUpstreams.createListedUpstream(id, { service }),
      );
      directory.applyList({ stamp: 's1', upstreams }, 0);
      const picker = createPicker(clock, new FixedPlacer(undefined), directory);
      const pick = async (tried: string[] = []) =>
        (await picker.pick(create(), new Set(tried))).upstreamId;
      const [closing, busy] = ['u-1', 'u-2'].map((id) => directory.find(id)!.load);
      Array.from({ length: 40 }, () => busy!.trackCall(4_000));
      t.equal(await pick(), 'u-1', 'the emptiest one while nothing is known');
      closing!.trial.recordEnd('c1', false, clock.now());
      t.equal(await pick(), 'u-2', 'not at once after a call without an answer');
      t.equal(await pick(['u-2']), 'u-1', 'unless there is no other');
      await clock.advance(100);
      t.equal(await pick(), 'u-1', 'one more call after a while');
      closing!.trial.recordSend('c2', clock.now());
      t.equal(await pick(), 'u-2', 'but only one at a time');
      busy!.trial.recordEnd('c3', false, clock.now());
      t.equal(await pick(), 'u-1', 'the emptiest one if none answers');
      closing!.trial.recordAnswer();
      closing!.trial.recordSend('c4', clock.now());
      t.equal(await pick(), 'u-1', 'and as usual once an answer has begun');
    },
  );
}

// Guards against a host whose generations are placed again on an engine that it can't reach while others have room.
void tap.default.test('a host asks for no engine that has just given it no answer', async (t) => {
  const clock = new schemas.VirtualClock();
  const directory = createDirectory(clock, ['e-1', 'e-2']);
  const placer = new FixedPlacer('e-2');
  const excluded: (readonly string[])[] = [];
  const { place } = placer;
  placer.place = async (service, spec) => {
    excluded.push(spec.excluded);
    return place.call(placer, service, spec);
  };
  const picker = createPicker(clock, placer, directory);
  const [first, second] = ['e-1', 'e-2'].map((id) => directory.find(id)!.load.trial);
  await picker.pick(createCall(), new Set());
  first!.recordEnd('c1', false, clock.now());
  await picker.pick(createCall(), new Set());
  second!.recordEnd('c2', false, clock.now());
  await picker.pick(createCall(), new Set());
  await clock.advance(100);
  first!.recordSend('c3', clock.now());
  await picker.pick(createCall(), new Set());
  first!.recordAnswer();
  await picker.pick(createCall(), new Set());
  t.same(excluded, [[], ['e-1'], [], ['e-1'], []], 'unless there is no other');
});
