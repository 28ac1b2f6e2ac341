import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as rateGrantClients from '../src/rate-grant-client.js';
import * as rateLimitServices from '../src/rate-limit-service.js';

const LIMIT: requests.RateLimitFacts = { processId: 'u1', callsPerS: 2, ageMs: 0 };

/** Creates the client of one host, with core hosts of which some may not answer. */
function createFixture() {
  const clock = new schemas.VirtualClock();
  const log = new schemas.SilentLog();
  const state = { leader: 'core-0' as string | undefined, silent: new Set<string>(), grants: 0 };
  const cores = new Map(
    ['core-0', 'core-1', 'core-2'].map((coreId) => [
      coreId,
      new rateLimitServices.RateLimitService({
        coreId,
        gate: { mergeLimits: () => {} },
        clock,
        log,
      }),
    ]),
  );
  const request = async <T>(coreId: string, act: () => T): Promise<T> => {
    await clock.sleep(2);
    if (state.silent.has(coreId)) {
      throw new Error('no answer');
    }
    return act();
  };
  const createApi = (coreId: string) => ({
    grantSend: {
      mutate: (req: never) => {
        state.grants += 1;
        return request(coreId, () => cores.get(coreId)!.grant(req));
      },
    },
    reportLimits: {
      mutate: (req: never) => request(coreId, () => cores.get(coreId)!.report(req)),
    },
  });
  const client = new rateGrantClients.RateGrantClient({
    hostId: 'h1',
    mesh: { get: createApi } as never,
    listCores: () => [...cores.keys()],
    findLeader: () => state.leader,
    clock,
    log,
  });
  const gate = requests.createLocalGate(clock, log);
  const knows = (coreId: string) =>
    (cores.get(coreId)!.findUpdates({ source: '', revision: -1 })?.limits.length ?? 0) > 0;
  return { client, clock, cores, gate, knows, state };
}

// Guards against a limit that is forgotten with the leader, and against hosts that never hear of it without one.
void tap.default.test('reports go where they can be told on', async (t) => {
  const { client, clock, cores, gate, knows, state } = createFixture();
  client.reportLimit(LIMIT);
  await clock.advance(10);
  t.same(['core-0', 'core-1', 'core-2'].map(knows), [true, false, false], 'to the leader');
  state.silent.add('core-0');
  client.reportLimit({ ...LIMIT, processId: 'u2' });
  await clock.advance(10);
  t.ok(knows('core-1') && knows('core-2'), 'to all others if it does not answer');
  gate.mergeLimits([{ ...LIMIT, processId: 'u3' }]);
  client.applyUpdates(cores.get('core-2')!.findUpdates(client.getCursor())!, gate);
  t.equal(gate.countLimits(), 2, 'and come back with the updates of each of them');
  await clock.advance(10);
  const { limits } = cores.get('core-2')!.findUpdates(client.getCursor())!;
  t.ok(
    limits.some(({ processId }) => processId === 'u3'),
    'a core host that is new to this host gets what it knows',
  );
});

// Guards against callers who each wait for a leader that does not answer.
void tap.default.test('a leader that does not answer is passed over for a while', async (t) => {
  const { client, clock, state } = createFixture();
  state.silent.add('core-0');
  const ask = async () => {
    const answer = client.requestGrant(LIMIT);
    await clock.advance(10);
    return answer;
  };
  t.equal(await ask(), undefined);
  t.equal(await ask(), undefined);
  t.equal(state.grants, 1);
  state.silent.clear();
  await clock.advance(600);
  t.ok(await ask());
});

// Guards against a message to every host for each answer that names another limit, and against hosts that forget it.
void tap.default.test('hosts are told of changes that matter, and again in time', async (t) => {
  const { clock, cores } = createFixture();
  const core = cores.get('core-0')!;
  let revision = -1;
  const isTold = (callsPerS: number | undefined) => {
    core.report({ hostId: 'h1', limits: [{ processId: 'u1', callsPerS, ageMs: 0 }] });
    const updates = core.findUpdates({ source: 'core-0', revision });
    revision = updates?.revision ?? revision;
    return updates !== undefined;
  };
  t.ok(isTold(2));
  t.notOk(isTold(2.2));
  t.ok(isTold(3));
  await clock.advance(21_000);
  t.ok(isTold(3), 'the same, before it is forgotten');
  t.ok(isTold(undefined));
  t.notOk(isTold(undefined));
});
