import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** How long the memory of one token takes over an engine's link, in milliseconds, inside a zone and between zones. */
const NEAR_MS_PER_TOKEN = 0.055;
const FAR_MS_PER_TOKEN = 0.11;

/** From the word that an engine leaves until it is gone, in milliseconds. */
const NOTICE_MS = 1_600;

function createNeed(callId: string, promptTokens: number): routing.PlacementSpec {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens,
    answerTokens: 900,
    leftMs: 39_000,
    excluded: [],
    wantsCopy: false,
    ranMs: 2_000,
  };
}

function createEngine(engineId: string, availabilityZone: string): routing.LedgerEngine {
  return { engineId, memoryTokens: 34_000, slots: 24, availabilityZone };
}

/** Eight runs of 2,000 to 5,500 prompt tokens on an engine that leaves, and engines that stay. */
function createLeaving(stay: readonly routing.LedgerEngine[]) {
  const ledger = new routing.EngineLedger();
  ledger.setEngines([createEngine('leaves', 'a'), ...stay]);
  const plan = new routing.MigrationScheduler(ledger);
  const sizes = [5_500, 2_000, 4_500, 2_500, 5_000, 3_000, 3_500, 4_000];
  const offer = (callId: string, excluded: readonly string[] = []) =>
    plan.offer({ callId, engineId: 'leaves', excluded, expiresAt: Infinity });
  sizes.forEach((promptTokens, n) => {
    const need = { ...createNeed(`c${n}`, promptTokens), fixedEngineId: 'leaves' };
    ledger.place(need, 0);
    offer(need.callId);
  });
  ledger.setEngines(stay);
  return { ledger, offer, plan, sizes };
}

void tap.default.test(
  'eight runs and a notice of 1.6 s: as many as the link can carry',
  async (t) => {
    // An engine that runs eight drafts is taken away. Its link carries one copy at a time, 0.1 to 0.3 s each inside the
    // zone. Ordered at once, all eight would be half there when it is gone; in turn and the smallest first, seven are
    // through, and only the largest is lost.
    const { ledger, plan, sizes } = createLeaving([
      createEngine('e1', 'a'),
      createEngine('e2', 'b'),
    ]);
    const saved: string[] = [];
    let busyUntil = 0;
    let moving: { callId: string; takerId: string } | undefined;
    for (let now = 0; now < NOTICE_MS; now += 5) {
      if (moving !== undefined && now >= busyUntil) {
        saved.push(moving.callId);
        plan.withdraw(moving.callId);
        const { callId, takerId } = moving;
        ledger.place({ ...createNeed(callId, 0), fixedEngineId: takerId }, now);
        moving = undefined;
      }
      const settled = plan.dispatch(now);
      t.ok(settled.length <= 1, 'one at a time');
      const [next] = settled;
      if (next?.targetEngineId !== undefined) {
        const { callId } = next.run;
        const tokens = sizes[Number(callId.slice(1))]! + 170;
        const msPerToken = next.targetEngineId === 'e1' ? NEAR_MS_PER_TOKEN : FAR_MS_PER_TOKEN;
        busyUntil = now + tokens * msPerToken + 20;
        moving = { callId, takerId: next.targetEngineId };
      }
    }
    t.ok(saved.length >= 6, `${saved.length} of 8 are handed over`);
    t.equal(saved[0], 'c1', 'the smallest is first');
    t.notOk(saved.includes('c0'), 'the largest is last');
  },
);

void tap.default.test(
  'a taker in the same zone is worth more than an emptier one far away',
  async (t) => {
    // Between zones the way takes twice as long, and with it every run behind it in the queue.
    const { ledger, plan } = createLeaving([createEngine('near', 'a'), createEngine('far', 'b')]);
    ledger.place({ ...createNeed('other', 5_000), fixedEngineId: 'near' }, 0);
    t.equal(plan.dispatch(10)[0]?.targetEngineId, 'near');
  },
);

void tap.default.test('that holds for a run whose caller is in neither zone', async (t) => {
  const ledger = new routing.EngineLedger();
  const stay = [createEngine('near', 'a'), createEngine('far', 'b')];
  ledger.setEngines([createEngine('leaves', 'a'), ...stay]);
  const need = { ...createNeed('c1', 3_000), availabilityZone: 'c' };
  ledger.place({ ...need, fixedEngineId: 'leaves' }, 0);
  ledger.place({ ...createNeed('other', 3_000), fixedEngineId: 'near' }, 0);
  ledger.setEngines(stay);
  const plan = new routing.MigrationScheduler(ledger);
  plan.offer({ callId: 'c1', engineId: 'leaves', excluded: [], expiresAt: Infinity });
  t.equal(plan.dispatch(10)[0]?.targetEngineId, 'near');
});

void tap.default.test(
  'a run that another engine keeps a copy of leaves the link to the others',
  async (t) => {
    const { ledger, plan } = createLeaving([createEngine('e1', 'a')]);
    ledger.setBackup('c1', 'e1');
    t.equal(plan.dispatch(10)[0]?.run.callId, 'c3', 'the smallest without a copy');
  },
);

void tap.default.test(
  'one that ends by itself in time leaves the link to the others',
  async (t) => {
    const { ledger, offer, plan } = createLeaving([createEngine('e1', 'a')]);
    const need = { ...createNeed('ending', 1_000), answerTokens: 200, fixedEngineId: 'leaves' };
    ledger.place(need, 0);
    offer('ending');
    t.equal(plan.dispatch(10)[0]?.run.callId, 'c1');
  },
);

void tap.default.test(
  'a host that dies with its turn does not keep the others from theirs',
  async (t) => {
    // The first run's host is killed in the middle of the hand-over and never tells how it went.
    const { plan } = createLeaving([createEngine('e1', 'a')]);
    t.equal(plan.dispatch(10).length, 1);
    t.equal(plan.dispatch(500).length, 0, 'its turn stands');
    t.equal(plan.dispatch(1_100).length, 1, 'and ends');
  },
);

void tap.default.test(
  'a taker without room is asked once, and another run gets its turn',
  async (t) => {
    const { offer, plan } = createLeaving([createEngine('e1', 'a')]);
    const [first] = plan.dispatch(10);
    plan.endMigration(first!.run.callId);
    offer(first!.run.callId, ['e1']);
    t.equal(plan.dispatch(20)[0]?.run.callId, 'c3', 'the next smallest');
  },
);

void tap.default.test(
  'runs of engines that stay are left alone, and their hosts are answered',
  async (t) => {
    const ledger = new routing.EngineLedger();
    ledger.setEngines([createEngine('e1', 'a'), createEngine('e2', 'a')]);
    const plan = new routing.MigrationScheduler(ledger);
    ledger.place({ ...createNeed('c1', 3_000), fixedEngineId: 'e1' }, 0);
    plan.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 100 });
    t.equal(plan.dispatch(99).length, 0);
    t.same(
      plan.dispatch(100).map(({ targetEngineId: takerId }) => takerId),
      [undefined],
    );
    t.equal(plan.withdraw('c1'), undefined, 'nobody waits any more');
  },
);

void tap.default.test('a run whose turn came to nothing has another', async (t) => {
  // Its host did not know the taker yet, or its word was lost. Taken for copied, the run would be lost with its engine.
  const { offer, plan } = createLeaving([createEngine('e1', 'a')]);
  const [first] = plan.dispatch(10);
  const { callId } = first!.run;
  offer(callId);
  t.equal(plan.dispatch(500).length, 0);
  t.equal(plan.dispatch(1_100)[0]?.run.callId, callId);
});

void tap.default.test('a run that was taken back is not handed over', async (t) => {
  // It has ended, and its host has no use for a taker. Ordered all the same, the copy would keep the link from the others.
  const { plan, sizes } = createLeaving([createEngine('e1', 'a')]);
  const smallest = `c${sizes.indexOf(Math.min(...sizes))}`;
  plan.withdraw(smallest);
  t.not(plan.dispatch(10)[0]?.run.callId, smallest);
});

void tap.default.test(
  'a run that is offered anew waits anew, and keeps nobody waiting',
  async (t) => {
    // Hosts are answered in the order in which their waits end. One that has asked again stands last now; were it still
    // looked at first, the hosts behind it would get no answer in time, and go without the leader for half a second.
    const ledger = new routing.EngineLedger();
    ledger.setEngines([createEngine('e1', 'a')]);
    const plan = new routing.MigrationScheduler(ledger);
    plan.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 100 });
    plan.offer({ callId: 'c2', engineId: 'e1', excluded: [], expiresAt: 150 });
    plan.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 300 });
    t.same(
      plan.dispatch(160).map(({ run }) => run.callId),
      ['c2'],
    );
  },
);
