import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as callAdmissions from '../src/call-admission.js';
import type * as procedures from '../src/core-procedures.js';
import * as upstreamDirectories from '../src/upstream-directory.js';
import * as upstreamPickers from '../src/upstream-picker.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

/** A leader that places every generation on one engine, or does not answer, and what it is told. */
class FixedPlacer implements upstreamPickers.GenerationPlacer {
  public readonly entered: string[] = [];
  public readonly fixed: (string | undefined)[] = [];
  public readonly noted: string[] = [];

  public constructor(private readonly engineId: string | undefined) {}

  public async place(
    _service: string,
    need: routing.PlacementSpec,
  ): Promise<procedures.PlaceRes | undefined> {
    this.fixed.push(need.fixedEngineId);
    if (this.engineId === undefined) {
      return Promise.resolve(undefined);
    }
    const placed: routing.Placement = { engineId: this.engineId, copyAt: undefined, share: 0.1 };
    return Promise.resolve({ placed, waitedMs: 0 });
  }

  public async awaitMigration() {
    return Promise.resolve({ takerId: this.engineId });
  }

  public registerRun(_service: string, need: routing.PlacementSpec): void {
    this.entered.push(need.callId);
  }

  public unregisterRun(): void {}

  public noteRun(callId: string, event: string): void {
    this.noted.push(`${callId} ${event}`);
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

/** A host whose list has one engine. */
function createPicker(
  clock: schemas.Clock,
  pools: upstreamPickers.GenerationPlacer,
  directory = createDirectory(clock, ['e-1']),
) {
  return new upstreamPickers.UpstreamPicker({
    directory,
    placer: pools,
    availabilityZone: 'a',
    coldShare: new routing.ColdSendQuota('host', () => 16),
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
  'a generation placed on an engine not listed here goes elsewhere',
  async (t) => {
    // An engine has just started. The leader has read it in the list and places a generation there; this host's copy
    // of the list is older and has no address for it. The caller must not be refused while other engines are
    // known, and the leader must not count for 39 s what never ran.
    const clock = new schemas.VirtualClock();
    const placer = new FixedPlacer('e-new');
    const picker = createPicker(clock, placer);
    const picked = await picker.pick(createCall(), new Set());
    t.equal(picked.upstreamId, 'e-1', 'it runs on one that is known');
    t.same(placer.fixed, [undefined, 'e-1'], 'and the account is told which');
  },
);

// Guards against a refusal for want of room by a leader that has just risen and has no list.
void tap.default.test('a host chooses itself while the leader cannot tell', async (t) => {
  const fixed: (string | undefined)[] = [];
  const placer = new FixedPlacer(undefined);
  placer.place = async (_service, need) => {
    fixed.push(need.fixedEngineId);
    return Promise.resolve({ placed: undefined, waitedMs: 0, isUnknown: true });
  };
  const picker = createPicker(new schemas.VirtualClock(), placer);
  t.equal((await picker.pick(createCall(), new Set())).upstreamId, 'e-1');
  t.same(fixed, [undefined, 'e-1'], 'and the account is told which');
});

void tap.default.test('a generation that this host places alone stays known to it', async (t) => {
  // A new leader is told what runs; what this host placed while it had none must be among it, or the new
  // leader fills the same engine a second time.
  const clock = new schemas.VirtualClock();
  const placer = new FixedPlacer(undefined);
  const picker = createPicker(clock, placer);
  const picked = await picker.pick(createCall(), new Set());
  t.equal(picked.upstreamId, 'e-1');
  t.same(placer.entered, ['c1']);
});

// Guards against a cold upstream that crashes under the calls of all hosts, and against calls held until it is warm.
void tap.default.test('a cold upstream gets no more than this host’s share', async (t) => {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  const cold = listedUpstreams.createListedUpstream('app-1', { service: 'app', coldMs: 2_000 });
  directory.applyList({ stamp: 's1', upstreams: [cold] }, 0);
  const picker = createPicker(clock, new FixedPlacer(undefined), directory);
  const call = createPlainCall(40);
  t.equal((await picker.pick(call, new Set())).upstreamId, 'app-1', 'one call of 40 x 0.4 / 16');
  await t.rejects(picker.pick(call, new Set()), { id: 'noUpstream' } as never);
  directory.applyList(
    { stamp: 's2', upstreams: [cold, { ...cold, upstreamId: 'app-2', coldMs: 0 }] },
    0,
  );
  t.equal((await picker.pick(call, new Set())).upstreamId, 'app-2', 'a warm one takes the rest');
  directory.applyList({ stamp: 's3', upstreams: [cold] }, 0);
  await clock.advance(2_100);
  for (let i = 0; i < 5; i += 1) {
    t.equal((await picker.pick(call, new Set())).upstreamId, 'app-1', 'as many as come when warm');
  }
  directory.noteUnreachable('app-1');
  await clock.advance(1_100);
  await picker.pick(call, new Set());
  await t.rejects(picker.pick(call, new Set()), { id: 'noUpstream' } as never);
});

void tap.default.test('a taker that is not listed here yet is given back', async (t) => {
  // The leader has the run handed over to an engine that it has just read of. This host does not know it and cannot have
  // the memory copied there. Unless it says so, the run counts as copied and is lost with its engine.
  const clock = new schemas.VirtualClock();
  const unknown = new FixedPlacer('e-9');
  const res = await createPicker(clock, unknown).awaitMigrationTarget(createCall(), 'e-0', []);
  t.same(res, { isAnswered: false, target: undefined });
  t.same(unknown.noted, ['c1 turn-over']);
  const known = new FixedPlacer('e-1');
  const other = await createPicker(clock, known).awaitMigrationTarget(createCall(), 'e-0', []);
  t.equal(other.target?.upstreamId, 'e-1');
  t.same(known.noted, []);
});
