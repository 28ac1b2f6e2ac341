import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

const REPLACE_AFTER_MS = 6_000;

function createSlot(name: string, silentMs = 0): consensus.OccupiedVoterSlot {
  return { daemonId: name, voterId: `${name}1`, silentMs };
}

function createCandidate(
  daemonId: string,
  voterId: string,
  silentMs = 0,
): consensus.VoterSlotCandidate {
  return { daemonId, voterId, silentMs };
}

function createZoneCandidate(name: string, availabilityZone: string): consensus.VoterSlotCandidate {
  return { daemonId: name, voterId: `${name}1`, silentMs: 0, availabilityZone };
}

const SLOTS = ['a', 'b', 'c'].map((name) => createSlot(name));
const ALL = ['a', 'b', 'c'].map((name) => createCandidate(name, `${name}1`));
const FIVE = ['a', 'b', 'c', 'd', 'e'];

interface Case {
  readonly name: string;
  readonly candidates: readonly consensus.VoterSlotCandidate[];
  readonly slots?: readonly consensus.OccupiedVoterSlot[];
  readonly wanted?: number;
  /** The data directories that should vote; `undefined` if nothing should change. */
  readonly next?: readonly string[];
}

function check(t: { same: (a: unknown, b: unknown, name: string) => unknown }, item: Case): void {
  const { candidates, name, next, slots = SLOTS, wanted = 3 } = item;
  const plan = consensus.planVoterSlots({
    slots,
    candidates,
    slotCount: wanted,
    replaceAfterMs: REPLACE_AFTER_MS,
    liveMs: 1_000,
  });
  t.same(plan?.map((slot) => slot.voterId).sort(), next, name);
}

void tap.default.test('voter slots change only when necessary', async (t) => {
  const cases: Case[] = [
    { name: 'all holders are live', candidates: ALL },
    { name: 'a spare is available', candidates: [...ALL, createCandidate('d', 'd1')] },
    {
      name: 'one lost its disk and gets its slot again under its name',
      candidates: [
        createCandidate('a', 'a1'),
        createCandidate('b', 'b1'),
        createCandidate('c', 'c1', 900),
        createCandidate('c', 'c2'),
      ],
      next: ['a1', 'b1', 'c2'],
    },
    {
      name: 'one is briefly unavailable',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 5_000)],
      candidates: [...ALL, createCandidate('d', 'd1')],
    },
    {
      name: 'one stays unavailable and a spare gets its slot',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [
        ...ALL.slice(0, 2),
        createCandidate('c', 'c1', 7_000),
        createCandidate('d', 'd1'),
      ],
      next: ['a1', 'b1', 'd1'],
    },
    {
      name: 'one is live but does not catch up, since its disk hangs',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [...ALL, createCandidate('d', 'd1')],
      next: ['a1', 'b1', 'd1'],
    },
    {
      name: 'one stays unavailable and there is no spare',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [...ALL.slice(0, 2), createCandidate('c', 'c1', 7_000)],
    },
    {
      name: 'one stays unavailable and so is the spare',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [...ALL.slice(0, 2), createCandidate('d', 'd1', 1_500)],
    },
    {
      name: 'one is leaving and a spare gets its slot at once',
      candidates: [
        ...ALL.slice(0, 2),
        { ...createCandidate('c', 'c1'), isLeaving: true },
        createCandidate('d', 'd1'),
      ],
      next: ['a1', 'b1', 'd1'],
    },
    {
      name: 'one is leaving and there is no spare',
      candidates: [...ALL.slice(0, 2), { ...createCandidate('c', 'c1'), isLeaving: true }],
    },
    {
      name: 'a spare that is leaving gets no slot',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [...ALL.slice(0, 2), { ...createCandidate('d', 'd1'), isLeaving: true }],
    },
    {
      name: 'a slot is missing',
      slots: SLOTS.slice(0, 2),
      candidates: ALL,
      next: ['a1', 'b1', 'c1'],
    },
  ];
  cases.forEach((item) => check(t, item));
});

void tap.default.test(
  'the number of voters is odd, since an even one tolerates no more losses',
  async (t) => {
    // An interrupted change can leave four voters, one of them permanently lost. After one more loss, two of four are
    // left, which is no majority. The dead voter must be removed even if no host can replace it.
    const cases: Case[] = [
      {
        name: 'four voters, one of them dead',
        slots: [createSlot('a', 7_000), createSlot('b'), createSlot('c'), createSlot('d')],
        candidates: [...ALL.slice(1), createCandidate('d', 'd1')],
        next: ['b1', 'c1', 'd1'],
      },
      {
        name: 'four voters, all live',
        slots: FIVE.slice(0, 4).map((name) => createSlot(name)),
        candidates: [...ALL, createCandidate('d', 'd1')],
        next: ['a1', 'b1', 'c1'],
      },
      {
        name: 'five are wanted and four are live: three remain',
        candidates: [...ALL, createCandidate('d', 'd1')],
        wanted: 5,
      },
      {
        name: 'five are wanted and five are live',
        candidates: FIVE.map((name) => createCandidate(name, `${name}1`)),
        wanted: 5,
        next: FIVE.map((name) => `${name}1`),
      },
      {
        name: 'five are wanted, one of three is dead and one spare is live',
        slots: [createSlot('a', 7_000), createSlot('b'), createSlot('c')],
        candidates: [...ALL.slice(1), createCandidate('d', 'd1')],
        wanted: 5,
        next: ['b1', 'c1', 'd1'],
      },
      {
        name: 'two of five are dead and one spare is live',
        slots: [
          createSlot('a', 7_000),
          createSlot('b', 7_000),
          createSlot('c'),
          createSlot('d'),
          createSlot('e'),
        ],
        candidates: [
          ...FIVE.slice(2).map((name) => createCandidate(name, `${name}1`)),
          createCandidate('f', 'f1'),
        ],
        wanted: 5,
        next: ['a1', 'c1', 'd1', 'e1', 'f1'],
      },
      {
        name: 'two of five are unavailable, and the one that lags least keeps its slot',
        slots: [
          createSlot('a', 90_000),
          createSlot('b', 7_000),
          createSlot('c'),
          createSlot('d'),
          createSlot('e'),
        ],
        candidates: [
          ...FIVE.slice(2).map((name) => createCandidate(name, `${name}1`)),
          createCandidate('f', 'f1'),
        ],
        wanted: 5,
        next: ['b1', 'c1', 'd1', 'e1', 'f1'],
      },
    ];
    cases.forEach((item) => check(t, item));
  },
);

void tap.default.test('a zone holds no more voters than may be lost', async (t) => {
  const cases: Case[] = [
    {
      name: 'two voters of three in one zone, a spare elsewhere',
      candidates: [
        createZoneCandidate('a', 'x'),
        createZoneCandidate('b', 'x'),
        createZoneCandidate('c', 'y'),
        createZoneCandidate('d', 'z'),
      ],
      next: ['a1', 'c1', 'd1'],
    },
    {
      name: 'two voters of three in one zone, a spare there too',
      candidates: [
        createZoneCandidate('a', 'x'),
        createZoneCandidate('b', 'x'),
        createZoneCandidate('c', 'y'),
        createZoneCandidate('d', 'x'),
      ],
    },
    {
      name: 'a dead one is replaced from the zone without a voter',
      slots: [createSlot('a'), createSlot('b'), createSlot('c', 7_000)],
      candidates: [
        createZoneCandidate('a', 'x'),
        createZoneCandidate('b', 'y'),
        createZoneCandidate('d', 'x'),
        createZoneCandidate('e', 'z'),
      ],
      next: ['a1', 'b1', 'e1'],
    },
    {
      name: 'with two losses to tolerate a zone may hold two voters',
      slots: FIVE.map((name) => createSlot(name)),
      candidates: [
        ...['a', 'b'].map((name) => createZoneCandidate(name, 'x')),
        ...['c', 'd'].map((name) => createZoneCandidate(name, 'y')),
        ...['e', 'f'].map((name) => createZoneCandidate(name, 'z')),
      ],
      wanted: 5,
    },
  ];
  cases.forEach((item) => check(t, item));
});
