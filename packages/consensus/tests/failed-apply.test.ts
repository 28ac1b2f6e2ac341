import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

import * as clusters from './support/cluster.js';
import * as followers from './support/follower.js';

// Guards against a voter whose state lacks an entry, and which goes on to acknowledge and to stand for election.
void tap.default.test('a follower stops when an entry fails to apply', async (t) => {
  const { state, voter } = await followers.startFollower();
  const entries = followers.createEntries(1, 1, 2);
  const heartbeat = followers.createAppend(1, { index: 0, term: 0 }, entries, 2);
  voter.options.machine.apply = () => {
    throw new TypeError('no such entry');
  };
  await t.rejects(voter.handleAppend(heartbeat), 'the leader gets no acknowledgement');
  t.ok(voter.stopped);
  t.match(await voter.handleAppend(heartbeat), { ok: false }, 'nothing more is acknowledged');
  t.equal(voter.appliedIndex, 0, 'the entry does not count as applied');
  t.same(state.applied, []);
});

// Guards against a core host that ends, by a promise that nobody handles, when an entry fails to apply.
void tap.default.test('a leader steps down when an entry fails to apply', async (t) => {
  const cluster = new clusters.Cluster(['v1', 'v2', 'v3'], 3);
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  leader.options.machine.apply = () => {
    throw new TypeError('no such entry');
  };
  const proposed = leader.leadership!.propose('a').then(
    () => 'accepted',
    () => 'refused',
  );
  await cluster.clock.advance(100);
  t.ok(leader.stopped);
  t.notOk(leader.isLeader());
  t.equal(await proposed, 'refused');
});

// Guards against a voter that still votes and acknowledges after its elections have failed.
void tap.default.test('a voter stops when an election fails', async (t) => {
  const { clock, voter } = await followers.startFollower({
    transport: {
      vote: async (peer, { term }) => ({ term: term - 1, granted: true, voterId: `id-${peer}` }),
    },
  });
  voter.becomeLeader = () => {
    throw new TypeError('no leader');
  };
  const running = consensus.runElections(voter, new AbortController().signal);
  const failure = t.rejects(running, { message: 'no leader' });
  for (let i = 0; i < 20 && !voter.stopped; i += 1) {
    await clock.advance(followers.ELECTION_MS);
  }
  await failure;
  t.ok(voter.stopped);
});
