import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/**
 * Time to transfer the memory of one token over an engine's link, in milliseconds, within a zone
 * and between zones.
 */
const SAME_ZONE_MS_PER_TOKEN = 0.055;
const CROSS_ZONE_MS_PER_TOKEN = 0.11;

/** Time from the report that an engine is leaving until it is gone, in milliseconds. */
const NOTICE_MS = 1_600;

function createSpec(callId: string, promptTokens: number): routing.PlacementSpec {
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

/**
 * Creates a leaving engine with eight runs of 2,000 to 5,500 prompt tokens, and engines that stay.
 */
function createLeavingEngine(stay: readonly routing.LedgerEngine[]) {
  const ledger = new routing.EngineLedger();
  ledger.setEngines([createEngine('leaves', 'a'), ...stay]);
  const scheduler = new routing.MigrationScheduler(ledger);
  const sizes = [5_500, 2_000, 4_500, 2_500, 5_000, 3_000, 3_500, 4_000];
  const offer = (callId: string, excluded: readonly string[] = []) =>
    scheduler.offer({ callId, engineId: 'leaves', excluded, expiresAt: Infinity });
  sizes.forEach((promptTokens, n) => {
    const spec = { ...createSpec(`c${n}`, promptTokens), fixedEngineId: 'leaves' };
    ledger.place(spec, 0);
    offer(spec.callId);
  });
  ledger.setEngines(stay);
  return { ledger, offer, scheduler, sizes };
}

void tap.default.test(
  'eight runs and a notice of 1.6 s: as many migrate as the link can transfer',
  async (t) => {
    // An engine with eight long generations is reclaimed. Its link transfers one copy at a time, in
    // 0.1 to 0.3 s each within the zone. If all were started at once, all eight would be half
    // transferred when it is gone; one at a time and the smallest first, seven complete and only
    // the largest is lost.
    const { ledger, scheduler, sizes } = createLeavingEngine([
      createEngine('e1', 'a'),
      createEngine('e2', 'b'),
    ]);
    const completed: string[] = [];
    let busyUntil = 0;
    let active: { callId: string; targetEngineId: string } | undefined;
    for (let now = 0; now < NOTICE_MS; now += 5) {
      if (active !== undefined && now >= busyUntil) {
        completed.push(active.callId);
        scheduler.withdraw(active.callId);
        const { callId, targetEngineId } = active;
        ledger.place({ ...createSpec(callId, 0), fixedEngineId: targetEngineId }, now);
        active = undefined;
      }
      const settled = scheduler.dispatch(now);
      t.ok(settled.length <= 1, 'one at a time');
      const [next] = settled;
      if (next?.targetEngineId !== undefined) {
        const { callId } = next.run;
        const tokens = sizes[Number(callId.slice(1))]! + 170;
        const msPerToken =
          next.targetEngineId === 'e1' ? SAME_ZONE_MS_PER_TOKEN : CROSS_ZONE_MS_PER_TOKEN;
        busyUntil = now + tokens * msPerToken + 20;
        active = { callId, targetEngineId: next.targetEngineId };
      }
    }
    t.ok(completed.length >= 6, `${completed.length} of 8 migrate`);
    t.equal(completed[0], 'c1', 'the smallest is first');
    t.notOk(completed.includes('c0'), 'the largest is last');
  },
);

void tap.default.test(
  'a target in the same zone is preferred to an emptier one in another zone',
  async (t) => {
    // Between zones the transfer takes twice as long, and so does the wait of every run behind it
    // in the queue.
    const { ledger, scheduler } = createLeavingEngine([
      createEngine('near', 'a'),
      createEngine('far', 'b'),
    ]);
    ledger.place({ ...createSpec('other', 5_000), fixedEngineId: 'near' }, 0);
    t.equal(scheduler.dispatch(10)[0]?.targetEngineId, 'near');
  },
);

void tap.default.test('this also holds for a run whose caller is in neither zone', async (t) => {
  const ledger = new routing.EngineLedger();
  const stay = [createEngine('near', 'a'), createEngine('far', 'b')];
  ledger.setEngines([createEngine('leaves', 'a'), ...stay]);
  const spec = { ...createSpec('c1', 3_000), availabilityZone: 'c' };
  ledger.place({ ...spec, fixedEngineId: 'leaves' }, 0);
  ledger.place({ ...createSpec('other', 3_000), fixedEngineId: 'near' }, 0);
  ledger.setEngines(stay);
  const scheduler = new routing.MigrationScheduler(ledger);
  scheduler.offer({ callId: 'c1', engineId: 'leaves', excluded: [], expiresAt: Infinity });
  t.equal(scheduler.dispatch(10)[0]?.targetEngineId, 'near');
});

void tap.default.test(
  'a run with a backup on another engine leaves the link to the others',
  async (t) => {
    const { ledger, scheduler } = createLeavingEngine([createEngine('e1', 'a')]);
    ledger.setBackup('c1', 'e1');
    t.equal(scheduler.dispatch(10)[0]?.run.callId, 'c3', 'the smallest without a backup');
  },
);

void tap.default.test(
  'a run that ends by itself in time leaves the link to the others',
  async (t) => {
    const { ledger, offer, scheduler } = createLeavingEngine([createEngine('e1', 'a')]);
    const spec = { ...createSpec('ending', 1_000), answerTokens: 200, fixedEngineId: 'leaves' };
    ledger.place(spec, 0);
    offer('ending');
    t.equal(scheduler.dispatch(10)[0]?.run.callId, 'c1');
  },
);

void tap.default.test(
  'a host that crashes during a migration does not block the others',
  async (t) => {
    // The host of the first run is killed during the migration and never reports the result.
    const { scheduler } = createLeavingEngine([createEngine('e1', 'a')]);
    t.equal(scheduler.dispatch(10).length, 1);
    t.equal(scheduler.dispatch(500).length, 0, 'its migration is still in progress');
    t.equal(scheduler.dispatch(1_100).length, 1, 'and times out');
  },
);

void tap.default.test(
  'a target without capacity is tried once, and another run migrates',
  async (t) => {
    const { offer, scheduler } = createLeavingEngine([createEngine('e1', 'a')]);
    const [first] = scheduler.dispatch(10);
    scheduler.endMigration(first!.run.callId);
    offer(first!.run.callId, ['e1']);
    t.equal(scheduler.dispatch(20)[0]?.run.callId, 'c3', 'the next smallest');
  },
);

void tap.default.test(
  'runs of engines that stay do not migrate, and their hosts are answered',
  async (t) => {
    const ledger = new routing.EngineLedger();
    ledger.setEngines([createEngine('e1', 'a'), createEngine('e2', 'a')]);
    const scheduler = new routing.MigrationScheduler(ledger);
    ledger.place({ ...createSpec('c1', 3_000), fixedEngineId: 'e1' }, 0);
    scheduler.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 100 });
    t.equal(scheduler.dispatch(99).length, 0);
    t.same(
      scheduler.dispatch(100).map(({ targetEngineId }) => targetEngineId),
      [undefined],
    );
    t.equal(scheduler.withdraw('c1'), undefined, 'no host waits any more');
  },
);

void tap.default.test('a run whose migration did not take place migrates later', async (t) => {
  // Its host did not know the target engine yet, or its report was lost. If the run counted as
  // copied, it would be lost with its engine.
  const { offer, scheduler } = createLeavingEngine([createEngine('e1', 'a')]);
  const [first] = scheduler.dispatch(10);
  const { callId } = first!.run;
  offer(callId);
  t.equal(scheduler.dispatch(500).length, 0);
  t.equal(scheduler.dispatch(1_100)[0]?.run.callId, callId);
});

void tap.default.test('a withdrawn run does not migrate', async (t) => {
  // The run has ended and needs no target engine. If the copy were started regardless, it would
  // occupy the link.
  const { scheduler, sizes } = createLeavingEngine([createEngine('e1', 'a')]);
  const smallest = `c${sizes.indexOf(Math.min(...sizes))}`;
  scheduler.withdraw(smallest);
  t.not(scheduler.dispatch(10)[0]?.run.callId, smallest);
});

void tap.default.test('a run that is offered again waits again and delays nobody', async (t) => {
  // Hosts are answered in the order in which their waits end. One that has asked again is now
  // last; if it were still checked first, the hosts behind it would get no answer in time, and
  // would be without the leader for half a second.
  const ledger = new routing.EngineLedger();
  ledger.setEngines([createEngine('e1', 'a')]);
  const scheduler = new routing.MigrationScheduler(ledger);
  scheduler.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 100 });
  scheduler.offer({ callId: 'c2', engineId: 'e1', excluded: [], expiresAt: 150 });
  scheduler.offer({ callId: 'c1', engineId: 'e1', excluded: [], expiresAt: 300 });
  t.same(
    scheduler.dispatch(160).map(({ run }) => run.callId),
    ['c2'],
  );
});
