import * as tap from 'tap';

import * as crashLedgers from '../src/crash-ledger.js';
import * as partVerdicts from '../src/part-verdict.js';
import * as suspects from '../src/suspect.js';

const BAD = suspects.createPartId('engines', 'm', 'bad');
const SHARED = suspects.createPartId('engines', 'm', 'shared');

/** Time by which every verdict is due, in milliseconds. */
const LATER = 1_000;

function createEnd(processId: string, ...calls: string[]): suspects.ProcessEnd {
  return { processId, isEarly: true, wasAlone: false, calls };
}

function createFacts(digest: string, ends: suspects.ProcessEnd[], isBarred = false) {
  return { digest, ends, chances: 0, ...(isBarred ? { isBarred } : {}) };
}

void tap.default.test('the part that explains the most ends is found', async (t) => {
  const ends = [createEnd('p1', 'a'), createEnd('p2', 'b'), createEnd('p3', 'c')];
  const cases = [
    { name: 'too few ends', all: [createFacts(BAD, ends.slice(0, 2))], found: undefined },
    { name: 'enough ends', all: [createFacts(BAD, ends)], found: BAD },
    {
      name: 'the part of fewer lost calls, if both were at all ends',
      all: [
        createFacts(SHARED, [createEnd('p1', 'a', 'x'), ...ends.slice(1)]),
        createFacts(BAD, ends),
      ],
      found: BAD,
    },
    {
      name: 'the part that was at more ends',
      all: [createFacts(SHARED, [...ends, createEnd('p4', 'd')]), createFacts(BAD, ends)],
      found: SHARED,
    },
    {
      name: 'no part of which only one call was lost, again and again',
      all: [
        createFacts(
          BAD,
          ['p1', 'p2', 'p3'].map((id) => createEnd(id, 'a')),
        ),
      ],
      found: undefined,
    },
    {
      name: 'no further part for ends that a barred part explains',
      all: [createFacts(BAD, ends, true), createFacts(SHARED, ends)],
      found: undefined,
    },
  ];
  cases.forEach(({ all, found, name }) => {
    t.equal(partVerdicts.findBadPart(all)?.digest, found, name);
  });
});

function createLedger(parts: readonly string[], processes: readonly string[]) {
  const ledger = new crashLedgers.CrashLedger();
  processes.forEach((id, n) => {
    parts.forEach((part) => ledger.recordProcessEnd(part, createEnd(id, `call-${n}`), 0));
  });
  return ledger;
}

const PROCESSES = ['p1', 'p2', 'p3'];

void tap.default.test('a part is barred after other hosts had time to report', async (t) => {
  const ledger = createLedger([SHARED, BAD], PROCESSES);
  t.same(ledger.barParts(0), []);
  t.equal(ledger.findPartRefusal([SHARED, BAD], 0), undefined, 'calls are sent until then');
  ledger.clear(SHARED);
  t.same(ledger.barParts(LATER), [BAD]);
  t.match(ledger.findPartRefusal([SHARED, BAD], LATER), { kind: 'refused' });
  t.equal(ledger.findPartRefusal([SHARED], LATER), undefined, 'calls without it are sent');
  t.same(ledger.barParts(LATER), [], 'and no other part is barred for the same ends');
});

void tap.default.test('a part on which answers are written is never barred', async (t) => {
  const ledger = createLedger([SHARED], ['p1', 'p2']);
  ledger.clear(SHARED);
  PROCESSES.forEach((id) => ledger.recordProcessEnd(SHARED, createEnd(id, `late-${id}`), 0));
  t.same(ledger.barParts(LATER), [], 'ends from before the answer are not counted again');
  ledger.merge([createFacts(SHARED, [createEnd('p1', 'x'), createEnd('p2', 'y')], true)], 0);
  t.equal(
    ledger.getStanding(SHARED),
    'suspect',
    'nor is the verdict of a host that lacks the answer taken',
  );
});

// Guards against a verdict that costs engines for as long as calls with the part come.
void tap.default.test('a barred part is tried twice, and never again', async (t) => {
  const ledger = createLedger([BAD], PROCESSES);
  ledger.barParts(LATER);
  const trials: number[] = [];
  for (let now = LATER; now < 120_000; now += 100) {
    if (ledger.permit(BAD, `t${now}`, true, now, `permit-${now}`).kind === 'go') {
      trials.push(now);
      ledger.recordProcessEnd(BAD, createEnd(`t${now}`, `call-${now}`), now);
    }
  }
  t.equal(trials.length, 2);
  t.ok(trials[0]! <= LATER + 3_000, 'the first trial comes soon');
});

void tap.default.test('a part that was barred by chance is freed by one answer', async (t) => {
  const ledger = createLedger([SHARED, BAD], PROCESSES);
  const [best, other] = ledger.barParts(LATER);
  t.same(new Set([best, other]), new Set([BAD, SHARED]), 'both were at all ends');
  t.match(ledger.findPartRefusal([best!], LATER), { kind: 'refused' });
  t.equal(ledger.findPartRefusal([other!], LATER), undefined, 'the second one is tried at once');
  const trialAt = LATER + 2_000;
  t.match(ledger.findPartRefusal([best!, other!], trialAt), { kind: 'refused' }, 'not in one call');
  t.equal(ledger.findPartRefusal([best!], trialAt), undefined);
  ledger.clear(best!);
  t.equal(ledger.getStanding(best!), 'free');
  t.equal(ledger.getStanding(other!), 'quarantined');
});

// Guards against a ledger that callers fill with parts that they invent.
void tap.default.test('invented parts do not displace a barred one', async (t) => {
  const ledger = createLedger([BAD], PROCESSES);
  ledger.barParts(LATER);
  for (let n = 0; n < 3_000; n += 1) {
    ledger.recordProcessEnd(
      suspects.createPartId('engines', 'm', `p${n}`),
      createEnd('p9', 'x'),
      0,
    );
  }
  t.ok(ledger.size <= 1_000);
  t.equal(ledger.getStanding(BAD), 'quarantined');
});
