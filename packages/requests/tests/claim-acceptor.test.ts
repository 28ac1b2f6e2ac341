import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const SLOTS = ['a', 'b', 'c'].map((daemonId) => ({ daemonId, since: 1 }));

function createRecord(key: string): requests.ClaimRecord {
  return { key, promised: [1, 'x'], accepted: undefined, at: 0 };
}

void tap.default.test('an acceptor that is copied page by page restarts in between', async (t) => {
  // Guards against an acceptor that votes without the records that it lacks, so that a call may run a second time.
  const clock = new schemas.VirtualClock();
  const requested: number[] = [];
  const acceptor = new requests.ClaimAcceptor({
    daemonId: 'a',
    incarnation: 2,
    clock,
    log: new schemas.SilentLog(),
    transport: {
      claim: () => new Promise(() => {}),
      recover: async (daemonId, { cursor }) => {
        const common = { isComplete: true, cursor: 2, isLast: true };
        if (daemonId === 'c') {
          const marks: requests.AcceptorEpoch[] = [
            [1, 2],
            [1, 1],
            [1, 1],
          ];
          return Promise.resolve({ ...common, seat: 2, marks, records: [] });
        }
        requested.push(cursor);
        // The second process has recovered with the same records, in another order.
        const isFirst = requested.length === 1;
        const order = isFirst ? ['k1', 'k2', 'k3'] : ['k3', 'k2', 'k1'];
        const page = order.slice(cursor, isFirst ? 2 : 3);
        return Promise.resolve({
          ...common,
          seat: 1,
          marks: [
            [1, 2],
            [1, isFirst ? 1 : 2],
            [1, 1],
          ] as requests.AcceptorEpoch[],
          records: page.map(createRecord),
          cursor: cursor + page.length,
          isLast: !isFirst,
        });
      },
    },
  });
  acceptor.configure(SLOTS, []);
  await clock.advance(1_000);
  t.ok(acceptor.isComplete(), 'it recovers');
  t.same(requested, [0, 2, 0], 'the copy begins anew');
  t.equal(acceptor.getSize(), 3, 'with all records');
  acceptor.configure([], []);
});

void tap.default.test('a full acceptor refuses new keys and keeps those that it has', async (t) => {
  // Guards against claims without end that fill the memory, and against a key that is forgotten and runs twice.
  const acceptor = new requests.ClaimAcceptor({
    daemonId: 'a',
    incarnation: 1,
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
    transport: { claim: () => new Promise(() => {}), recover: () => new Promise(() => {}) },
    maxClaims: 3,
  });
  acceptor.configure(SLOTS, ['a@1', 'b@1', 'c@1']);
  const claim = (key: string, counter: number) =>
    acceptor.handleClaim({ key, ballot: [counter, 'x'], since: SLOTS.map(({ since }) => since) });
  const results = Array.from({ length: 100 }, (_, i) => claim(`k${i}`, 1).ok);
  t.equal(results.filter(Boolean).length, 3);
  t.equal(acceptor.getSize(), 3);
  t.ok(claim('k0', 2).ok, 'a key that it has can still be settled');
  acceptor.configure([], []);
});
