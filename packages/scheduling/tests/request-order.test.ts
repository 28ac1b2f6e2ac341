import * as scheduling from '@bramleyridge/scheduling';
import * as tap from 'tap';

interface Call extends scheduling.ShareRequest {
  readonly id: string;
}

function createCall(id: string, more: Partial<scheduling.ShareRequest> = {}): Call {
  return {
    id,
    team: id[0]!,
    priority: 0,
    cost: 100,
    serviceMs: 100,
    dueAt: 1_000,
    expiresAt: 2_000,
    ...more,
  };
}

function createQueue(getWeight: (team: string) => number = () => 1) {
  return new scheduling.FairShareQueue<Call>(getWeight);
}

function listIds(queue: scheduling.FairShareQueue<Call>, now: number): string[] {
  return [...queue.iterate(now)].map(({ id }) => id);
}

// Guards against an order other than priority, punctuality, team share and due date.
void tap.default.test('requests are ordered by the rules in turn', async (t) => {
  const queue = createQueue();
  [
    createCall('a1', { dueAt: 900 }),
    createCall('a2', { dueAt: 800 }),
    createCall('b1'),
    createCall('b2 late', { dueAt: 150 }),
    createCall('a3 late', { dueAt: 120 }),
    createCall('c1 background', { priority: 7, dueAt: 300 }),
  ].forEach((call) => queue.add(call, 0));
  t.same(listIds(queue, 100), ['a2', 'b1', 'a1', 'b2 late', 'a3 late', 'c1 background']);
  t.equal(queue.size, 6, 'iterating removes nothing');
});

// Guards against requests that are served although they left while the order was iterated.
void tap.default.test('requests may be taken and removed during iteration', async (t) => {
  const queue = createQueue();
  const calls = ['a1', 'a2', 'b1', 'b2'].map((id) => createCall(id));
  calls.forEach((call) => queue.add(call, 0));
  const seen: string[] = [];
  for (const call of queue.iterate(0)) {
    seen.push(call.id);
    queue.take(call, 0);
    queue.remove(calls[1]!);
  }
  t.same(seen, ['a1', 'b1', 'b2']);
  t.equal(queue.size, 0);
});

// Guards against requests that wait although they can only be answered when nobody waits for them.
void tap.default.test('requests without enough time are dropped and counted', async (t) => {
  const queue = createQueue();
  const [soon, later] = [createCall('a1', { expiresAt: 300 }), createCall('a2')];
  queue.add(soon, 0);
  queue.add(later, 0);
  t.same(queue.dropHopeless(200), []);
  t.same(queue.dropHopeless(201), [soon]);
  queue.recordRefused(createCall('a3'), 201);
  t.match(queue.listTeams(201), [{ team: 'a', priority: 0, weight: 1, served: 0 }]);
  const [{ asked, refused } = { asked: 0, refused: 0 }] = queue.listTeams(201);
  t.ok(asked > 2.9 && asked <= 3 && refused === 2, `${asked} asked, ${refused} refused`);
  queue.refuse(later, 300);
  t.equal(queue.size, 0);
  t.same(queue.dropHopeless(5_000), []);
  queue.recordRefused(createCall('b1'), 200_000);
  t.equal(queue.listTeams(200_000).length, 1, 'a team that asks for nothing is forgotten');
});

// Guards against a level that follows a team whose small requests fit where those of others do not.
void tap.default.test(
  'a team that is passed over or preferred does not move the level',
  async (t) => {
    const queue = createQueue();
    const serve = (id: string, now: number, cost = 100) => {
      const call = createCall(id, { cost, dueAt: 1e6, expiresAt: 1e6 });
      queue.add(call, now);
      queue.take(call, now);
    };
    const wait = (id: string, now: number) =>
      queue.add(createCall(id, { dueAt: 1e6, expiresAt: 1e6 }), now);
    ['a0', 'b0', 'large0', 'small0'].forEach((id) => wait(id, 0));
    for (let now = 1; now < 3_000; now += 1) {
      ['a', 'b']
        .filter((team) => now % 20 === Number(team === 'a'))
        .forEach((team) => serve(team, now));
      serve('small', now, 20);
    }
    wait('new', 3_000);
    const order = listIds(queue, 3_000);
    t.equal(order[0], 'large0', 'the one that got nothing');
    t.equal(order[1], 'new');
    t.equal(order.at(-1), 'small0', 'the one that got most');
  },
);

// Guards against refusals of requests that would be served in time, and against admission of hopeless ones.
void tap.default.test('the wait is forecast from the work ahead', async (t) => {
  const queue = createQueue();
  const capacityPerMs = 2;
  const estimate = (call: Call, now = 0) => queue.estimateWaitMs(call, capacityPerMs, now);
  t.equal(estimate(createCall('a')), 0, 'nothing is ahead');
  for (let n = 0; n < 8; n += 1) {
    queue.add(createCall(`a${n}`, { expiresAt: 4_000 }), 0);
  }
  const own = estimate(createCall('a9', { expiresAt: 4_000 }));
  t.ok(own >= 400, `${own} ms behind eight of the same team`);
  const other = estimate(createCall('b1'));
  t.ok(other < 200, `${other} ms for another team`);
  const background = estimate(createCall('b1', { priority: 7, expiresAt: 4_000 }));
  t.ok(background >= 400, `${background} ms behind a higher priority`);
  t.equal(estimate(createCall('a0', { dueAt: 500 })), 0, 'one that is due first');
  t.equal(queue.estimateWaitMs(createCall('a9'), 0, 0), Infinity, 'without capacity');
});

// Guards against figures that make all positions infinite.
void tap.default.test('extreme weights keep the order', async (t) => {
  const queue = createQueue((team) => (team === 'a' ? Number.MIN_VALUE : Number.MAX_VALUE));
  for (let n = 0; n < 20; n += 1) {
    queue.add(createCall(`a${n}`), 0);
    queue.add(createCall(`b${n}`), 0);
  }
  const order = listIds(queue, 0);
  t.same(
    order.slice(2, 20).filter((id) => id.startsWith('a')),
    [],
    'b comes first',
  );
  t.equal(order.length, 40);
});
