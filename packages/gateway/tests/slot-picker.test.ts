import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as callAdmissions from '../src/call-admission.js';
import * as heldSlots from '../src/held-slot.js';
import type * as slotClients from '../src/slot-client.js';
import * as upstreamDirectories from '../src/upstream-directory.js';
import * as upstreamPickers from '../src/upstream-picker.js';
import * as listedUpstreams from './support/create-listed-upstream.js';
import * as sites from './support/small-site.js';

/** Grants slots at the first upstream that is not excluded, or refuses; records what is asked and returned. */
class FakeSlots implements slotClients.SlotSource {
  public readonly asks: slotClients.SlotAsk[] = [];
  public readonly returned: string[] = [];
  public refusal: Extract<slotClients.SlotDecision, { slot: undefined }> | undefined;

  public constructor(private readonly upstreamIds: readonly string[]) {}

  public async request(ask: slotClients.SlotAsk): Promise<slotClients.SlotDecision> {
    this.asks.push(ask);
    const upstreamId = this.upstreamIds.find((id) => !ask.excluded.includes(id));
    if (this.refusal !== undefined || upstreamId === undefined) {
      const none = {
        slot: undefined,
        waitedMs: 0,
        reason: 'no-upstream',
        retryAfterMs: 450,
      } as const;
      return Promise.resolve(this.refusal ?? none);
    }
    const slot = new heldSlots.HeldSlot(
      'app',
      'c1',
      upstreamId,
      4_000,
      false,
      (held, { result }) => {
        this.returned.push(`${held.upstreamId} ${result}`);
      },
    );
    return Promise.resolve({ slot, waitedMs: 7 });
  }
}

function createFixture(listed: readonly string[], leaderIds = listed) {
  const clock = new schemas.VirtualClock();
  const log = new schemas.SilentLog();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, log);
  const upstreams = listed.map((id) =>
    listedUpstreams.createListedUpstream(id, { service: 'app', coldMs: id === 'cold' ? 3_000 : 0 }),
  );
  directory.applyList({ stamp: 's1', upstreams }, 0);
  const gate = requests.createLocalGate(clock, log);
  const slots = new FakeSlots(leaderIds);
  const state = { isShared: true };
  const picker = new upstreamPickers.UpstreamPicker({
    findSlots: () => (state.isShared ? slots : undefined),
    directory,
    placer: {} as never,
    gate,
    availabilityZone: 'a',
    coldSendQuota: new routing.ColdSendQuota('host', () => 16),
    clock,
    log,
    random: () => 0,
  });
  return { clock, directory, gate, picker, slots, state };
}

function createCall(): callAdmissions.AdmittedCall {
  const config = sites.createConfig(1);
  return {
    facts: {
      requestId: 'c1',
      callerTimeoutMs: 4_000,
      key: 'k1',
      generation: undefined,
      forwardedHeaders: {},
    },
    route: { ...config.routes[0]!, urgency: 3 },
    service: { ...config.services[0]!, coldCallsPerS: 0.01 },
    team: { name: 'sales', keys: [], urgency: 1 },
    regions: undefined,
    method: 'GET',
    path: '/plain/x',
    limits: config.limits,
    arrivedAt: 0,
    endsAt: 4_000,
  };
}

// Guards against requests for slots with the wrong times or priority, and against upstreams that the call must not use.
void tap.default.test('a call takes a slot for each attempt', async (t) => {
  const { clock, directory, gate, picker, slots } = createFixture(['u1', 'u2', 'u3', 'cold']);
  directory.noteUnreachable('u1');
  const { processId } = directory.find('u2')!;
  const rest = { kind: 'named', restMs: 3_000 } as const;
  gate.recordAnswer({ upstreamId: 'u2', processId }, { ...requests.EMPTY_NOTICE, rest });
  await clock.advance(30);
  const picked = await picker.pick(createCall(), new Set());
  t.match(picked, { upstreamId: 'u3', waitedMs: 7, isFallback: false });
  t.match(slots.asks[0], { team: 'sales', priority: 1, dueInMs: 70, leftMs: 3_970 });
  t.same([...slots.asks[0]!.excluded].sort(), ['u1', 'u2'], 'unreachable, and at rest');
  t.same(slots.asks[0]!.excludedAlone, ['cold'], 'over the quota of this host');
  const end = { hasFailed: false, result: 'answered', tookMs: 20 } as const;
  picker.release(createCall(), picked, end);
  picker.release(createCall(), picked, { ...end, result: 'failed' });
  t.same(slots.returned, ['u3 answered'], 'returned once');
  const second = await picker.pick(createCall(), new Set(['u3']));
  t.equal(second.upstreamId, 'cold');
  t.ok(slots.asks[1]!.excluded.includes('u3'), 'the next attempt goes elsewhere');
});

// Guards against a slot that stays taken at an upstream which this host can't use, and against calls lost by it.
void tap.default.test('a slot at an upstream that is not listed here is returned', async (t) => {
  const { picker, slots } = createFixture(['u1'], ['new', 'u1']);
  const picked = await picker.pick(createCall(), new Set());
  t.equal(picked.upstreamId, 'u1');
  t.same(slots.returned, ['new unused']);
});

// Guards against calls refused for lack of an upstream while a leader grants slots where no call can be addressed to.
void tap.default.test('upstreams without a usable address are excluded', async (t) => {
  const ids = ['bad1', 'bad2', 'bad3', 'u1'];
  const { directory, picker, slots } = createFixture(['u1'], ids);
  const upstreams = ids.map((id) =>
    listedUpstreams.createListedUpstream(id, {
      service: 'app',
      address: id === 'u1' ? '127.0.0.1:1' : '10.1.1.1:99999',
    }),
  );
  directory.applyList({ stamp: 's2', upstreams }, 0);
  const picked = await picker.pick(createCall(), new Set());
  t.equal(picked.upstreamId, 'u1');
  t.same(slots.returned, [], 'at the first attempt');
});

// Guards against calls that run after a refusal, and against refusals without the time that the leader named.
void tap.default.test('a call without a slot is refused as not run', async (t) => {
  const { picker, slots } = createFixture(['u1']);
  const refuse = async () => {
    const err: unknown = await picker
      .pick(createCall(), new Set())
      .catch((thrown: unknown) => thrown);
    return err instanceof schemas.Refusal ? err.options : {};
  };
  slots.refusal = { slot: undefined, waitedMs: 0, reason: 'no-time', retryAfterMs: 240 };
  t.match(await refuse(), { id: 'noRoom', status: 503, outcome: 'not-run', retryAfterS: 0.24 });
  slots.refusal = { ...slots.refusal, reason: 'no-upstream', retryAfterMs: 460 };
  t.match(await refuse(), { id: 'noUpstream', status: 503, outcome: 'not-run', retryAfterS: 0.46 });
});

// Guards against an effect on deployments without the setting.
void tap.default.test('no slot is requested without the setting', async (t) => {
  const { picker, slots, state } = createFixture(['u1']);
  state.isShared = false;
  t.match(await picker.pick(createCall(), new Set()), { upstreamId: 'u1', slot: undefined });
  t.same(slots.asks, []);
  state.isShared = true;
  await picker.pick(createCall(), new Set());
  t.equal(slots.asks.length, 1, 'but once the setting is read');
});
