import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

import * as simulations from './support/engine-pool-simulation.js';

function createSpec(callId: string): routing.PlacementSpec {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens: 200,
    answerTokens: 50,
    leftMs: 39_000,
    excluded: [],
    wantsCopy: false,
    ranMs: 0,
  };
}

// Guards against weights that only apply to generations that come later.
void tap.default.test('a change of weights in a shortage applies to what waits', async (t) => {
  const weights = new Map<string, number>();
  const ledger = new routing.EngineLedger();
  const getWeight = (team: string) => weights.get(team) ?? 1;
  const getMemoryTokens = () => simulations.MEMORY;
  const order = new routing.FairShareOrder({ ledger, getWeight, getMemoryTokens });
  const queue = new routing.PlacementQueue(ledger, order);
  const add = (team: string, n: number) =>
    queue.add({
      spec: createSpec(`${team}${n}`),
      team,
      dueAt: 9_000,
      priority: 0,
      expiresAt: 9_000,
    });
  for (let n = 0; n < 12; n += 1) {
    add('a', n);
    add('b', n);
  }
  const place = (now: number) => {
    ledger.setEngines([
      { engineId: `e${now}`, memoryTokens: simulations.MEMORY, slots: 8, availabilityZone: 'a' },
    ]);
    const teams = queue.dispatch(now).map(({ queued }) => queued.spec.callId[0]);
    return { a: teams.filter((team) => team === 'a').length, all: teams.length };
  };
  t.same(place(1), { a: 4, all: 8 }, 'equal weights');
  weights.set('a', 3);
  t.same(place(2), { a: 6, all: 8 }, 'three times the weight');
});

// Guards against charges for runs that only are reported, and against their wait behind other teams.
void tap.default.test('registrations are placed at once and not charged', async (t) => {
  const ledger = new routing.EngineLedger();
  const getMemoryTokens = () => simulations.MEMORY;
  const order = new routing.FairShareOrder({ ledger, getWeight: () => 1, getMemoryTokens });
  const queue = new routing.PlacementQueue(ledger, order);
  const spec = { ...createSpec('runs'), fixedEngineId: 'e1', isUnderWay: true };
  queue.add({ spec, team: 'a', dueAt: 0, priority: 0, expiresAt: 0 });
  t.equal(queue.size, 1);
  t.match(queue.dispatch(1), [{ placed: { engineId: 'e1' } }]);
  t.equal(queue.size, 0);
  t.same(order.listTeams(1), []);
});

// Guards against generations that are lost when the settings are read again.
void tap.default.test('generations continue to wait when the order changes', async (t) => {
  const ledger = new routing.EngineLedger();
  const queue = new routing.PlacementQueue(ledger);
  ['a1', 'b1'].forEach((callId) =>
    queue.add({ spec: createSpec(callId), dueAt: 900, priority: 0, expiresAt: 500 }),
  );
  queue.dispatch(1);
  const getMemoryTokens = () => simulations.MEMORY;
  queue.setOrder(new routing.FairShareOrder({ ledger, getWeight: () => 1, getMemoryTokens }));
  t.equal(queue.size, 2);
  queue.dispatch(2);
  queue.setOrder(new routing.DueDateOrder(ledger));
  const settled = queue.dispatch(500).map(({ queued }) => queued.spec.callId);
  t.same(settled, ['a1', 'b1']);
});
