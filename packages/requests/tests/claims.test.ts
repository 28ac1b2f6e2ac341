import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

import * as groups from './support/claim-group.js';

const SEATED = ['a1', 'b1', 'c1'];
const SPARES = ['a2', 'b2', 'c2'];
const ALL = [...SEATED, ...SPARES];

function createValue(daemonId: string, call: string): requests.ClaimValue {
  return {
    call,
    daemonId,
    incarnation: 1,
    host: '',
    peerPort: 0,
    upstreamId: 'e1',
    requestHash: 'h',
  };
}

async function claim(
  group: groups.ClaimGroup,
  daemonId: string,
  call: string,
): Promise<string | undefined> {
  const proposer = group.getProposer(daemonId);
  let result: string | undefined;
  void proposer.claim('key', createValue(daemonId, call)).then(
    (value) => {
      result = value.call;
    },
    () => {},
  );
  await group.clock.advance(6_000);
  return result;
}

void tap.default.test('a resend through another daemon joins the first call', async (t) => {
  const group = new groups.ClaimGroup(SEATED, SPARES, 1);
  t.equal(await claim(group, 'a1', 'first'), 'first');
  group.kill('a1');
  t.equal(await claim(group, 'b2', 'second'), 'first', 'also after the first daemon died');
});

void tap.default.test('a seat that restarted without memory does not count at once', async (t) => {
  // The caller's confirm is claimed by a1 and b1 while c1 is cut off. b1 restarts and has forgotten;
  // a1 is cut off. If b1 counted, it and c1 would let a second dispatch through.
  const group = new groups.ClaimGroup(SEATED, SPARES, 2);
  ['a1', 'b1', 'a2', 'b2', 'c2'].forEach((id) => group.cut('c1', id));
  t.equal(await claim(group, 'a1', 'first'), 'first');
  group.kill('b1');
  group.restart('b1');
  group.heal();
  ALL.filter((id) => id !== 'a1').forEach((id) => group.cut('a1', id));
  t.equal(await claim(group, 'c2', 'second'), undefined, 'it is refused while a1 is cut off');
  group.heal();
  t.equal(await claim(group, 'c2', 'third'), 'first', 'and joins the first when a1 is back');
});

void tap.default.test('right after a repair a second host is lost', async (t) => {
  // a1 dies, its seat goes to a2, which copies from the others; then b1 is lost as well.
  const group = new groups.ClaimGroup(SEATED, SPARES, 3);
  t.equal(await claim(group, 'b2', 'first'), 'first');
  group.kill('a1');
  group.replace('a1', 'a2');
  await group.clock.advance(2_000);
  t.ok(group.hosts.get('a2')!.seat.isComplete(), 'the new holder has copied');
  group.kill('b1');
  t.equal(await claim(group, 'c2', 'second'), 'first');
});

void tap.default.test('a new holder that could not copy does not count', async (t) => {
  // a1 dies, its seat goes to a2, and b1 is lost before a2 has copied: nobody can tell, so it is refused.
  const group = new groups.ClaimGroup(SEATED, SPARES, 4);
  t.equal(await claim(group, 'b2', 'first'), 'first');
  group.kill('a1');
  group.kill('b1');
  group.replace('a1', 'a2');
  t.equal(await claim(group, 'c2', 'second'), undefined);
});

void tap.default.test('a cut-off minority claims nothing', async (t) => {
  const group = new groups.ClaimGroup(SEATED, SPARES, 5);
  ALL.filter((id) => !id.startsWith('a')).forEach((id) => {
    group.cut('a1', id);
    group.cut('a2', id);
  });
  t.equal(await claim(group, 'a2', 'inside'), undefined);
  t.equal(await claim(group, 'b2', 'outside'), 'outside');
});

void tap.default.test('a promise of a holder that forgot since is not counted', async (t) => {
  // a1 promises proposal 2 and the answer is late; a1 restarts, copies from the others, and has forgotten
  // that promise; proposal 1 is then accepted by a1 and c1; b1 promises 2. The late answer and b1's make
  // a majority that nobody remembers: proposal 2 would be dispatched as well.
  const group = new groups.ClaimGroup(SEATED, SPARES, 6);
  const seat = (id: string) => group.hosts.get(id)!.seat;
  const since = [1, 1, 1];
  const lateAnswer = structuredClone(
    seat('a1').handleClaim({ key: 'key', ballot: [2, 'late'], since }),
  );
  group.kill('a1');
  group.restart('a1');
  await group.clock.advance(1_000);
  t.ok(seat('a1').isComplete(), 'a1 has copied from b1 and c1');
  const first = createValue('c1', 'first');
  ['a1', 'c1'].forEach((id) => {
    t.ok(seat(id).handleClaim({ key: 'key', ballot: [1, 'first'], value: first, since }).ok, id);
  });
  const late = new requests.ClaimProposer({
    daemonId: 'late',
    transport: {
      claim: async (daemonId, req) => {
        const isLate = daemonId === 'a1' && req.value === undefined && req.ballot[0] === 2;
        if (daemonId === 'c1') {
          throw new Error('cut off');
        }
        return isLate ? lateAnswer : structuredClone(seat(daemonId).handleClaim(req));
      },
      recover: () => new Promise(() => {}),
    },
    clock: group.clock,
    random: () => 0.5,
    getAcceptors: () => group.seats,
  });
  // Its first proposal is number 1, which it uses up on another key.
  void late.find('other');
  await group.clock.advance(10);
  const settled = late.claim('key', createValue('late', 'second'));
  await group.clock.advance(5_000);
  t.equal((await settled).call, 'first');
});

type Step =
  | { readonly kind: 'claim' | 'kill' | 'restart' | 'replace'; readonly at: number }
  | { readonly kind: 'cut'; readonly at: number; readonly to: number }
  | { readonly kind: 'heal' };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('claim' as const), at: fc.nat(ALL.length - 1) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill' as const, 'restart' as const, 'replace' as const),
      at: fc.nat(ALL.length - 1),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      at: fc.nat(ALL.length - 1),
      to: fc.nat(ALL.length - 1),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'heal' as const }) },
);

function apply(group: groups.ClaimGroup, step: Step, settled: Set<string>, i: number): void {
  if (step.kind === 'heal') {
    group.heal();
    return;
  }
  const id = ALL[step.at]!;
  switch (step.kind) {
    case 'claim':
      if (group.hosts.get(id)!.isUp) {
        void group
          .getProposer(id)
          .claim('key', createValue(id, `call-${i}`))
          .then((value) => settled.add(value.call))
          .catch(() => {});
      }
      break;
    case 'kill':
      group.kill(id);
      break;
    case 'restart':
      group.kill(id);
      group.restart(id);
      break;
    case 'replace': {
      const isSeated = group.seats.some((seat) => seat.daemonId === id);
      const spare = ALL.find((other) => !group.seats.some((seat) => seat.daemonId === other));
      if (isSeated && spare !== undefined) {
        group.replace(id, spare);
      }
      break;
    }
    default:
      group.cut(id, ALL[step.to]!);
  }
}

void tap.default.test(
  'a key never has two values, whatever dies, forgets and is cut',
  async (t) => {
    // Whoever is told that a claim holds dispatches the call that it names; two names would run it twice.
    const property = fc.asyncProperty(
      fc.nat(1_000_000),
      fc.array(stepArbitrary, { minLength: 6, maxLength: 40 }),
      async (seed, steps) => {
        const group = new groups.ClaimGroup(SEATED, SPARES, seed);
        group.lost = 0.05;
        group.maxDelayMs = 60;
        const settled = new Set<string>();
        for (const [i, step] of steps.entries()) {
          apply(group, step, settled, i);
          await group.clock.advance(90);
        }
        group.heal();
        await group.clock.advance(5_000);
        return settled.size <= 1;
      },
    );
    await t.resolves(fc.assert(property, { numRuns: 400, seed: 20261202 }));
  },
);
