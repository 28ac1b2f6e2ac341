import * as tap from 'tap';

import * as crashLedgers from '../src/crash-ledger.js';

// When an upstream process ends, so does everything that runs on it, without any information on the
// cause. The ledger must find the faulty call at the cost of few upstreams, and must not restrict
// for long a call that was there only by chance.

function createEnd(processId: string, isEarly = true) {
  return { processId, isEarly, wasAlone: false };
}

void tap.default.test(
  'one process end makes a suspect, and a complete answer clears it',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    t.equal(ledger.getStanding('a'), 'free');
    t.ok(ledger.recordProcessEnd('a', createEnd('p1'), 0));
    t.equal(ledger.getStanding('a'), 'suspect');
    t.notOk(ledger.recordProcessEnd('a', createEnd('p1'), 0), 'a repeated report counts once');
    t.equal(ledger.getStanding('a'), 'suspect');
    t.ok(ledger.clear('a'));
    t.equal(ledger.getStanding('a'), 'free');
  },
);

void tap.default.test('an end late in a run counts half', async (t) => {
  // A generation that ran for a minute on each of two engines when they ended is most likely not
  // the cause.
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('long', createEnd('p1', false), 0);
  t.equal(ledger.getStanding('long'), 'watched');
  t.same(ledger.permit('long', 'p2', false, 0), { kind: 'go' });
  t.same(ledger.listChangesSince(-1).suspects, [], 'and it is not published to hosts');
  ledger.recordProcessEnd('long', createEnd('p2', false), 0);
  t.equal(ledger.getStanding('long'), 'suspect');
});

void tap.default.test(
  'suspects are kept apart, so that the next end can be attributed',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p1'), 0));
    t.same(ledger.permit('bad', 'p2', false, 0), { kind: 'go' });
    t.same(
      ledger.permit('good', 'p2', false, 0),
      { kind: 'elsewhere' },
      'not where the other suspect runs',
    );
    t.same(ledger.permit('good', 'p3', false, 0), { kind: 'go' });
    ledger.recordProcessEnd('bad', createEnd('p2'), 100);
    t.equal(ledger.getStanding('bad'), 'quarantined');
    ledger.clear('good');
    t.equal(ledger.getStanding('good'), 'free');
  },
);

void tap.default.test('the end of an upstream shared by suspects is not attributed', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p1'), 0));
  ledger.permit('bad', 'p2', true, 0);
  t.same(ledger.permit('good', 'p2', true, 0), { kind: 'go' }, 'there is no other upstream');
  ['bad', 'good'].forEach((digest) => ledger.recordProcessEnd(digest, createEnd('p2'), 100));
  t.equal(ledger.getStanding('good'), 'suspect');
  t.equal(ledger.getStanding('bad'), 'suspect');
  ledger.recordProcessEnd('bad', createEnd('p3'), 200);
  t.equal(ledger.getStanding('bad'), 'quarantined', 'three ends are enough in any case');
});

void tap.default.test('repeated sends of a suspect run on one upstream', async (t) => {
  // On several upstreams it could end all of them before the first end is reported.
  const ledger = new crashLedgers.CrashLedger();
  ledger.recordProcessEnd('bad', createEnd('p1'), 0);
  ledger.permit('bad', 'p2', false, 0);
  t.same(ledger.permit('bad', 'p3', false, 10), { kind: 'there', processId: 'p2' });
  t.same(ledger.permit('bad', 'p2', false, 10), { kind: 'go' });
  ledger.recordInconclusiveRun('bad', 'p2');
  t.same(
    ledger.permit('bad', 'p3', false, 20),
    { kind: 'go' },
    'on any upstream once that run is over',
  );
});

void tap.default.test('a quarantined call is sent twice more and never again', async (t) => {
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
  t.equal(ledger.permitUnlessQuarantined('bad').kind, 'refused', 'also on a host without a leader');
});

void tap.default.test(
  'a host receives the changes since its revision, or everything',
  async (t) => {
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
    t.equal(host.getStanding('gone'), 'free', 'a complete list replaces what it had recorded');
  },
);

void tap.default.test('fabricated faulty calls do not displace quarantined ones', async (t) => {
  const ledger = new crashLedgers.CrashLedger();
  ['p1', 'p2', 'p3'].forEach((processId) =>
    ledger.recordProcessEnd('bad', createEnd(processId), 0),
  );
  for (let i = 0; i < 3_000; i += 1) {
    ledger.recordProcessEnd(`fabricated-${i}`, createEnd(`q${i}`), 0);
  }
  t.ok(ledger.size <= 1_000);
  t.equal(ledger.getStanding('bad'), 'quarantined');
  t.equal(ledger.getStanding('fabricated-2999'), 'suspect', 'and the newest is kept');
});

// Guards against losing one more upstream to a faulty call whose permit came from a leader that has
// lost its lead when the run ends.
void tap.default.test(
  'whether a run was alone is taken from its permit if the ledger has no trial of it',
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
    t.equal(ledger.getStanding('one'), 'suspect', 'a known trial takes precedence');
  },
);

// Guards against an uncounted send: the request for a permit is repeated after the call has been
// quarantined.
void tap.default.test(
  'a permit from before the quarantine does not allow a later send',
  async (t) => {
    const ledger = new crashLedgers.CrashLedger();
    ledger.recordProcessEnd('bad', createEnd('p1'), 0);
    t.same(ledger.permit('bad', 'p2', false, 0, 'request'), { kind: 'go' });
    ledger.recordProcessEnd('bad', createEnd('p2'), 10);
    t.equal(ledger.getStanding('bad'), 'quarantined');
    t.match(ledger.permit('bad', 'p3', false, 20, 'request'), { kind: 'refused' });
  },
);
