import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

const SEATS = ['a', 'b', 'c'].map((name) => ({ daemonId: name, voterId: `${name}1` }));

function createFacts(
  candidates: readonly consensus.SeatCandidate[],
  seats: readonly consensus.VoterSeat[] = SEATS,
): consensus.SeatFacts {
  return { seats, candidates, wanted: 3, patienceMs: 6_000, liveMs: 1_000 };
}

function heard(daemonId: string, voterId: string, silentMs = 0): consensus.SeatCandidate {
  return { daemonId, voterId, silentMs };
}

const ALL = [heard('a', 'a1'), heard('b', 'b1'), heard('c', 'c1')];

void tap.default.test('seats are repaired one at a time, and only when they need it', async (t) => {
  const cases = [
    { name: 'all are there', candidates: ALL, seats: SEATS, repair: undefined },
    { name: 'a spare stands by', candidates: [...ALL, heard('d', 'd1')], repair: undefined },
    {
      name: 'one lost its disk and is seated anew under its name',
      candidates: [heard('a', 'a1'), heard('b', 'b1'), heard('c', 'c1', 900), heard('c', 'c2')],
      repair: { add: { daemonId: 'c', voterId: 'c2' }, remove: undefined },
    },
    {
      name: 'one is away for a moment',
      candidates: [...ALL.slice(0, 2), heard('c', 'c1', 5_000), heard('d', 'd1')],
      repair: undefined,
    },
    {
      name: 'one stays away and a spare takes its seat',
      candidates: [...ALL.slice(0, 2), heard('c', 'c1', 7_000), heard('d', 'd1')],
      repair: { add: { daemonId: 'd', voterId: 'd1' }, remove: 'c' },
    },
    {
      name: 'one stays away and there is no spare',
      candidates: [...ALL.slice(0, 2), heard('c', 'c1', 7_000)],
      repair: undefined,
    },
    {
      name: 'a seat is missing',
      candidates: ALL,
      seats: SEATS.slice(0, 2),
      repair: { add: { daemonId: 'c', voterId: 'c1' }, remove: undefined },
    },
  ];
  cases.forEach(({ name, candidates, seats, repair }) => {
    t.same(consensus.planSeatRepair(createFacts(candidates, seats)), repair, name);
  });
});
