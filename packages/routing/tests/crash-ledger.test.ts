import * as tap from 'tap';

import * as crashLedgers from '../src/crash-ledger.js';

// An upstream ends with all that it runs, and nobody tells under which call. The ledger must find the bad one with few
// upstreams lost, and must not hold for long what was only there by chance.

function createEnd(processId: string, isEarly = true) {
  return { processId, isEarly, wasAlone: false };
}

void tap.default.test('one end makes a suspect, and a whole answer clears it', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  t.equal(ledger.getStanding('a'), 'free');
  t.ok(ledger.recordProcessEnd('a', createEnd('p1'), 0));
  t.equal(ledger.getStanding('a'), 'suspect');
  t.notOk(ledger.recordProcessEnd('a', createEnd('p1'), 0), 'told twice it counts once');
  t.equal(ledger.getStanding('a'), 'suspect');
  t.ok(ledger.clear('a'));
  t.equal(ledger.getStanding('a'), 'free');
});

void tap.default.test('a run that had gone on for long counts half', async (t) => {
  // A draft of a minute that was on two engines when they ended has most likely nothing to do with it.
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('draft', createEnd('p1', false), 0);
  t.equal(ledger.getStanding('draft'), 'watched');
  t.same(ledger.permit('draft', 'p2', false, 0), { kind: 'go' });
  t.same(ledger.listChangesSince(-1).suspects, [], 'and no host is told');
  ledger.recordProcessEnd('draft', createEnd('p2', false), 0);
  t.equal(ledger.getStanding('draft'), 'suspect');
});

void tap.default.test(
  'suspects are kept apart, so that the next end shows whose it is',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p1'), 0));
    t.same(ledger.permit('bad', 'p2', false, 0), { kind: 'go' });
    t.same(
      ledger.permit('good', 'p2', false, 0),
      { kind: 'elsewhere' },
      'not where the other runs',
    );
    t.same(ledger.permit('good', 'p3', false, 0), { kind: 'go' });
    ledger.recordProcessEnd('bad', createEnd('p2'), 100);
    t.equal(ledger.getStanding('bad'), 'quarantined');
    ledger.clear('good');
    t.equal(ledger.getStanding('good'), 'free');
  },
);

void tap.default.test(
  'where suspects had to share an upstream, its end proves nothing',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p1'), 0));
    ledger.permit('bad', 'p2', true, 0);
    t.same(ledger.permit('good', 'p2', true, 0), { kind: 'go' }, 'there is no other upstream');
    ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p2'), 100));
    t.equal(ledger.getStanding('good'), 'suspect');
    t.equal(ledger.getStanding('bad'), 'suspect');
    ledger.recordProcessEnd('bad', createEnd('p3'), 200);
    t.equal(ledger.getStanding('bad'), 'quarantined', 'three in any company are too many');
  },
);

void tap.default.test('a suspect that comes often runs at one upstream', async (t) => {
  // At several it could end all of them before anything is known of the first.
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('bad', createEnd('p1'), 0);
  ledger.permit('bad', 'p2', false, 0);
  t.same(ledger.permit('bad', 'p3', false, 10), { kind: 'there', processId: 'p2' });
  t.same(ledger.permit('bad', 'p2', false, 10), { kind: 'go' });
  ledger.recordInconclusiveRun('bad', 'p2');
  t.same(ledger.permit('bad', 'p3', false, 20), { kind: 'go' }, 'when that run is over, anywhere');
});

void tap.default.test('a quarantined call is sent twice more, and never again', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('bad', createEnd('p1'), 0);
  ledger.permit('bad', 'p2', false, 0);
  ledger.recordProcessEnd('bad', createEnd('p2'), 0);
  const sentAt: number[] = [];
  for (let now = 0; now < 10 * 60_000; now += 100) {
    const processId = `q${now}`;
    if (ledger.permit('bad', processId, false, now).kind === 'go') {
      sentAt.push(now);
      ledger.recordProcessEnd('bad', createEnd(processId), now);
    }
  }
  t.same(sentAt, [3_000, 13_000]);
  t.equal(
    ledger.permitUnlessQuarantined('bad').kind,
    'refused',
    'also not by a host that hears no leader',
  );
});

void tap.default.test('a host that asks is told what has changed, or everything', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  const host = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('a', createEnd('p1'), 0);
  ledger.recordProcessEnd('b', createEnd('p1'), 0);
  host.apply(ledger.listChangesSince(-1), 0);
  const { revision } = ledger.listChangesSince(-1);
  ledger.clear('a');
  ledger.recordProcessEnd('c', createEnd('p2'), 0);
  const changes = ledger.listChangesSince(revision);
  t.same([changes.isWhole, changes.cleared], [false, ['a']]);
  t.same(
    changes.suspects.map(({ digest }) => digest),
    ['c'],
  );
  host.apply(changes, 0);
  t.same(
    ['a', 'b', 'c'].map((digest) => host.getStanding(digest)),
    ['free', 'suspect', 'suspect'],
  );
  host.recordProcessEnd('gone', createEnd('p9'), 0);
  host.apply(ledger.listChangesSince(-1), 0);
  t.equal(host.getStanding('gone'), 'free', 'all there is takes the place of what it knew');
});

void tap.default.test('bad calls that are made up don’t push the true ones out', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  ['p1', 'p2', 'p3'].forEach((processId) =>
    ledger.recordProcessEnd('bad', createEnd(processId), 0),
  );
  for (let i = 0; i < 3_000; i += 1) {
    ledger.recordProcessEnd(`made-up-${i}`, createEnd(`q${i}`), 0);
  }
  t.ok(ledger.size <= 1_000);
  t.equal(ledger.getStanding('bad'), 'quarantined');
  t.equal(ledger.getStanding('made-up-2999'), 'suspect', 'and the newest is there');
});

// Guards against an upstream more for a bad call whose leave came from a leader that is gone when its run ends.
void tap.default.test(
  'what a leave said of a run counts where its trial is not known',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    ledger.recordProcessEnd('bad', createEnd('p1'), 0);
    ledger.recordProcessEnd('bad', { ...createEnd('p2'), wasAlone: true }, 0);
    t.equal(ledger.getStanding('bad'), 'quarantined');
    ['one', 'other'].forEach((digest) => {
      ledger.recordProcessEnd(digest, createEnd('q1'), 0);
      ledger.permit(digest, 'q2', true, 0);
    });
    ledger.recordProcessEnd('one', { ...createEnd('q2'), wasAlone: true }, 100);
    t.equal(ledger.getStanding('one'), 'suspect', 'a trial that is known says more');
  },
);

// Guards against a send that nobody counts: a question about a suspect is asked again when the call is quarantined.
void tap.default.test('a permit from before the quarantine is no later send', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('bad', createEnd('p1'), 0);
  t.same(ledger.permit('bad', 'p2', false, 0, 'question'), { kind: 'go' });
  ledger.recordProcessEnd('bad', createEnd('p2'), 10);
  t.equal(ledger.getStanding('bad'), 'quarantined');
  t.match(ledger.permit('bad', 'p3', false, 20, 'question'), { kind: 'refused' });
});
