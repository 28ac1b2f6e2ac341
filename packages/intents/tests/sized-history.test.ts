import * as intents from '@bramleyridge/intents';
import * as tap from 'tap';

void tap.default.test('the oldest values go beyond the count or the size', async (t) => {
  // Guards against a snapshot that grows with the size of what operators send until no host can receive it.
  const history = new intents.SizedHistory<string>({ count: 3, length: 100 }, (value) => value);
  const put = (...values: string[]) => values.forEach((value) => history.set(value, value));
  put('a', 'b', 'c', 'd');
  t.same(history.list(), ['b', 'c', 'd'], 'by count');
  put('e'.repeat(96));
  t.same(history.list(), ['e'.repeat(96)], 'by size');
  put('f'.repeat(500));
  t.same(history.list(), ['f'.repeat(500)], 'the newest stays, whatever its size');
  put('g');
  t.same(history.list(), ['g']);
  put('g', 'h');
  t.same(history.listEntries(), [
    ['g', 'g'],
    ['h', 'h'],
  ]);
  const other = new intents.SizedHistory<string>({ count: 3, length: 100 }, (value) => value);
  other.restore(history.listEntries());
  t.same(other.list(), history.list(), 'restored');
});

void tap.default.test('plans of some megabytes leave a snapshot that can be sent', async (t) => {
  // Guards against 200 plans and 5,000 answers, each as large as operators may send, in memory and in one message.
  const state = new intents.ControlState();
  const teams = Array.from({ length: 4_000 }, (_, i) => ({
    kind: 'team' as const,
    name: `team-${i}`,
    tokenSha256: ['0'.repeat(64)],
    availabilityZones: ['a'],
    weight: 1,
    maxConcurrent: 1,
    maxQueued: 1,
  }));
  const declaration = { teams, intents: [], services: [] };
  for (let i = 0; i < 40; i += 1) {
    const command = { kind: 'plan' as const, requestId: `${i}`, operator: 'o', at: i, declaration };
    t.equal(state.apply(command, i).kind, 'planned');
  }
  const bytes = JSON.stringify(state.getSnapshot()).length;
  t.ok(bytes < 24 * 1024 * 1024, `${bytes} bytes`);
  t.equal(state.listPlans()[0]?.planId, 'plan-39', 'the newest plan is kept');
});
