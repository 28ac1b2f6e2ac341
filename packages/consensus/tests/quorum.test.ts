import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

function seat(name: string): consensus.VoterSlot {
  return { daemonId: name, voterId: `${name}1` };
}

const FORMER = ['a', 'b', 'c'].map(seat);
const NEXT = ['b', 'c', 'd'].map(seat);

void tap.default.test('one group agrees by its majority, two by both of theirs', async (t) => {
  const cases = [
    { seating: { seats: FORMER }, who: ['a'], isReached: false },
    { seating: { seats: FORMER }, who: ['a', 'b'], isReached: true },
    { seating: { seats: NEXT, former: FORMER }, who: ['a', 'b'], isReached: false },
    { seating: { seats: NEXT, former: FORMER }, who: ['c', 'd'], isReached: false },
    { seating: { seats: NEXT, former: FORMER }, who: ['b', 'c'], isReached: true },
    { seating: { seats: NEXT, former: FORMER }, who: ['a', 'b', 'd'], isReached: true },
  ];
  cases.forEach(({ isReached, seating, who }) => {
    const quorum = new consensus.Quorum(seating);
    const groups = seating.former === undefined ? 'one group' : 'two groups';
    t.equal(
      quorum.isReached((item) => who.includes(item.daemonId)),
      isReached,
      `${groups}: ${who}`,
    );
  });
});

void tap.default.test(
  'what is reached, and how many losses are borne, is the worse of both',
  async (t) => {
    const quorum = new consensus.Quorum({ seats: NEXT, former: FORMER });
    const values: Record<string, number> = { a: 1, b: 2, c: 9, d: 7 };
    t.equal(
      quorum.getReachedValue((item) => values[item.daemonId]!),
      2,
    );
    t.same(
      quorum
        .listVoters()
        .map((item) => item.daemonId)
        .sort(),
      ['a', 'b', 'c', 'd'],
      'everyone once',
    );
    t.equal(
      quorum.countTolerableLosses(() => true),
      1,
    );
    t.equal(
      quorum.countTolerableLosses((item) => item.daemonId !== 'a'),
      0,
    );
    t.equal(
      quorum.countTolerableLosses((item) => item.daemonId === 'd'),
      -2,
    );
  },
);
