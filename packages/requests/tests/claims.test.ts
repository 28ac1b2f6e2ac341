import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

import * as groups from './support/claim-group.js';

const SLOT_HOLDERS = ['a1', 'b1', 'c1'];
const SPARES = ['a2', 'b2', 'c2'];
const ALL = [...SLOT_HOLDERS, ...SPARES];

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

void tap.default.test(
  'a resend through another daemon is attached to the first call',
  async (t) => {
    const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 1);
    t.equal(await claim(group, 'a1', 'first'), 'first');
    group.kill('a1');
    t.equal(await claim(group, 'b2', 'second'), 'first', 'also after the first daemon stopped');
  },
);

void tap.default.test(
  'an acceptor that restarted without its state does not vote before it has recovered',
  async (t) => {
    // a1 and b1 accept a claim while c1 is partitioned. b1 restarts and loses its state, and a1 is partitioned. If b1
    // voted, it and c1 would form a majority that allows a second dispatch.
    const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 2);
    ['a1', 'b1', 'a2', 'b2', 'c2'].forEach((id) => group.cut('c1', id));
    t.equal(await claim(group, 'a1', 'first'), 'first');
    group.kill('b1');
    group.restart('b1');
    group.heal();
    ALL.filter((id) => id !== 'a1').forEach((id) => group.cut('a1', id));
    t.equal(await claim(group, 'c2', 'second'), undefined, 'it is refused while a1 is partitioned');
    group.heal();
    t.equal(
      await claim(group, 'c2', 'third'),
      'first',
      'and returns the first once a1 is reachable',
    );
  },
);

void tap.default.test(
  'a claim is kept when a second host fails right after a slot was reassigned',
  async (t) => {
    // a1 fails, its slot is reassigned to a2, which copies the records of the others; then b1 fails as well.
    const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 3);
    t.equal(await claim(group, 'b2', 'first'), 'first');
    group.kill('a1');
    group.replace('a1', 'a2');
    await group.clock.advance(2_000);
    t.ok(group.hosts.get('a2')!.acceptor.isComplete(), 'the new holder has recovered');
    group.kill('b1');
    t.equal(await claim(group, 'c2', 'second'), 'first');
  },
);

void tap.default.test('a new holder that could not recover does not vote', async (t) => {
  // a1 fails, its slot is reassigned to a2, and b1 fails before a2 has recovered. No majority has the records, so the
  // claim is refused.
  const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 4);
  t.equal(await claim(group, 'b2', 'first'), 'first');
  group.kill('a1');
  group.kill('b1');
  group.replace('a1', 'a2');
  t.equal(await claim(group, 'c2', 'second'), undefined);
});

void tap.default.test('a partitioned minority cannot claim', async (t) => {
  const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 5);
  ALL.filter((id) => !id.startsWith('a')).forEach((id) => {
    group.cut('a1', id);
    group.cut('a2', id);
  });
  t.equal(await claim(group, 'a2', 'inside'), undefined);
  t.equal(await claim(group, 'b2', 'outside'), 'outside');
});

void tap.default.test(
  'a promise of a holder that lost its state since is not counted',
  async (t) => {
    // a1 promises ballot 2, and its response is delayed. a1 restarts and recovers from the others, which have no record
    // of that promise. a1 and c1 then accept ballot 1, and b1 promises 2. The delayed response and that of b1 would
    // form a majority that no acceptor has a record of, and ballot 2 would be dispatched as well.
    const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, 6);
    const acceptor = (id: string) => group.hosts.get(id)!.acceptor;
    const since = [1, 1, 1];
    const delayedPromise = structuredClone(
      acceptor('a1').handleClaim({ key: 'key', ballot: [2, 'late'], since }),
    );
    group.kill('a1');
    group.restart('a1');
    await group.clock.advance(1_000);
    t.ok(acceptor('a1').isComplete(), 'a1 has recovered from b1 and c1');
    const first = createValue('c1', 'first');
    ['a1', 'c1'].forEach((id) => {
      t.ok(
        acceptor(id).handleClaim({ key: 'key', ballot: [1, 'first'], value: first, since }).ok,
        id,
      );
    });
    const late = new requests.ClaimProposer({
      daemonId: 'late',
      transport: {
        claim: async (daemonId, req) => {
          const isLate = daemonId === 'a1' && req.value === undefined && req.ballot[0] === 2;
          if (daemonId === 'c1') {
            throw new Error('partitioned');
          }
          return isLate ? delayedPromise : structuredClone(acceptor(daemonId).handleClaim(req));
        },
        recover: () => new Promise(() => {}),
      },
      clock: group.clock,
      random: () => 0.5,
      getAcceptors: () => group.slots,
    });
    // Uses its first ballot number, 1, on another key.
    void late.find('other');
    await group.clock.advance(10);
    const claimed = late.claim('key', createValue('late', 'second'));
    await group.clock.advance(5_000);
    t.equal((await claimed).call, 'first');
  },
);

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

function apply(group: groups.ClaimGroup, step: Step, chosen: Set<string>, i: number): void {
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
          .then((value) => chosen.add(value.call))
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
      const isHolder = group.slots.some((slot) => slot.daemonId === id);
      const spare = ALL.find((other) => !group.slots.some((slot) => slot.daemonId === other));
      if (isHolder && spare !== undefined) {
        group.replace(id, spare);
      }
      break;
    }
    default:
      group.cut(id, ALL[step.to]!);
  }
}

void tap.default.test(
  'a key never has two values, whichever hosts fail, restart or are partitioned',
  async (t) => {
    // A proposer dispatches the call that the chosen value names, so two values would run it twice.
    const property = fc.asyncProperty(
      fc.nat(1_000_000),
      fc.array(stepArbitrary, { minLength: 6, maxLength: 40 }),
      async (seed, steps) => {
        const group = new groups.ClaimGroup(SLOT_HOLDERS, SPARES, seed);
        group.lossRate = 0.05;
        group.maxDelayMs = 60;
        const chosen = new Set<string>();
        for (const [i, step] of steps.entries()) {
          apply(group, step, chosen, i);
          await group.clock.advance(90);
        }
        group.heal();
        await group.clock.advance(5_000);
        return chosen.size <= 1;
      },
    );
    await t.resolves(fc.assert(property, { numRuns: 400, seed: 20261202 }));
  },
);
