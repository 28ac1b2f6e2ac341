import type * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as claimAcceptors from '../src/choose-claim-acceptors.js';

/** A daemon's heartbeat; its name begins with its zone. */
function createHeartbeat(daemonId: string): schemas.Beat {
  return {
    daemonId,
    incarnation: 1,
    availabilityZone: daemonId.charAt(0),
    host: '127.0.0.1',
    peerPort: 1,
    callerPort: 1,
    isLeaving: false,
    revision: 1,
  };
}

const ACCEPTORS = ['a1', 'b1', 'c1'].map((daemonId) => ({ daemonId, since: 1 }));

/** Who is to hold the acceptors, with daemons that have copied, are copying, or do not answer. */
function choose(
  acceptors: readonly schemas.ClaimSeat[],
  live: readonly string[],
  answers: Readonly<Record<string, boolean>>,
): Promise<string[] | undefined> {
  return claimAcceptors.chooseNextClaimAcceptors({
    acceptors,
    live: live.map(createHeartbeat),
    allowed: [],
    holdsClaims: async (daemonId) => {
      const answer = answers[daemonId];
      return answer === undefined ? Promise.reject(new Error('no answer')) : answer;
    },
  });
}

void tap.default.test('a lost holder is replaced, from its own zone first', async (t) => {
  const answers = { a1: true, b1: true, c1: true };
  t.same(await choose(ACCEPTORS, ['b1', 'c1', 'a2', 'b2'], answers), ['a2@1', 'b1@1', 'c1@1']);
  t.equal(await choose(ACCEPTORS, ['a1', 'b1', 'c1', 'a2'], answers), undefined, 'all are there');
});

void tap.default.test('no seat is given away while another is being copied', async (t) => {
  // Callers with a key were refused for an hour. A holder was lost, and its successor had not copied yet when a second
  // one was silent for a moment. Its seat was given away too, and with it the only memory from which the first could
  // have been completed: when the second was back it had been told that it no longer counts.
  const acceptors = [{ daemonId: 'a2', since: 2 }, ...ACCEPTORS.slice(1)];
  const live = ['a2', 'c1', 'b2'];
  t.equal(
    await choose(acceptors, live, { a2: false, c1: true }),
    undefined,
    'the second one is waited for',
  );
  t.same(
    await choose(acceptors, live, { a2: true, c1: true }),
    ['a2@1', 'b2@1', 'c1@1'],
    'until the first has copied',
  );
  t.same(
    await choose(acceptors, ['b1', 'c1', 'a3'], { b1: true, c1: true }),
    ['a3@1', 'b1@1', 'c1@1'],
    'a successor that died itself is replaced',
  );
});

void tap.default.test('a holder that does not answer holds nothing up', async (t) => {
  // Daemons of the version before cannot be asked; the group must go on being mended while they are replaced.
  t.same(await choose(ACCEPTORS, ['b1', 'c1', 'a2'], {}), ['a2@1', 'b1@1', 'c1@1']);
});
