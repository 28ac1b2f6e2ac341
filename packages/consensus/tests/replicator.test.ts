import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

import * as followers from './support/follower.js';

/** Duration of a request, in milliseconds. */
const REQUEST_MS = 1;

void tap.default.test('a voter that refuses all entries is not flooded', async (t) => {
  // Guards against a leader that repeats a refused request without a pause and leaves no time for anything else.
  const slots = new Map(followers.VOTERS.map((slot) => [slot.daemonId, slot.voterId]));
  let refused = 0;
  const { clock, voter } = await followers.startFollower({
    transport: {
      vote: async (peer, { pre, term }) =>
        Promise.resolve({ term: pre ? term - 1 : term, granted: true, voterId: slots.get(peer)! }),
      append: async (peer, { entries, prevIndex, term }) => {
        await clock.sleep(REQUEST_MS);
        const isRefused = peer === 'v3';
        refused += isRefused ? 1 : 0;
        const match = prevIndex + entries.length;
        return {
          term,
          ok: !isRefused,
          match,
          hint: isRefused ? 0 : match,
          voterId: slots.get(peer)!,
        };
      },
    },
  });
  const stopping = new AbortController();
  void consensus.runElections(voter, stopping.signal);
  await clock.advance(2 * followers.ELECTION_MS);
  const startedAt = clock.now();
  refused = 0;
  await clock.advance(10 * followers.ELECTION_MS);
  t.ok(voter.isLeader(), 'the majority goes on');
  const heartbeats = (clock.now() - startedAt) / (followers.ELECTION_MS / 3);
  t.ok(refused <= heartbeats + 1, `${refused} requests in the time of ${heartbeats} heartbeats`);
  stopping.abort();
  voter.stop();
});
