import * as tap from 'tap';

import * as evacuationStates from '../src/evacuation-state.js';

function order(availabilityZone: string, isEvacuated: boolean, expectedRevision: number) {
  return { evacuation: { availabilityZone, isEvacuated, expectedRevision } };
}

void tap.default.test('orders change the zones that are evacuated', async (t) => {
  const state = new evacuationStates.EvacuationState();
  t.equal(state.apply(order('a', true, 0)), 'changed');
  t.equal(state.apply(order('a', true, 0)), 'unchanged', 'repeated');
  t.equal(state.apply(order('b', true, 1)), 'changed');
  t.same(state.get(), { revision: 2, zones: ['a', 'b'] });
  t.equal(state.apply(order('a', false, 2)), 'changed');
  t.equal(state.apply(order('c', false, 3)), 'unchanged', 'one that was never evacuated');
  t.same(state.get(), { revision: 3, zones: ['b'] });
});

// Guards against a delayed order that undoes a later one.
void tap.default.test('an order for an older revision is ignored', async (t) => {
  const state = new evacuationStates.EvacuationState();
  state.apply(order('a', true, 0));
  state.apply(order('a', false, 1));
  t.equal(state.apply(order('a', true, 0)), 'stale');
  t.same(state.get(), { revision: 2, zones: [] });
});

// Guards against a host that reverts to older zones when its log is replayed.
void tap.default.test('an older state is not restored', async (t) => {
  const state = new evacuationStates.EvacuationState();
  t.ok(state.restore({ revision: 4, zones: ['a'] }));
  t.notOk(state.restore({ revision: 3, zones: [] }));
  t.ok(state.has('a'));
  t.equal(state.apply(order('a', false, 2)), 'stale', 'nor are entries that were already applied');
});

void tap.default.test('log entries of other kinds are distinguished', async (t) => {
  t.ok(evacuationStates.isEvacuationEntry(order('a', true, 0)));
  t.notOk(evacuationStates.isEvacuationEntry({ version: 1, text: '{}' }));
});
