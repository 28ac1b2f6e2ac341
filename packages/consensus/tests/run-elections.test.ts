import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

import * as followers from './support/follower.js';

void tap.default.test('a leader answers again while votes are collected', async (t) => {
  // Guards against two leases at once: a voter that has acknowledged a heartbeat has promised the leader not to vote.
  let grant = () => {};
  const { clock, voter } = await followers.startFollower({
    transport: {
      vote: async (peer, { term }) => {
        await new Promise<void>((resolve) => {
          const others = grant;
          grant = () => {
            others();
            resolve();
          };
        });
        return { term: term - 1, granted: true, voterId: `id-${peer}` };
      },
    },
  });
  const heartbeat = followers.createAppend(1, { index: 0, term: 0 }, []);
  await voter.handleAppend(heartbeat);
  const stopping = new AbortController();
  void consensus.runElections(voter, stopping.signal);
  await clock.advance(2 * followers.ELECTION_MS);
  t.match(await voter.handleAppend(heartbeat), { ok: true }, 'the heartbeat is acknowledged');
  grant();
  await clock.advance(10);
  t.equal(voter.term, 1, 'no election follows');
  t.equal(voter.leader, 'v1');
  await clock.advance(2 * followers.ELECTION_MS);
  grant();
  await clock.advance(10);
  t.equal(voter.term, 2, 'an election follows once the leader is silent');
  stopping.abort();
  voter.stop();
});
