import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

function createSlot(name: string): consensus.VoterSlot {
  return { daemonId: name, voterId: `${name}1` };
}

const FORMER = ['a', 'b', 'c'].map(createSlot);
const NEXT = ['b', 'c', 'd'].map(createSlot);

void tap.default.test(
  'one group needs its majority, two groups need both majorities',
  async (t) => {
    const cases = [
      { voterSet: { seats: FORMER }, who: ['a'], isReached: false },
      { voterSet: { seats: FORMER }, who: ['a', 'b'], isReached: true },
      { voterSet: { seats: NEXT, former: FORMER }, who: ['a', 'b'], isReached: false },
      { voterSet: { seats: NEXT, former: FORMER }, who: ['c', 'd'], isReached: false },
      { voterSet: { seats: NEXT, former: FORMER }, who: ['b', 'c'], isReached: true },
      { voterSet: { seats: NEXT, former: FORMER }, who: ['a', 'b', 'd'], isReached: true },
    ];
    cases.forEach(({ isReached, voterSet, who }) => {
      const quorum = new consensus.Quorum(voterSet);
      const groups = voterSet.former === undefined ? 'one group' : 'two groups';
      t.equal(
        quorum.isReached((item) => who.includes(item.daemonId)),
        isReached,
        `${groups}: ${who}`,
      );
    });
  },
);

void tap.default.test(
  'the reached value and the tolerable losses are the minimum of both groups',
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
      'each voter once',
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
